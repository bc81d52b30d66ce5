#include "mesh/internal/table_codec.h"

#include "mesh/internal/text_delta.h"
#include "store/table_limits.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace heatherdrift {

namespace {

    using apache::thrift::TConfiguration;
    using apache::thrift::transport::TMemoryBuffer;
    using protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

    constexpr std::size_t maxEncodedUpdates = 8; ///< Nodes that lag by more versions are few.

    /// Writes values in Thrift's compact protocol.
    class value_writer {
    public:
        void add(std::int64_t value) { m_protocol.writeI64(value); }
        void add(bool value) { m_protocol.writeByte(value ? 1 : 0); }
        void add(const std::string& value) { m_protocol.writeBinary(value); }
        std::string take() const { return m_buffer->getBufferAsString(); }

    private:
        std::shared_ptr<TMemoryBuffer> m_buffer = std::make_shared<TMemoryBuffer>();
        protocol m_protocol { m_buffer };
    };

    /// Reads the same; all functions throw if the data ends early or a length exceeds the rest.
    class value_reader {
    public:
        explicit value_reader(std::string_view data)
            : m_buffer(std::make_shared<TMemoryBuffer>(
                // Thrift does not write to a buffer that it observes.
                reinterpret_cast<std::uint8_t*>(const_cast<char*>(data.data())),
                static_cast<std::uint32_t>(data.size()), TMemoryBuffer::OBSERVE,
                std::make_shared<TConfiguration>(static_cast<int>(maxTableBytes), static_cast<int>(maxTableBytes))))
            , m_protocol(m_buffer, static_cast<int>(data.size()), 0)
        {
        }

        std::int64_t number()
        {
            std::int64_t value = 0;
            m_protocol.readI64(value);
            return value;
        }
        bool flag()
        {
            std::int8_t value = 0;
            m_protocol.readByte(value);
            return value != 0;
        }
        std::string text()
        {
            std::string value;
            m_protocol.readBinary(value);
            return value;
        }
        bool isAtEnd() const { return m_buffer->available_read() == 0; }

    private:
        std::shared_ptr<TMemoryBuffer> m_buffer;
        protocol m_protocol;
    };

    failure malformed(const std::string& what) { return notRun(error_code::bad_request, "malformed update: " + what); }

    std::string encodeRows(const table_update& update)
    {
        value_writer writer;
        writer.add(update.rows.version);
        writer.add(update.isWhole);
        for (const auto& row : update.rows.rows) {
            writer.add(row.key.table);
            writer.add(row.key.key);
            writer.add(row.version);
            writer.add(row.value.has_value());
            if (row.value)
                writer.add(*row.value);
        }
        return writer.take();
    }

    result<table_update> decodeRows(std::string_view text)
    try {
        table_update out;
        value_reader reader(text);
        out.rows.version = reader.number();
        out.isWhole = reader.flag();
        while (!reader.isAtEnd()) {
            row_change row;
            row.key.table = reader.text();
            row.key.key = reader.text();
            row.version = reader.number();
            if (reader.flag())
                row.value = reader.text();
            if (row.version < 1)
                return malformed("version of a row");
            out.rows.rows.push_back(std::move(row));
        }
        if (out.rows.version < 0)
            return malformed("version");
        return out;
    } catch (const std::exception& error) {
        return malformed(error.what());
    }

    std::string joinedValues(const std::vector<row_change>& rows)
    {
        std::string out;
        for (const auto& row : rows)
            out.append(row.value.value_or(""));
        return out;
    }

} // namespace

std::string encodeUpdate(const table_update& update, const std::vector<row_change>& base)
{
    value_writer writer;
    writer.add(static_cast<std::int64_t>(base.size()));
    for (const auto& row : base) {
        writer.add(row.key.table);
        writer.add(row.key.key);
        writer.add(row.version);
    }
    writer.add(encodeDelta(encodeRows(update), joinedValues(base)));
    return writer.take();
}

result<table_update> decodeUpdate(std::string_view data, const table_copy& copy)
try {
    value_reader reader(data);
    std::vector<row_change> base;
    std::size_t baseBytes = 0;
    for (auto count = reader.number(); count > 0; --count) {
        row_key key;
        key.table = reader.text();
        key.key = reader.text();
        const auto version = reader.number();
        const auto* row = copy.find(key, version);
        if (!row || row->version != version)
            return notRun(error_code::conflict, "update for another base");
        baseBytes += row->value.value_or("").size();
        if (baseBytes > maxTableBytes)
            return malformed("base of more than " + std::to_string(maxTableBytes) + " bytes");
        base.push_back(*row);
    }
    const auto delta = reader.text();
    if (!reader.isAtEnd())
        return malformed("bytes after the end");
    BOOST_OUTCOME_TRY(text, decodeDelta(delta, joinedValues(base), maxTableBytes));
    return decodeRows(text);
} catch (const std::exception& error) {
    return malformed(error.what());
}

update_encoder::update_encoder(const table_copy& copy)
    : m_copy(copy)
{
}

std::shared_ptr<const std::string> update_encoder::encode(row_version after, bool hasBase)
{
    if (std::exchange(m_newestChange, m_copy.newestChange()) != m_copy.newestChange())
        m_encoded.clear();
    const auto found = m_encoded.find({ after, hasBase });
    if (found != m_encoded.end())
        return found->second;
    const auto update = m_copy.updateAfter(after);
    std::vector<row_change> base;
    for (const auto& row : update.rows.rows) {
        const auto* earlier = hasBase ? m_copy.find(row.key, after) : nullptr;
        if (earlier && earlier->value)
            base.push_back(*earlier);
    }
    if (m_encoded.size() >= maxEncodedUpdates)
        m_encoded.erase(m_encoded.begin());
    auto encoded = std::make_shared<const std::string>(encodeUpdate(update, base));
    m_encoded.emplace(std::pair(after, hasBase), encoded);
    return encoded;
}

} // namespace heatherdrift
