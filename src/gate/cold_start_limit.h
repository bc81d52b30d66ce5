#pragma once

#include "admission/server_status.h"
#include "base/clock.h"
#include "gate/slot_queue.h"

#include <deque>
#include <optional>

namespace heatherdrift {

struct cold_start_settings {
    double requestsPerSecond = 0; ///< What a cold backend server tolerates; 0: no limit.
    duration coldStart {}; ///< Longest time for which it is cold; zero: not known.

    bool operator==(const cold_start_settings&) const = default;
};

/// Limits the requests that are sent to a backend server while it is cold, or while it is not known whether it is.
///
/// At most the tolerated number of requests is sent in any sliding second, at even intervals, so that an urgent request
/// never waits for the end of the second. Designed for rates of 0.1 to 1000 requests per second.
class cold_start_limit {
public:
    /// An earlier process may have sent requests until this one started.
    explicit cold_start_limit(time_point processStart);

    void configure(const cold_start_settings&);

    /// The state of the backend server is unknown from now on, so that it counts as cold until it states otherwise. If
    /// its statement is expected within a moment, requests wait for it instead of being refused.
    void suspect(time_point now, duration answerIn);
    void recordHeartbeat(duration coldFor, time_point now);
    void recordHealth(duration coldFor, time_point now);

    bool isLimiting() const;
    /// When the backend server should be warm by its own statement; empty if it stated nothing or is warm.
    std::optional<time_point> statedEnd() const;
    /// State for other nodes; empty if the backend server is warm or about to state its state.
    std::optional<cold_status> status(time_point now) const;
    /// Time until another request may be sent if the given number of requests is sent before it. Zero if the limit is
    /// not in force.
    duration startDelay(std::size_t ahead, time_point now) const;

    /// The request is sent to the backend server now, cold or not.
    void recordStart(request_number, time_point now);
    /// The request was sent only now, as its connection had to be established first.
    void postponeStart(request_number, time_point now);
    /// The request was not sent after all, or does not count.
    void withdrawStart(request_number);

private:
    enum class server_state { unknown, cold, warm };

    struct start {
        request_number id = 0;
        time_point at {};
    };

    double requestsPerSecond() const;
    std::size_t startsPerWindow() const;
    duration window() const;
    duration interval() const;
    duration limited(duration coldFor) const;

    time_point m_processStart;
    std::optional<cold_start_settings> m_settings; ///< Empty until the configuration is known.
    server_state m_state = server_state::unknown;
    time_point m_coldUntil {}; ///< As stated; the latest end if the state is unknown.
    time_point m_answerExpectedAt {};
    time_point m_heartbeatColdUntil {}; ///< By the last heartbeat.
    bool m_isColdByHealth = false; ///< Stated by a health answer, and no heartbeat has come since.
    std::deque<start> m_starts; ///< The latest ones, by time.
    time_point m_nextInterval {}; ///< Start of the next request at even intervals.
};

} // namespace heatherdrift
