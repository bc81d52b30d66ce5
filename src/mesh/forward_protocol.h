#pragma once

#include "base/clock.h"
#include "base/failure.h"
#include "base/store_types.h"
#include "http/http_message.h"
#include "ranges/range_map.h"

#include <cstdint>
#include <optional>

namespace heatherdrift {

/// A caller's request on its way to a gate.
struct routed_request {
    http_request message; ///< As the caller sent it, without headers that concern one connection.
    std::string id;
    std::string route;
    std::string service;
    std::string callerService;
    time_point objective {};
    time_point deadline {};
    int priority = 0;
    bool isFromOwnHost = false; ///< Sent from the instance of the entry node, as nested requests are.
    bool isIdempotent = false;
    std::optional<key_number> key;
};

/// What a node knows of a table of the store that all nodes follow.
struct table_statement {
    row_version newestChange = 0;
    duration age {}; ///< The known rows were those in the store so long ago.

    bool operator==(const table_statement&) const = default;
};

struct known_tables {
    table_statement configuration;
    table_statement members;

    bool operator==(const known_tables&) const = default;
};

/// What a gate tells of itself with each answer.
struct gate_load {
    life_name life;
    double load = 0; ///< Share of the slots in use or waited for.
    double demand = 0; ///< Slots that the requests for its keys need by their rate and service time, per slot.
    std::int64_t mapVersion = 0; ///< Of the range map that the gate knows.
    bool isDraining = false;
    std::optional<known_tables> tables; ///< Empty before the node has read them.

    bool operator==(const gate_load&) const = default;
};

/// What became of a request at a gate.
struct gate_answer {
    verdict outcome = verdict::not_run;
    error_code reason = error_code::internal; ///< Unless the backend server answered.
    bool reachedBackend = false; ///< The backend server got the request, whether it ran it or not.
    http_response response; ///< Of the backend server, if it answered.
    duration retryAfter {}; ///< Expected time until there is room, for a refusal.
    gate_load load;
};

/// Header of requests between nodes: the node that is meant. Another one may have its address by now.
constexpr const char* targetNodeHeader = "heatherdrift-target";
/// Status by which a node says that it is not the one that is meant.
constexpr int statusOtherNode = 421;

http_request encodeForward(const routed_request&, time_point now);
result<routed_request> decodeForward(const http_request&, time_point now);
http_response encodeAnswer(const gate_answer&);
result<gate_answer> decodeAnswer(http_response);

} // namespace heatherdrift
