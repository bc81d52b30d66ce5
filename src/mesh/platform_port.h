#pragma once

#include "admission/server_load.h"
#include "base/failure.h"
#include "base/identifiers.h"
#include "base/store_types.h"
#include "http/http_message.h"
#include "ranges/hold_manager.h"
#include "routes/route_configuration.h"

#include <functional>
#include <optional>

namespace heatherdrift {

/// Platform-specific fields of a caller's request.
struct caller_request {
    std::string id; ///< Identifies one attempt of a caller; empty if the caller sent none.
    std::string host;
    std::string path;
    std::optional<duration> timeout; ///< How long the caller waits for the response.
    std::optional<key_number> key;

    bool operator==(const caller_request&) const = default;
};

/// Fields that the gate adds to a request for the backend server.
struct backend_call {
    std::string backendId; ///< The only backend server that may run it.
    std::string callerService; ///< Service of the instance that received the request from the caller.
    duration timeout {}; ///< Remaining time until the deadline.

    bool operator==(const backend_call&) const = default;
};

/// Platform-specific fields of a backend server's response.
struct backend_answer {
    std::string requestId; ///< Request that the response belongs to; empty if not stated.
    bool isNotExecuted = false; ///< The backend server states that it did not run the request.
    bool isFromBackend = false; ///< Carries the header that only the backend server itself adds to its responses.
    std::optional<server_load> load {}; ///< Empty if it states none, or not in a form that can be read.
    bool hasMalformedLoad = false;
    std::optional<duration> coldFor {}; ///< In health responses: how much longer the backend server is cold.

    bool operator==(const backend_answer&) const = default;
};

/// Heartbeat of the backend server beside this node.
struct backend_announcement {
    std::string id;
    std::int64_t startedAt = 0; ///< Milliseconds since 1970; a restart under the same id has a later one.
    /// Increases within a life, so that announcements that arrive out of order are detected.
    std::int64_t sequence = 0;
    std::string service;
    endpoint address;
    int slots = 1;
    bool isDraining = false;
    std::vector<held_range> holds;
    std::vector<released_range> released;
    bool statesKeys = true; ///< False: it contains no lists of held and released keys, so nothing follows from them.
    duration coldFor {}; ///< How much longer the backend server tolerates only few requests.

    life_name life() const { return makeLife(id, startedAt); }
    bool operator==(const backend_announcement&) const = default;
};

/// Translates between the platform's messages and the project's types; contains no policy.
struct platform_port {
    std::function<result<caller_request>(const http_request&)> decodeRequest;
    std::function<void(http_headers&, const backend_call&)> addBackendHeaders;
    std::function<backend_answer(const http_response_head&)> decodeAnswer;
    std::function<result<backend_announcement>(const http_request&)> decodeAnnouncement;
    /// Id of a backend server that announces its shutdown; empty for any other message.
    std::function<std::optional<std::string>(const http_request&)> decodeDeparture;
    std::function<http_response(const hold_grant&)> encodeGrant;
    std::function<void(http_response_head&, duration)> addRetryAfter;
    std::function<result<route_configuration>(std::string_view)> decodeConfiguration;
    row_key configurationRow;
    /// Availability zone that the operator has evacuated by this row; empty for any other row.
    std::function<std::optional<std::string>(const row_key&)> decodeEvacuation;
    std::string readinessPath;
};

} // namespace heatherdrift
