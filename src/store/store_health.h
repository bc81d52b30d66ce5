#pragma once

#include "base/clock.h"

namespace heatherdrift {

/// When the judgement changes. Both the count and the time must be reached.
struct store_health_limits {
    int failures = 3; ///< Calls in a row without an answer.
    duration failureTime = std::chrono::seconds(3); ///< From the first of them to the last.
    int answers = 5; ///< Answers in a row.
    duration answerTime = std::chrono::seconds(2); ///< From the first of them to the last.
};

/// Judges from the outcomes of calls whether the store answers. A store that answers only some calls keeps its last
/// judgement, so that a partial failure causes no series of changes.
class store_health {
public:
    explicit store_health(const store_health_limits& limits = {})
        : m_limits(limits)
    {
    }

    /// Returns whether the judgement changed.
    bool recordAnswer(time_point now) { return record(true, now); }
    /// Returns whether the judgement changed.
    bool recordFailure(time_point now) { return record(false, now); }

    bool isAvailable() const { return m_isAvailable; }

private:
    bool record(bool isAnswer, time_point now);

    store_health_limits m_limits;
    bool m_isAvailable = true;
    int m_run = 0; ///< Outcomes in a row that speak against the judgement.
    time_point m_runStart;
};

} // namespace heatherdrift
