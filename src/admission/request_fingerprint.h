#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdrift {

/// Identifies requests with the same content, across retries and nodes.
using request_fingerprint = std::uint64_t;

/// The parts of a request that make up its content.
struct request_content {
    std::string_view pool;
    std::string_view method;
    std::string_view path; ///< With the query.
    std::string_view key;
    std::optional<std::string_view> body; ///< Empty if the body is not available.
    std::string_view token; ///< Used only if the body is not available.
};

request_fingerprint fingerprintOf(const request_content&);

/// Hexadecimal form, for log lines.
std::string fingerprintText(request_fingerprint);
/// The first fingerprints of the list, separated by spaces, and the number of those that are left out.
std::string fingerprintText(const std::vector<request_fingerprint>&);

} // namespace heatherdrift
