#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdrift {

/// Percent-encodes every byte but letters, digits, '-', '.', '_' and '~' (RFC 3986, section 2.3).
std::string percentEncode(std::string_view);
/// Inverse of percentEncode(); empty for any other text.
std::optional<std::string> percentDecode(std::string_view);

/// A request target split into its decoded parts.
struct uri_target {
    std::vector<std::string> path;
    std::map<std::string, std::string, std::less<>> query;

    bool operator==(const uri_target&) const = default;
};

/// Splits "/a/b?c=d". Empty if the target does not start with '/' or has a malformed part.
std::optional<uri_target> parseTarget(std::string_view);

} // namespace heatherdrift
