#include "http/uri.h"

#include <cstdlib>
#include <event2/http.h>
#include <memory>

namespace heatherdrift {

namespace {

    struct text_deleter {
        void operator()(char* value) const { std::free(value); }
    };

    using text_handle = std::unique_ptr<char, text_deleter>;

    /// Calls the function for each part between separators, until it returns false.
    template <typename Function> bool forEachPart(std::string_view text, char separator, Function&& use)
    {
        while (true) {
            const auto end = text.find(separator);
            if (!use(text.substr(0, end)))
                return false;
            if (end == std::string_view::npos)
                return true;
            text.remove_prefix(end + 1);
        }
    }

    bool addParameter(uri_target& target, std::string_view part)
    {
        const auto equals = part.find('=');
        if (equals == std::string_view::npos)
            return false;
        const auto name = percentDecode(part.substr(0, equals));
        const auto value = percentDecode(part.substr(equals + 1));
        return name && value && target.query.emplace(*name, *value).second;
    }

} // namespace

std::string percentEncode(std::string_view text)
{
    const text_handle encoded(evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0));
    return encoded.get();
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::size_t size = 0;
    const text_handle decoded(evhttp_uridecode(std::string(text).c_str(), 0, &size));
    std::string value(decoded.get(), size);
    // The library passes malformed sequences through; comparing with the one canonical encoding finds them.
    if (percentEncode(value) != text)
        return std::nullopt;
    return value;
}

std::optional<uri_target> parseTarget(std::string_view text)
{
    uri_target target;
    const auto question = text.find('?');
    const auto path = text.substr(0, question);
    if (!path.starts_with('/'))
        return std::nullopt;
    const bool isPathValid = forEachPart(path.substr(1), '/', [&](std::string_view part) {
        const auto decoded = percentDecode(part);
        if (decoded)
            target.path.push_back(*decoded);
        return decoded.has_value();
    });
    if (!isPathValid)
        return std::nullopt;
    if (question == std::string_view::npos)
        return target;
    const bool isQueryValid = forEachPart(
        text.substr(question + 1), '&', [&](std::string_view part) { return addParameter(target, part); });
    if (!isQueryValid)
        return std::nullopt;
    return target;
}

} // namespace heatherdrift
