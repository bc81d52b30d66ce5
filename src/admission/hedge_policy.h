#pragma once

#include "admission/lru_map.h"
#include "admission/retry_budget.h"
#include "admission/server_outlook.h"
#include "base/clock.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdrift {

/// Settings of hedge_policy; see docs/design/hedged-requests.md.
struct hedge_settings {
    double share = 0; ///< Hedges per first attempt; at 0 none is sent.
    duration window = std::chrono::seconds(10); ///< Over which the hedges and the first attempts are counted.

    bool operator==(const hedge_settings&) const = default;
};

/// A request with its attempt in progress.
struct hedge_request {
    std::string route;
    bool isEligible = false; ///< May be repeated, has no key, and is not known to be part of a repeated request.
    int attempts = 1; ///< Backend attempts of the request, including the one in progress.
    int maxAttempts = 1; ///< Of the route.
    time_point sentAt {}; ///< Start of the attempt in progress.
    time_point objective {};
    time_point deadline {};
    duration objectiveTime {}; ///< Time from the arrival of the request to its objective.

    bool operator==(const hedge_request&) const = default;
};

/// Circumstances at the time of the decision.
struct hedge_situation {
    time_point dueAt {}; ///< Time at which the event loop should have made the decision.
    duration usualWait {}; ///< Mean of the waits that the gates of the service report at the request's urgency.
    std::optional<server_outlook> first; ///< Server of the attempt in progress; empty if it is gone.
    std::optional<server_outlook> second; ///< Server that the hedge would be sent to; empty if there is none.

    bool operator==(const hedge_situation&) const = default;
};

enum class hedge_decision {
    send,
    not_eligible,
    loop_late, ///< The answer may have arrived without being read; the decision should be made again.
    short_of_capacity,
    no_server,
    no_gain, ///< The second server is not expected to answer clearly earlier, or not in time.
    over_limit, ///< More than the share of the first attempts.
    over_budget, ///< The retry budget of the service is exhausted.
};

std::string_view toString(hedge_decision);

/// Decides whether and when an entry node sends a second attempt (hedge) of a request whose answer is slow. One per
/// service. Designed for 66 entry nodes with 10 to 20 requests per second and servers that are three times slower for
/// 400 ms at a time; the state is bounded at any rate of requests.
class hedge_policy {
public:
    explicit hedge_policy(const hedge_settings&);

    void recordFirstAttempt(time_point now);
    /// The time from an attempt to its answer, or a lower bound of it for an attempt that was cancelled.
    void recordAnswer(const std::string& route, duration, time_point now);
    /// A gate of the service refused a request because of overload.
    void recordOverload(time_point now);

    /// The time at which decide() is to be called unless the attempt has ended; empty if the request will not be
    /// hedged. first: state of the picked server before the attempt.
    std::optional<time_point> checkAt(
        const hedge_request&, const std::optional<server_outlook>& first, time_point now) const;
    /// Counts the hedge and takes a token of the budget if the result is `send`.
    hedge_decision decide(const hedge_request&, const hedge_situation&, retry_budget&, time_point now);
    /// The time at which decide() is to be called again after it has decided against a hedge; empty if the request will
    /// not be hedged.
    static std::optional<time_point> checkAgainAt(
        const hedge_request&, const hedge_situation&, hedge_decision, time_point now);

    /// Hedges that may be sent now.
    double allowance(time_point now);

private:
    /// Recent answers of a route.
    struct answer_times {
        static constexpr std::size_t capacity = 256;
        std::vector<duration> values; ///< The newest ones; the oldest is replaced first.
        std::size_t next = 0;
        std::size_t changed = 0; ///< Values since the quantile was determined.
        duration late {}; ///< The 95th percentile.
        time_point newest {};
    };

    /// Counts events in the last part of a window, with a resolution of a hundredth of it.
    struct event_count {
        struct bucket {
            time_point from {};
            int count = 0;
        };
        std::deque<bucket> buckets;
        int total = 0;

        void add(duration resolution, time_point now);
        void dropUntil(time_point);
    };

    const answer_times* answersOf(const std::string& route, time_point now) const;
    duration remainingTime(const hedge_request&, const std::optional<server_outlook>& first, time_point now) const;
    bool isShort(const hedge_request&, const hedge_situation&, time_point now) const;
    bool isGain(const hedge_request&, const hedge_situation&, time_point now) const;

    hedge_settings m_settings;
    lru_map<std::string, answer_times> m_answers; ///< By route.
    event_count m_firstAttempts;
    event_count m_hedges;
    time_point m_overloadUntil = time_point::min(); ///< Until then the service counts as short of capacity.
};

} // namespace heatherdrift
