#pragma once

#include "base/clock.h"
#include "base/failure.h"
#include "base/identifiers.h"
#include "http/http_message.h"
#include "standin/backend_server.h"

#include <optional>

namespace heatherdrift {

/// Fenced permission to run a request: header `heatherdrift-grant: pool/partition/epoch/lease end`, the lease end in
/// microseconds of CLOCK_BOOTTIME.
struct ownership_grant {
    partition_id partition;
    epoch number = 0;
    time_point leaseEnd;

    bool operator==(const ownership_grant&) const = default;
};

std::optional<ownership_grant> parseGrant(std::string_view);

/// What a request asks of the backend server, from its headers.
struct backend_request {
    std::string id;
    std::string key;
    std::string token;
    std::string crashWord;
    std::optional<ownership_grant> grant;
    std::optional<time_point> deadline;
    duration serviceTime {};
    std::size_t responseBytes = 0;
    std::int64_t bytesPerSecond = 0; ///< Of the answer's body; 0: as fast as the client reads.
};

/// Fails with bad_request, naming the header.
result<backend_request> parseBackendRequest(const http_request&, const backend_server_settings&, time_point receivedAt);

} // namespace heatherdrift
