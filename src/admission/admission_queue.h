#pragma once

#include "admission/admission_request.h"
#include "admission/decaying_sum.h"
#include "admission/demand_meter.h"
#include "admission/expected_wait.h"
#include "admission/workspace_fairness.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace heatherdrift {

class waiting_calls;
struct waiting_call;

/// Bounds for the waiting calls of one class.
struct waiting_bounds {
    std::size_t maxCalls = 0;
    duration maxExpectedWait {}; ///< A call whose expected wait is longer is refused.
    duration maxTimeInQueue {}; ///< A call that waited longer expires even if its deadline is later.

    bool operator==(const waiting_bounds&) const = default;
};

/// Settings of one admission_queue; see docs/admission.md for the reasons of the defaults.
struct admission_settings {
    int slots = 12; ///< Maximum number of concurrent calls; at least 1.
    double shortShare = 0.5; ///< Minimum share of the slots reserved for short calls.
    waiting_bounds shortCalls { 2000, std::chrono::milliseconds(200), std::chrono::milliseconds(800) };
    waiting_bounds longCalls { 200, std::chrono::seconds(5), std::chrono::seconds(20) };
    duration shortLimit = std::chrono::milliseconds(50); ///< A running call counts as long from this age on.

    bool operator==(const admission_settings&) const = default;
};

/// Replacements for the default policies; an empty function means the default.
struct admission_hooks {
    /// Slots reserved for short calls, by the number of slots and the recent demand of short calls in slots.
    std::function<int(int slots, double shortDemand)> reservedSlots;
    std::function<duration(const wait_factors&)> expectedWait;
    /// Called when a running short call exceeds the short limit and is counted as long from then on.
    std::function<void(std::uint64_t id, time_point now)> onCountedAsLong;
};

/// Decides when each call gets one of the slots of one backend server. Calls wait by class, priority, workspace and
/// deadline, in this order. Each submitted call leaves exactly once: by an action or by cancel(). Operations
/// take O(log n) plus the number of actions.
class admission_queue {
public:
    explicit admission_queue(const admission_settings&, admission_hooks = {});
    ~admission_queue();

    /// Submits a call. It is queued if none of the returned actions has its id.
    admission_actions submit(const admission_request&, time_point now);
    /// A running call ended and its slot is free. Unknown ids are ignored.
    admission_actions finish(std::uint64_t id, time_point now);
    /// Removes a waiting call; returns false if the call is not waiting.
    bool cancel(std::uint64_t id);
    /// To be called at nextEvent().
    admission_actions advance(time_point now);
    /// Changes the number of slots, at least 1. Calls that run above a lowered limit are not interrupted.
    admission_actions setSlots(int slots, time_point now);

    /// Time of the next call to advance(); time_point::max() if none is needed.
    time_point nextEvent(time_point now) const;
    int slots() const { return m_settings.slots; }
    /// Maximum number of long calls that may run now.
    int longLimit(time_point now) const;
    /// Number of running calls that count as this class.
    int running(call_length) const;
    std::size_t waiting(call_length) const;

private:
    struct running_call {
        admission_level level;
        std::string workspace;
        duration expected {};
        time_point startedAt {};
        call_length countedAs = call_length::short_call;
    };

    void advanceInto(admission_actions&, time_point now);
    void reclassifyOverdue(time_point now);
    void expireWaiting(admission_actions&, time_point now);
    void startWaiting(admission_actions&, time_point now);
    std::optional<call_length> nextClass(time_point now) const;
    bool mayStartLong(time_point now) const;
    bool isLongDue() const;
    bool canStartAtOnce(admission_level, time_point now) const;
    std::optional<failure> reasonToRefuse(const admission_request&, time_point now) const;
    wait_factors factorsFor(const admission_request&, time_point now) const;
    std::size_t countAhead(const admission_request&) const;
    bool makeRoom(const admission_request&, admission_actions&);
    void run(const admission_request&, admission_actions&, time_point now);
    const waiting_bounds& boundsFor(call_length) const;
    double averageServiceTime(call_length, duration prior, time_point now) const;

    admission_settings m_settings;
    admission_hooks m_hooks;
    std::unique_ptr<waiting_calls> m_waiting;
    workspace_fairness m_fairness;
    std::unordered_map<std::uint64_t, running_call> m_running;
    std::set<std::pair<time_point, std::uint64_t>> m_shortEnds; // When each running short call is counted as long.
    int m_runningLong = 0;
    call_length m_lastStarted = call_length::long_call;
    demand_meter m_admitted;
    std::array<decaying_average, 2> m_serviceTimes;
};

} // namespace heatherdrift
