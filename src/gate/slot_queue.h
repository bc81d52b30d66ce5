#pragma once

#include "admission/decaying_sum.h"
#include "admission/server_status.h"
#include "base/clock.h"
#include "gate/overtaking_shares.h"
#include "gate/slot_reservation.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace heatherdrift {

using request_number = std::uint64_t;

/// Properties of a request that determine its place in the queue.
struct queued_request {
    request_number id = 0;
    bool isNested = false; ///< Made while handling a request that already occupies a slot of a backend server.
    int priority = 0; ///< 0 is the highest.
    std::string kind; ///< Requests of one kind have similar service times.
    time_point objective {}; ///< Latency objective: an answer should be sent by then.
    time_point deadline {}; ///< A later answer is useless to the caller.
    int callHeight = 0; ///< Levels of nested calls that it causes; see slot_reservation.
    /// Was refused before and came back at the time that was assigned to it.
    bool isReturn = false;

    bool operator==(const queued_request&) const = default;
};

enum class queue_decision {
    run, ///< A slot was assigned to the request.
    wait,
    refuse, ///< The request cannot be served in time.
};

struct slot_queue_settings {
    int slots = 1;
    duration initialServiceTime = std::chrono::milliseconds(100); ///< Initial estimate, until requests have ended.
    /// The priority of a nested request is that of the request that it is made for.
    bool ranksByCaller = false;

    bool operator==(const slot_queue_settings&) const = default;
};

/// Time until another request may be sent to a backend server that tolerates a limited rate, if the given number of
/// requests is sent before it. The rate may change between two calls.
using start_delay = std::function<duration(std::size_t ahead)>;

/// Number of requests of this priority or a higher one that are expected to return up to the given time, having been
/// promised capacity.
using expected_returns = std::function<std::size_t(int priority, time_point until)>;

/// Queue for the slots of one backend server. Order: nested requests first, since their callers occupy slots while they
/// wait; then by priority; then requests that can still meet their objective, by objective; then the others, by
/// deadline. If it ranks by caller, priority comes first and nested requests go before others of the same priority;
/// requests that make calls then leave slots to those that make fewer levels of calls. Requests that return at their
/// assigned time go before others of their priority.
class slot_queue {
public:
    explicit slot_queue(const slot_queue_settings&);

    /// Refuses a request at once if it is unlikely to be served before its deadline, so that under a load spike it does
    /// not delay others until it fails.
    queue_decision submit(const queued_request&, time_point now);
    /// Frees the slot of a running request. serviceTime is empty if it must not count in the estimated service times.
    void finish(request_number, std::optional<duration> serviceTime);
    /// Removes a waiting request; false if it is not in the queue.
    bool cancel(request_number);
    /// Removes and returns waiting requests that can no longer be served in time.
    std::vector<request_number> takeUnservable(time_point now);
    /// Removes and returns the next request to run, if a slot is free.
    std::optional<request_number> takeNext(time_point now);

    void setSlots(int);
    /// Limits the rate at which requests run, in addition to the slots.
    void limitStarts(start_delay delay) { m_startDelay = std::move(delay); }
    /// New requests count the returns that are due before they would start as work ahead of them.
    void expectReturns(expected_returns returns) { m_expectedReturns = std::move(returns); }
    int slots() const { return m_settings.slots; }
    std::size_t running() const { return m_running.size(); }
    std::size_t waiting() const { return m_waiting.size(); }
    /// Expected waiting time for a slot of a request submitted now.
    duration expectedWait() const;
    /// The same for a request of this priority, which other waiting requests of lower priority do not delay.
    duration expectedWait(int priority) const;
    duration serviceTime(const std::string& kind) const;
    /// Running and waiting requests relative to the number of slots; above 1 if requests wait.
    double load() const;
    duration meanServiceTime() const { return m_meanServiceTime; }

private:
    struct running_request {
        std::string kind;
        time_point startedAt;
        int callHeight = 0;
    };
    struct waiting_share {
        int callHeight = 0;
        duration serviceTime {};
    };

    duration startDelay(std::size_t ahead) const { return m_startDelay ? m_startDelay(ahead) : duration(); }
    bool canStart(const queued_request&) const;
    bool isRateLimited() const { return startDelay(1) > duration::zero(); }
    void start(const queued_request&, time_point now);
    std::size_t rankOf(const queued_request&, time_point now) const;
    /// Expected end of a request that waits for a limited start behind this many others.
    time_point expectedLimitedEnd(const queued_request&, std::size_t ahead, std::size_t rank, time_point now) const;
    bool isWorthWaitingForStart(const queued_request&, time_point now) const;
    bool isUnservable(const queued_request&, const std::vector<waiting_share>& ahead, time_point now) const;
    void recordOvertaking(const queued_request& next, time_point now);
    duration expectedWaitBehind(std::size_t ahead) const;
    /// The same without requests that arrive later, by the service times of the given requests before it.
    duration expectedWaitBehind(const std::vector<waiting_share>& ahead, int callHeight) const;
    duration rankedWait(const std::vector<waiting_share>& ahead, int callHeight) const;
    /// Share of the slots that is left by more urgent requests.
    double shareLeftTo(int priority) const;
    /// Whether requests that are not late go before it once it is late.
    bool mayBeOvertaken(const queued_request&) const;
    bool isLate(const queued_request&, time_point now) const;
    bool isWorthWaiting(const queued_request&, time_point now) const;
    /// Expected end of a late request with this wait for the requests before it, while requests that are not late
    /// overtake it.
    time_point expectedLateEnd(const queued_request&, duration waitBehind, time_point now) const;
    bool precedes(const queued_request&, const queued_request&, time_point now) const;
    std::vector<waiting_share> waitingAhead(const queued_request&, time_point now) const;
    /// Adds the returns that are due before the request would start.
    void addExpectedReturns(const queued_request&, std::vector<waiting_share>& ahead, time_point now) const;
    void updateServiceTime(const std::string& kind, duration);

    slot_queue_settings m_settings;
    start_delay m_startDelay;
    expected_returns m_expectedReturns;
    std::vector<queued_request> m_waiting;
    std::unordered_map<request_number, running_request> m_running;
    std::unordered_map<std::string, duration> m_serviceTimes;
    duration m_meanServiceTime;
    /// Share of the freed slots that went to requests overtaking a late one, averaged while late requests waited.
    double m_overtakingShare = 0;
    slot_reservation m_reservation;
    /// Seconds of expected work of started requests, by urgency level.
    std::array<decaying_sum, urgencyLevels> m_startedWork;
    time_point m_lastStartAt {};
    overtaking_shares m_overtaking; ///< While the rate of starts is limited.
};

} // namespace heatherdrift
