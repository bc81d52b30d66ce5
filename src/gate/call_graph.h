#pragma once

#include "admission/decaying_sum.h"
#include "admission/server_status.h"
#include "base/clock.h"
#include "gate/slot_queue.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heatherdrift {

/// A request that the backend server is running.
struct running_execution {
    std::string kind;
    int priority = 0; ///< Of the outermost request.
    int depth = 0; ///< Number of calls between the outermost request and this one.
    time_point deadline {};
    double admittedAt = 0; ///< Executions per second at which it was let through; see call_admission.

    bool operator==(const running_execution&) const = default;
};

/// A request from the host of the backend server.
struct outgoing_call {
    std::string route;
    std::string service;
    time_point objective {};
    std::optional<time_point> deadline; ///< Empty if the caller stated none.
};

/// A running request that may have made a call.
struct possible_parent {
    request_number id = 0;
    double evidence = 1; ///< By the deadline of the call, relative to the other parents.
};

/// A request from the host of the backend server that may be a nested call of a running request.
struct possible_call {
    std::string route;
    std::string service;
    std::vector<possible_parent> parents;
    running_execution parent; ///< The most likely one.
    duration timeLeft {}; ///< From the call to its objective, or to its deadline if that is earlier.
};

enum class call_outcome {
    answered,
    refused, ///< For lack of capacity, or not answered in time.
    unknown, ///< Says nothing about the capacity of the called service.
};

/// Calls that executions of a kind make, as learned.
struct called_route {
    std::string route;
    std::string service;
    double perExecution = 0;
    duration timeLeft {}; ///< Mean time from a call to its objective.
    double refusedShare = 0; ///< Of the recent calls of this route at the given urgency level.
};

/// How an execution ended.
struct ended_execution {
    running_execution execution;
    bool hasLostCall = false; ///< It ended badly after one of its calls was refused.
};

/// Learns which kinds of requests (routes) make which nested calls, how often, and how the calls fare.
///
/// Requests do not state by which request they were made. A call expires at its parent's deadline at the latest, and
/// its parent runs until the call is answered. If several running requests remain, the call is attributed to them in
/// proportion to the calls that their kinds are expected to make.
class call_graph {
public:
    void onStarted(request_number, const running_execution&);
    /// isAnswered: the backend server has answered it, so that it has made its calls; isGood: with a result. Empty if
    /// it was not running.
    std::optional<ended_execution> onEnded(request_number, bool isAnswered, bool isGood, time_point now);

    /// The execution says nothing about the calls of its kind.
    void onCancelled(request_number id) { m_running.erase(id); }

    /// Empty if no running request can have made the call.
    std::optional<possible_call> attribute(const outgoing_call&, time_point now) const;
    /// The call was answered, and counts as nested by the gate that it was sent to.
    void onCallEnded(const possible_call&, call_outcome, time_point now);
    /// A gate reported the height of a route; see slot_reservation.
    void onHeight(const std::string& route, int height, time_point now);

    std::vector<called_route> callsOf(const std::string& kind, int priority, time_point now) const;
    /// Levels of nested calls that a request of this kind causes, at most maxCallHeight.
    int height(const std::string& kind) const;
    std::size_t running() const { return m_running.size(); }

private:
    struct running_entry {
        running_execution execution;
        std::map<std::string, double> calls; ///< By route; a call counts in part if others may have made it.
    };
    /// A refused call of which no parent has ended badly.
    struct refused_call {
        std::vector<possible_parent> parents;
        time_point at {};
    };
    struct learned_kind {
        double executions = 0;
        std::map<std::string, double> calls; ///< By route.
    };
    struct learned_route {
        std::string service;
        duration timeLeft {};
        int height = 0;
        time_point heightAt {};
        std::array<decaying_average, urgencyLevels> refused;

        learned_route();
    };

    double expectedCalls(const std::string& kind, const std::string& route) const;
    double weightOf(const running_entry&, const possible_parent&, const std::string& route) const;
    bool takeRefusedCall(request_number, time_point now);
    learned_route& routeOf(const std::string& route);

    std::map<request_number, running_entry> m_running;
    std::deque<refused_call> m_refusedCalls; ///< Oldest first.
    std::map<std::string, learned_kind> m_kinds;
    std::map<std::string, learned_route> m_routes;
};

} // namespace heatherdrift
