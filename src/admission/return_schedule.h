#pragma once

#include "admission/server_status.h"
#include "base/clock.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace heatherdrift {

/// Properties by which a refused request is recognised when its caller sends it again. The caller states nothing, but
/// its deadline stays the same.
struct return_request {
    std::string kind;
    std::string zone; ///< Availability zone of the entry node; a caller may return through another one.
    int priority = 0; ///< 0 is the highest.
    std::optional<std::uint64_t> key;
    time_point deadline {};

    bool operator==(const return_request&) const = default;
};

/// Expected capacity for requests that return.
struct return_capacity {
    double perSecond = 0; ///< Requests per second that the server or the service can run.
    duration backlog {}; ///< Time after which the work that is known now has been started.
    duration serviceTime {}; ///< Expected for the request.

    bool operator==(const return_capacity&) const = default;
};

/// When the caller of a refused request should send it again.
struct return_time {
    time_point at {};
    bool isAssigned = false; ///< Capacity is kept for it. Otherwise, capacity is expected at that time.

    bool operator==(const return_time&) const = default;
};

/// Numbers since the start of the process.
struct return_counts {
    std::uint64_t assigned = 0;
    std::uint64_t onTime = 0; ///< Requests that came back at their assigned time.
    std::uint64_t refusedTwice = 0; ///< Requests refused at their return, with or without an assigned time.

    bool operator==(const return_counts&) const = default;
};

enum class return_kind {
    none, ///< A first attempt, as far as is known.
    untimely, ///< Was refused before without an assigned time, or did not come back at it.
    on_time,
};

/// Assigns times for the return of refused callers, no faster than capacity becomes free for them. Designed for some
/// hundred refusals per second and callers that return once, within a third of their remaining time.
class return_schedule {
public:
    /// Recognises a request that was refused before and forgets its refusal.
    return_kind recognise(const return_request&, time_point now);
    /// A first attempt is refused: assigns a time for its return, if it can be served then.
    return_time refuse(const return_request&, const return_capacity&, time_point now);
    /// A request that was recognised as a return is refused again; its caller does not send it a third time.
    void recordSecondRefusal() { ++m_counts.refusedTwice; }
    /// Expected returns of this priority or a higher one with assigned times up to the given one.
    std::size_t dueBefore(int priority, time_point until, time_point now) const;

    const return_counts& counts() const { return m_counts; }
    std::size_t size() const { return m_refused.size(); }

private:
    struct refused_request {
        return_request request;
        return_time time;
        time_point refusedAt {};

        /// Whether a return now is at the assigned time.
        bool isDue(time_point now) const;
    };

    void removeExpired(time_point now);

    std::deque<refused_request> m_refused; ///< In the order of the refusals.
    /// By urgency level: the last assigned time, of this level or a more urgent one.
    std::array<time_point, urgencyLevels> m_lastTimes {};
    return_counts m_counts;
};

} // namespace heatherdrift
