#pragma once

#include "admission/server_status.h"
#include "base/clock.h"
#include "base/failure.h"
#include "base/store_types.h"
#include "gate/nested_calls.h"
#include "http/http_message.h"
#include "mesh/passed_status.h"
#include "ranges/range_map.h"

#include <cstdint>
#include <optional>

namespace heatherdrift {

/// A caller's request as an entry node forwards it to a gate.
struct routed_request {
    http_request message; ///< As the caller sent it, without hop-by-hop headers.
    std::string id;
    std::string route;
    std::string service;
    std::string callerService;
    time_point objective {};
    time_point deadline {};
    int priority = 0;
    bool isFromOwnHost = false; ///< Sent from the entry node's instance, as nested requests of its backend server are.
    bool isIdempotent = false;
    std::optional<key_number> key;
    std::string callerZone {}; ///< Availability zone of the entry node.
    /// Request that this one is probably made for. The gate uses it if the route counts as nested.
    std::optional<outer_request> outer {};
    /// Was refused before and came back at the time that the entry node assigned. For requests without a key only.
    bool isReturn = false;
};

/// Version and freshness of a node's copy of a store table.
struct table_statement {
    row_version newestChange = 0;
    duration age {}; ///< Time since the copy was last known to match the store.

    bool operator==(const table_statement&) const = default;
};

struct table_statements {
    table_statement configuration;
    table_statement members;

    bool operator==(const table_statements&) const = default;
};

/// Load and state of a gate, sent with each of its responses.
struct gate_load {
    life_name life;
    double load = 0; ///< Share of the slots in use or waited for.
    /// Slots needed for the requests to its keys (arrival rate times service time), divided by the slots.
    double demand = 0;
    std::int64_t mapVersion = 0; ///< Version of the gate's range map; 0 if it has none.
    bool isDraining = false;
    std::optional<table_statements> tables; ///< Empty until the node has read the tables.
    std::optional<server_status> status {}; ///< Of the backend server, if the deployment uses it.

    bool operator==(const gate_load&) const = default;
};

/// Result of a request at a gate.
struct gate_answer {
    verdict outcome = verdict::not_run;
    error_code reason = error_code::internal; ///< Valid unless the backend server answered.
    bool reachedBackend = false; ///< The backend server received the request, whether it ran it or not.
    http_response response; ///< Response of the backend server, if it answered.
    duration retryAfter {}; ///< For a refusal: expected time until a slot is free.
    bool isReturnAssigned = false; ///< For a refusal: capacity is kept for the request at that time.
    bool isFinal = false; ///< For a refusal: other gates of the service would refuse the request for the same reason.
    /// Levels of calls that the request's route causes, if the request counts as nested; see slot_reservation.
    std::optional<int> nestedHeight {};
    /// From the moment at which the gate read the request to its answer; known if the backend server has not answered.
    duration timeAtGate {};
    gate_load load;
    std::vector<passed_status> others {}; ///< Of other backend servers of the service, for the choice among them.
};

/// Header of requests between nodes with the intended node, since its address may since belong to another node.
constexpr const char* targetNodeHeader = "heatherdrift-target";
/// Status of a response by a node that is not the intended one.
constexpr int statusOtherNode = 421;

http_request encodeForward(const routed_request&, time_point now);
/// Whether the request is one of a caller, whatever its path is, and not a message between nodes.
bool isForwarded(const http_request&);
result<routed_request> decodeForward(const http_request&, time_point now);
http_response encodeAnswer(gate_answer);
/// Fields of an answer by which a node states that it has not run a request that it could not read.
http_headers rejectionHeaders();
/// The same for a request that it had no memory for.
http_headers overloadHeaders(duration retryAfter);
result<gate_answer> decodeAnswer(http_response);

} // namespace heatherdrift
