#include "base/identifiers.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace heatherdrift {

namespace {

    bool isIpLiteral(int family, const std::string& text)
    {
        in6_addr address {};
        // inet_pton() reads up to the first NUL byte.
        return text.find('\0') == std::string::npos && inet_pton(family, text.c_str(), &address) == 1;
    }

    std::optional<std::uint16_t> parsePort(std::string_view text)
    {
        std::uint16_t port = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
        if (error != std::errc() || end != text.data() + text.size() || port == 0)
            return std::nullopt;
        return port;
    }

} // namespace

bool isName(std::string_view text)
{
    constexpr std::size_t longest = 63;
    const auto isLetter = [](char c) { return c >= 'a' && c <= 'z'; };
    const auto isAllowed
        = [&](char c) { return isLetter(c) || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-'; };
    return !text.empty() && text.size() <= longest && isLetter(text.front()) && std::ranges::all_of(text, isAllowed);
}

std::string toString(const instance_ref& value) { return value.id + "#" + std::to_string(value.number); }

std::string toString(const endpoint& value)
{
    const bool isIpv6 = value.ip.find(':') != std::string::npos;
    return (isIpv6 ? "[" + value.ip + "]" : value.ip) + ":" + std::to_string(value.port);
}

std::optional<endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parsePort(text.substr(colon + 1));
    if (!port)
        return std::nullopt;
    auto host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    const std::string ip(host);
    if (!isIpLiteral(isBracketed ? AF_INET6 : AF_INET, ip))
        return std::nullopt;
    return endpoint { ip, *port };
}

} // namespace heatherdrift
