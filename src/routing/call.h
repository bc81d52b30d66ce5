#pragma once

#include "base/clock.h"
#include "configuration/configuration.h"
#include "http/http_message.h"
#include "telemetry/trace.h"

#include <optional>
#include <string>

namespace heatherdrift {

/// Names of the headers between callers, nodes and backend servers; docs/requests.md describes them.
namespace header {
    constexpr const char* key = "heatherdrift-key";
    constexpr const char* labels = "heatherdrift-labels";
    constexpr const char* customer = "heatherdrift-customer";
    constexpr const char* token = "heatherdrift-token";
    constexpr const char* timeoutMilliseconds = "heatherdrift-timeout-ms";
    constexpr const char* requestId = "heatherdrift-request-id";
    constexpr const char* verdict = "heatherdrift-verdict";
    constexpr const char* error = "heatherdrift-error";
    constexpr const char* owner = "heatherdrift-owner";
    constexpr const char* grant = "heatherdrift-grant";
    constexpr const char* firstStatus = "heatherdrift-first-status";
    constexpr const char* target = "heatherdrift-target";
    constexpr const char* traceparent = "traceparent";
}

/// A validated caller's request with the policy of the selector that matches its labels.
struct call {
    std::string requestId;
    std::string key; ///< Empty if the call needs no ownership.
    std::string workspace;
    std::string token; ///< Empty if the request has none.
    label_set labels;
    time_point deadline;
    trace_context trace;
    std::string pool;
    std::string selector;
    call_policy policy;
    http_request request; ///< Without the headers above and without hop-by-hop headers.

    bool operator==(const call&) const = default;
};

/// Parses a caller's request. Fails with bad_request, no_selector or too_large; the verdict is always not_run.
result<call> parseCall(const http_request&, std::string requestId, const configuration&, time_point now);

/// Process that must run a forwarded call, according to the entry node's routing snapshot.
struct call_target {
    instance_ref owner;

    bool operator==(const call_target&) const = default;
};

/// The request to the owner's node: the caller's request with the call's headers.
http_request toForwardedRequest(const call&, const call_target&, time_point now);
/// Inverse of toForwardedRequest(), used at the owner's node.
result<std::pair<call, call_target>> parseForwardedCall(const http_request&, const configuration&, time_point now);

/// Proof of ownership that is sent to a backend server that checks grants.
struct backend_grant {
    std::string pool;
    partition_index partition = 0;
    epoch number = 0;
    time_point leaseEnd; ///< On the boot clock, which both processes of an instance share.

    bool operator==(const backend_grant&) const = default;
};

http_request toBackendRequest(const call&, const std::optional<backend_grant>&, time_point now);

/// Complete response for a failed call, with the HTTP status that belongs to the error.
http_response toFailureResponse(const failure&, const std::string& requestId);
int statusOf(error_code);

/// Failure carried by the headers of another node's response, if any.
std::optional<failure> parseFailure(const http_response_head&);

/// Whether a failed call may be sent again, by its verdict and kind.
bool mayRetry(const failure&, const call_policy&);

} // namespace heatherdrift
