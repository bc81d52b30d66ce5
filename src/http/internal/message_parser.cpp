#include "http/internal/message_parser.h"

#include <algorithm>
#include <climits>
#include <cstdint>

namespace heatherdrift {

namespace {

    /// A space, the three digits of the status and the space before the reason.
    constexpr std::size_t maxStatusBytes = 5;

    /// As many of the last bytes as a status takes.
    std::string_view lastBytes(std::string_view bytes)
    {
        return bytes.substr(bytes.size() - std::min(bytes.size(), maxStatusBytes));
    }

    /// Responses that end with their head (RFC 9112, section 6.3).
    bool hasNoBody(int status) { return status / 100 == 1 || status == 204 || status == 304; }

} // namespace

message_parser::message_parser(side reads, std::size_t headerLimitBytes, handlers handlers)
    : m_headerLimitBytes(headerLimitBytes)
    , m_handlers(std::move(handlers))
{
    http_parser_init(&m_native, reads == side::requests ? HTTP_REQUEST : HTTP_RESPONSE);
    m_native.data = this;
}

const http_parser_settings& message_parser::callbacks()
{
    static const http_parser_settings value = [] {
        // The library's own limit for all parsers is below what a configuration may allow.
        http_parser_set_max_header_size(UINT32_MAX);
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_message_begin = [](http_parser* native) { return self(native).begin(); };
        settings.on_url = [](http_parser* native, const char* data, std::size_t size) {
            self(native).m_target.append(data, size);
            return self(native).countHeaderBytes(size) ? 0 : 1;
        };
        settings.on_status
            = [](http_parser* native, const char* reason, std::size_t) { return self(native).checkStatus(reason); };
        settings.on_header_field = [](http_parser* native, const char* data, std::size_t size) {
            return self(native).addField({ data, size });
        };
        settings.on_header_value = [](http_parser* native, const char* data, std::size_t size) {
            return self(native).addValue({ data, size });
        };
        settings.on_headers_complete = [](http_parser* native) { return self(native).completeHead(); };
        settings.on_body = [](http_parser* native, const char* data, std::size_t size) {
            self(native).m_handlers.onBody({ data, size });
            return 0;
        };
        settings.on_message_complete = [](http_parser* native) { return self(native).complete(); };
        return settings;
    }();
    return value;
}

int message_parser::begin()
{
    m_isInMessage = true;
    m_isStatusChecked = false;
    m_headerBytes = 0;
    m_target.clear();
    m_headers = {};
    m_field.clear();
    m_value.clear();
    m_isValue = false;
    m_announcedLength = 0;
    return 0;
}

// The library takes any number of digits and passes on only their value. RFC 9112, section 4, asks for exactly three.
int message_parser::checkStatus(const char* reason)
{
    if (std::exchange(m_isStatusChecked, true))
        return 0;
    std::string before = m_earlierBytes;
    before.append(lastBytes(m_piece.substr(0, static_cast<std::size_t>(reason - m_piece.data()))));
    // Without a reason, the space before it may be missing.
    if (before.ends_with(' '))
        before.pop_back();
    const auto space = before.rfind(' ');
    return space != std::string::npos && before.size() - space == 4 ? 0 : 1;
}

bool message_parser::countHeaderBytes(std::size_t size)
{
    // Trailers count with the headers.
    m_headerBytes += size;
    return m_headerBytes <= m_headerLimitBytes;
}

int message_parser::addField(std::string_view data)
{
    if (std::exchange(m_isValue, false))
        storeHeader();
    m_field.append(data);
    // The library accepts a space in a field name, which other readers take for the end of the name.
    const bool isToken = std::ranges::none_of(data, [](unsigned char c) { return c <= ' ' || c == 0x7f; });
    return countHeaderBytes(data.size()) && isToken ? 0 : 1;
}

int message_parser::addValue(std::string_view data)
{
    m_isValue = true;
    m_value.append(data);
    const bool isPlain = std::ranges::none_of(data, [](unsigned char c) { return c == '\r' || c == '\n' || c == 0; });
    return countHeaderBytes(data.size()) && isPlain ? 0 : 1;
}

void message_parser::storeHeader()
{
    m_headers.add(std::move(m_field), std::move(m_value));
    m_field.clear();
    m_value.clear();
}

int message_parser::completeHead()
{
    if (std::exchange(m_isValue, false))
        storeHeader();
    // Protocol upgrades are not supported: the message is read as a plain one.
    m_native.upgrade = 0;
    m_keepsAlive = http_should_keep_alive(&m_native) != 0;
    const bool hasLength = m_native.content_length != ULLONG_MAX;
    if (hasLength)
        m_announcedLength = m_native.content_length;
    m_isUnframed = m_native.type == HTTP_RESPONSE && !hasLength && !(m_native.flags & F_CHUNKED) && !hasNoBody(status())
        && !m_expectsNoBody;
    if (!m_handlers.onHead())
        return -1;
    return m_expectsNoBody ? 1 : 0;
}

int message_parser::complete()
{
    if (std::exchange(m_isValue, false))
        storeHeader();
    m_isInMessage = false;
    m_expectsNoBody = false;
    if (!m_handlers.onComplete())
        http_parser_pause(&m_native, 1);
    return 0;
}

std::size_t message_parser::parse(std::string_view data)
{
    m_piece = data;
    const std::size_t taken = http_parser_execute(&m_native, &callbacks(), data.data(), data.size());
    m_earlierBytes.append(lastBytes(data.substr(0, taken)));
    m_earlierBytes = std::string(lastBytes(m_earlierBytes));
    return taken;
}

void message_parser::finish()
{
    if (!hasFailed())
        http_parser_execute(&m_native, &callbacks(), nullptr, 0);
}

void message_parser::proceed()
{
    if (!hasFailed())
        http_parser_pause(&m_native, 0);
}

bool message_parser::hasFailed() const
{
    const auto error = HTTP_PARSER_ERRNO(&m_native);
    return error != HPE_OK && error != HPE_PAUSED;
}

std::string_view message_parser::method() const { return http_method_str(static_cast<http_method>(m_native.method)); }

} // namespace heatherdrift
