#include "mesh/internal/table_codec.h"
#include "mesh/internal/text_delta.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <random>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    constexpr std::size_t limitBytes = 1 << 20;
    constexpr std::size_t routeCount = 2800;

    /// Document of a configuration with names that have nothing in common.
    class route_document {
    public:
        explicit route_document(std::size_t routes)
        {
            for (std::size_t i = 0; i < routes; ++i)
                add();
        }

        void add()
        {
            m_routes.push_back({ { "name", word() }, { "host", word() + ".example" }, { "prefix", "/" + word() + "/" },
                { "type", "safe" }, { "services", { { { "service", "records-desk" }, { "weight", 1 } } } },
                { "attempts", 2 }, { "timeout_ms", 2500 }, { "latency_objective_ms", 600 }, { "priority", 1 } });
        }
        void change(std::size_t index) { m_routes[index]["timeout_ms"] = 2600; }
        std::string text() const { return nlohmann::json { { "version", "r12" }, { "routes", m_routes } }.dump(); }

    private:
        std::string word()
        {
            std::string out;
            for (int i = 0; i < 8; ++i)
                out.push_back(static_cast<char>('a' + m_random() % 26));
            return out;
        }

        std::mt19937 m_random { 7 };
        nlohmann::json m_routes = nlohmann::json::array();
    };

    row_change configurationRow(row_version version, std::string text)
    {
        return { { "configuration", "current" }, version, std::move(text) };
    }

    // Guards against a text that another node restores differently.
    RC_GTEST_PROP(TextDelta, RoundTrip, (const std::string& text, const std::string& base))
    {
        const auto got = decodeDelta(encodeDelta(text, base), base, limitBytes);
        RC_ASSERT(got.has_value());
        RC_ASSERT(got.value() == text);
    }

    // Guards against damaged data that is taken for another text or ends the process.
    RC_GTEST_PROP(TextDelta, DamagedDataIsRejected, (const std::string& text, const std::string& base))
    {
        const auto data = encodeDelta(text, base);
        const auto position = *rc::gen::inRange<std::size_t>(0, data.size());
        auto changed = data;
        changed[position] = static_cast<char>(changed[position] ^ (1 << *rc::gen::inRange(0, 8)));
        const auto got = decodeDelta(changed, base, limitBytes);
        RC_ASSERT((got.has_error() || got.value() == text));
        RC_ASSERT(decodeDelta(data.substr(0, position), base, limitBytes).has_error());
    }

    // Guards against data that ends after its head and is taken for an empty text.
    TEST(TextDelta, TruncatedEmptyTextIsRejected)
    {
        const auto data = encodeDelta("", "");
        for (std::size_t size = 0; size < data.size(); ++size)
            EXPECT_TRUE(decodeDelta(data.substr(0, size), "", limitBytes).has_error()) << size;
        EXPECT_EQ(decodeDelta(data, "", limitBytes).value(), "");
    }

    // Guards against a difference that is applied to another text than the one it was made from.
    TEST(TextDelta, OtherBaseIsReported)
    {
        const auto got = decodeDelta(encodeDelta("new text", "old text"), "other text", limitBytes);
        ASSERT_TRUE(got.has_error());
        EXPECT_EQ(got.error().code, error_code::conflict);
    }

    // Guards against a short message that fills the memory of the instance.
    TEST(TextDelta, DecompressedSizeIsLimited)
    {
        const auto got = decodeDelta(encodeDelta(std::string(limitBytes + 1, 'x'), ""), "", limitBytes);
        ASSERT_TRUE(got.has_error());
        EXPECT_EQ(got.error().code, error_code::too_large);
    }

    // Guards against sending the whole document for each small change: 880 changes a day of some hundred KB to each of
    // 690 nodes exceed 11 KB/s of control traffic, and their transfers delay each other.
    TEST(TableCodec, ChangeOfOneRouteInALargeDocumentIsSmall)
    {
        constexpr std::size_t maxChangeBytes = 2048;
        route_document document(routeCount);
        table_copy sender;
        sender.replace({ { configurationRow(4, document.text()) }, 4 });
        table_copy receiver = sender;
        row_version version = 4;
        const auto expectSmall = [&](const char* what) {
            ++version;
            sender.merge({ { configurationRow(version, document.text()) }, version });
            update_encoder encoder(sender);
            const auto data = encoder.encode(version - 1, true);
            EXPECT_LT(data->size(), maxChangeBytes) << what;
            const auto update = decodeUpdate(*data, receiver);
            ASSERT_TRUE(update.has_value()) << what << ": " << update.error().message;
            receiver.applyUpdate(update.value());
            EXPECT_EQ(receiver.updateAfter(0), sender.updateAfter(0)) << what;
        };
        document.change(routeCount / 2);
        expectSmall("changed route");
        document.add();
        expectSmall("added route");
        document.change(0);
        document.change(routeCount - 1);
        expectSmall("first and last route");
    }

    // Guards against a first transfer that takes the time of the whole text on a narrow link.
    TEST(TableCodec, FirstTransferIsCompressed)
    {
        constexpr std::size_t maxShare = 4;
        const auto text = route_document(routeCount).text();
        table_copy sender;
        sender.replace({ { configurationRow(4, text) }, 4 });
        const auto data = update_encoder(sender).encode(0, true);
        EXPECT_LT(data->size(), text.size() / maxShare);
        EXPECT_EQ(decodeUpdate(*data, table_copy()).value(), sender.updateAfter(0));
        RecordProperty("document_bytes", static_cast<int>(text.size()));
        RecordProperty("first_transfer_bytes", static_cast<int>(data->size()));
    }

    // Guards against members that are sent whole although the receiver has most of them.
    TEST(TableCodec, UnchangedRowsOfAWholeUpdateAreSmall)
    {
        constexpr std::size_t rows = 690;
        row_snapshot snapshot;
        std::mt19937 random(7);
        for (std::size_t i = 0; i < rows; ++i) {
            std::string value;
            for (int digit = 0; digit < 300; ++digit)
                value.push_back(static_cast<char>('a' + random() % 26));
            snapshot.rows.push_back({ { "members", "n" + std::to_string(i) }, static_cast<row_version>(i) + 1, value });
        }
        snapshot.version = rows;
        table_copy receiver;
        receiver.replace(snapshot);
        snapshot.rows.front().version = snapshot.version = rows + 1;
        table_copy sender;
        sender.replace(snapshot);
        ASSERT_TRUE(sender.updateAfter(rows).isWhole);
        const auto data = update_encoder(sender).encode(rows, true);
        EXPECT_LT(data->size(), rows * 300 / 4);
        EXPECT_EQ(decodeUpdate(*data, receiver).value(), sender.updateAfter(rows));
    }

    // Guards against compressing the same update again for each node, which takes the time of a tenth of a core.
    TEST(TableCodec, UpdateIsEncodedOncePerVersions)
    {
        table_copy sender;
        sender.replace({ { configurationRow(4, "a") }, 4 });
        update_encoder encoder(sender);
        const auto first = encoder.encode(0, true);
        EXPECT_EQ(encoder.encode(0, true), first);
        EXPECT_NE(encoder.encode(1, true), first);
        sender.merge({ { configurationRow(5, "b") }, 5 });
        EXPECT_NE(*encoder.encode(0, true), *first);
    }

    // Guards against a node that never gets an update because its rows are not those that the sender assumes.
    TEST(TableCodec, UpdateWithoutABaseNeedsNoRowsOfTheReceiver)
    {
        const std::string text(8192, 'x');
        table_copy sender;
        sender.replace({ { configurationRow(4, text) }, 4 });
        sender.merge({ { configurationRow(6, text + "6") }, 6 });
        table_copy receiver;
        receiver.replace({ { configurationRow(5, text + "5") }, 5 });
        update_encoder encoder(sender);
        const auto based = decodeUpdate(*encoder.encode(5, true), receiver);
        ASSERT_TRUE(based.has_error());
        EXPECT_EQ(based.error().code, error_code::conflict);
        EXPECT_EQ(decodeUpdate(*encoder.encode(5, false), receiver).value(), sender.updateAfter(5));
    }

    // Guards against a malformed response of another node that corrupts the table.
    TEST(TableCodec, UpdateRoundTripsOrIsRejected)
    {
        const table_update update { { { { { "t", "a" }, 7, "\x01 value" }, { { "t", "b" }, 8, std::nullopt } }, 8 },
            true };
        const auto data = encodeUpdate(update, {});
        EXPECT_EQ(decodeUpdate(data, {}).value(), update);
        for (const char* text : { "", "[]", "{}", "\x02", "\xff\xff\xff\xff\xff\xff\xff\xff\x7f" })
            EXPECT_TRUE(decodeUpdate(text, {}).has_error()) << text;
        EXPECT_TRUE(decodeUpdate(data + "x", {}).has_error());
        for (std::size_t size = 0; size < data.size(); ++size)
            EXPECT_TRUE(decodeUpdate(data.substr(0, size), {}).has_error()) << size;
        const auto isRejected = [](const row_change& row, row_version version) {
            return decodeUpdate(encodeUpdate({ { { row }, version }, false }, {}), {}).has_error();
        };
        EXPECT_TRUE(isRejected({ { "t", "a" }, 0, "v" }, 1));
        EXPECT_TRUE(isRejected({ { "t", "a" }, -1, "v" }, 1));
        EXPECT_TRUE(isRejected({ { "t", "a" }, 1, "v" }, -1));
    }

    // Guards against bytes of another node that end the process.
    RC_GTEST_PROP(TableCodec, RandomBytesAreRejected, (const std::string& bytes))
    {
        RC_ASSERT(decodeUpdate(bytes, {}).has_error());
    }

    // Guards against earlier texts that fill the memory of the instance.
    TEST(RowHistory, MemoryIsBounded)
    {
        constexpr std::size_t limit = 20000;
        row_history history(limit);
        for (row_version version = 1; version <= 100; ++version) {
            history.add(configurationRow(version, std::string(6000, 'x')));
            EXPECT_LE(history.bytes(), limit);
        }
        history.add(configurationRow(101, std::string(limit + 1, 'x')));
        EXPECT_EQ(history.find({ "configuration", "current" }, 1000)->version, 100);
        EXPECT_EQ(history.find({ "configuration", "current" }, 99)->version, 99);
        EXPECT_EQ(history.find({ "configuration", "current" }, 97), nullptr);
        EXPECT_EQ(history.find({ "configuration", "other" }, 1000), nullptr);
    }

} // namespace
} // namespace heatherdrift
