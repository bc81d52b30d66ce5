#pragma once

#include "http/http_client.h"

namespace heatherdrift {

/// Limits of a transfer whose size is not known in advance.
struct transfer_limits {
    time_point headBy {}; ///< Deadline for the head of the answer.
    duration stallTime {}; ///< Longest time between two parts of the answer.
    time_point deadline {}; ///< For the whole answer; bounds a server that sends a little now and then.
    std::size_t bodyBytes = 0;

    bool operator==(const transfer_limits&) const = default;
};

/// Sends a request and collects the whole answer for as long as parts of it keep arriving. Fails like fetch(), with
/// `deadline_exceeded` when one of the times has passed; the message has the number of bytes received.
http_call_ptr fetchWithProgress(
    http_client&, http_request, const transfer_limits&, std::function<void(result<http_response>)>);

} // namespace heatherdrift
