#pragma once

#include "gate/call_admission.h"
#include "gate/call_capacity.h"
#include "gate/call_graph.h"

#include <functional>

namespace heatherdrift {

/// What a nested call states about the request that it is made for.
struct outer_request {
    int priority = 0; ///< Of the outermost request.
    int depth = 1; ///< Number of calls between the outermost request and this one.

    bool operator==(const outer_request&) const = default;
};

constexpr int maxCallDepth = 16; ///< Longer chains of calls are told apart no further.

/// Whether a request may run as far as its calls are concerned.
struct call_decision {
    bool isAdmitted = true;
    double rate = 0; ///< Executions per second at which it is let through; see call_admission.
    duration retryAfter {}; ///< For a refusal: expected time until its calls find capacity.
    std::string service; ///< For a refusal: the called service with the least capacity.
};

/// Calls of the requests that the backend server runs: which ones there are, how urgent they are, and whether they will
/// find capacity. Part of the node beside the backend server, which is both its gate and the entry node of its calls.
class nested_calls {
public:
    /// Recent statuses of the backend servers of a service.
    using status_function = std::function<std::vector<reported_status>(const std::string& service, time_point now)>;

    /// Without isEnabled, no call has a known parent and every request is admitted.
    nested_calls(bool isEnabled, status_function);

    /// To be called once for each request that arrives.
    call_decision admit(const std::string& kind, int priority, time_point now);
    /// Levels of calls that a request causes; see slot_reservation. depth: number of calls that led to it.
    int callHeight(const std::string& kind, int depth) const;
    void onStarted(request_number, const running_execution&);
    /// Returns whether work was thrown away: the execution ended badly after one of its calls was refused.
    bool onEnded(request_number, bool isAnswered, bool isGood, time_point now);
    void onCancelled(request_number);

    /// The running request that may have made a call; empty if there is none.
    std::optional<possible_call> attribute(const outgoing_call&, time_point now) const;
    /// height: as reported by the gate that the call was sent to; empty if the request does not count as nested there.
    void onCallEnded(const possible_call&, call_outcome, std::optional<int> height, time_point now);

    const call_graph& graph() const { return m_graph; }
    std::uint64_t refusedExecutions() const { return m_refusedExecutions; }
    std::uint64_t lostExecutions() const { return m_lostExecutions; }

private:
    struct known_statuses {
        std::vector<reported_status> statuses;
        time_point at {};
    };

    /// Capacity of the called service that has the least.
    struct service_capacity {
        std::optional<call_capacity> capacity; ///< Empty without recent statuses.
        std::string service;
    };

    const std::vector<reported_status>& statusesOf(const std::string& service, time_point now);
    service_capacity leastCapacity(const std::vector<called_route>&, int priority, time_point now);
    double lossProbability(const std::string& kind, int priority, time_point now) const;

    bool m_isEnabled;
    status_function m_statuses;
    call_graph m_graph;
    call_admission m_admission;
    std::map<std::string, known_statuses> m_known; ///< By service.
    std::uint64_t m_refusedExecutions = 0;
    std::uint64_t m_lostExecutions = 0;
};

} // namespace heatherdrift
