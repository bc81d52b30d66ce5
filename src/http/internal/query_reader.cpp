#include "http/query_reader.h"

#include <charconv>
#include <event2/http.h>
#include <memory>

namespace heatherdrift {

namespace {

    bool hasValidEscapes(std::string_view text)
    {
        const auto isHex
            = [](char c) { return std::string_view("0123456789abcdefABCDEF").find(c) != std::string::npos; };
        for (auto at = text.find('%'); at != std::string_view::npos; at = text.find('%', at + 1)) {
            if (at + 2 >= text.size() || !isHex(text[at + 1]) || !isHex(text[at + 2]))
                return false;
        }
        return true;
    }

    std::string decode(std::string_view text)
    {
        std::size_t size = 0;
        const std::unique_ptr<char, void (*)(void*)> decoded(
            evhttp_uridecode(std::string(text).c_str(), 1, &size), &std::free);
        return decoded ? std::string(decoded.get(), size) : std::string();
    }

} // namespace

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

query_reader::query_reader(std::string_view target)
{
    const auto mark = target.find('?');
    if (mark != std::string_view::npos)
        parse(target.substr(mark + 1));
}

void query_reader::parse(std::string_view query)
{
    if (!hasValidEscapes(query))
        return fail("query: a percent sign is not followed by two hexadecimal digits");
    while (!query.empty()) {
        const auto field = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(field.size() + 1, query.size()));
        const auto equals = field.find('=');
        const auto name = decode(field.substr(0, equals));
        if (equals == std::string_view::npos || name.empty())
            return fail("query: expected name=value&name=value");
        if (!m_unread.emplace(name, decode(field.substr(equals + 1))).second)
            return fail("query." + name + ": given twice");
    }
}

std::optional<std::string> query_reader::readOptionalText(const std::string& name)
{
    auto node = m_unread.extract(name);
    if (node.empty())
        return std::nullopt;
    return std::move(node.mapped());
}

std::string query_reader::readText(const std::string& name)
{
    auto value = readOptionalText(name);
    if (!value || value->empty())
        fail("query." + name + ": required");
    return value.value_or("");
}

std::optional<std::int64_t> query_reader::readOptionalInteger(const std::string& name, std::int64_t least)
{
    const auto text = readOptionalText(name);
    if (!text)
        return std::nullopt;
    std::int64_t value = 0;
    const auto* end = text->data() + text->size();
    const auto [stop, error] = std::from_chars(text->data(), end, value);
    if (error == std::errc() && stop == end && value >= least)
        return value;
    fail("query." + name + ": expected an integer of at least " + std::to_string(least));
    return std::nullopt;
}

result<void> query_reader::finish()
{
    if (!m_failure && !m_unread.empty())
        fail("query." + m_unread.begin()->first + ": unknown parameter");
    if (m_failure)
        return *m_failure;
    return outcome::success();
}

void query_reader::fail(std::string message)
{
    if (!m_failure)
        m_failure = notRun(error_code::bad_request, std::move(message));
}

} // namespace heatherdrift
