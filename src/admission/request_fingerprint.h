#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

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

} // namespace heatherdrift
