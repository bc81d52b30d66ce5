#include "http/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace heatherdrift {

bool isSameHeaderName(std::string_view left, std::string_view right)
{
    return std::ranges::equal(
        left, right, [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

bool isHopByHopHeader(std::string_view name)
{
    constexpr std::array<std::string_view, 9> names { "connection", "keep-alive", "proxy-authenticate",
        "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "proxy-connection" };
    return std::ranges::any_of(names, [&](std::string_view other) { return isSameHeaderName(name, other); });
}

void http_headers::set(std::string_view name, std::string value)
{
    remove(name);
    m_fields.emplace_back(std::string(name), std::move(value));
}

void http_headers::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](const auto& field) { return isSameHeaderName(field.first, name); });
}

std::optional<std::string_view> http_headers::find(std::string_view name) const
{
    const auto found
        = std::ranges::find_if(m_fields, [&](const auto& field) { return isSameHeaderName(field.first, name); });
    if (found == m_fields.end())
        return std::nullopt;
    return found->second;
}

} // namespace heatherdrift
