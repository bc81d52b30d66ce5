#pragma once

#include "base/clock.h"

#include <optional>

namespace heatherdrift {

/// Detects rises of a value well above its usual level, such as the time that work takes.
class rise_detector {
public:
    /// True once per rise.
    bool record(double value);

private:
    double m_recent = 1;
    double m_usual = 1;
    bool m_isRaised = false;
};

/// When the health of a backend server is checked. Each check costs the backend server work, so there are none while
/// nothing changes.
class health_check_plan {
public:
    /// The state of the backend server may have changed.
    void request(time_point now);
    /// Work takes longer than usual, which has other causes more often than a change of the state.
    void requestAfterRise(time_point now);
    /// The backend server should be in another state from then on by its own statement; empty: in no other.
    void setStatedEnd(std::optional<time_point> at) { m_statedEnd = at; }
    /// The backend server stated its state otherwise, so that a failed check need not be repeated.
    void dropRepetition();

    void onSent(time_point now);
    void onAnswered();
    void onFailed(time_point now);

    /// Time of the next check; empty if there is none to be sent, or one is in progress.
    std::optional<time_point> nextAt() const;

private:
    std::optional<time_point> m_requestedAt;
    std::optional<time_point> m_statedEnd;
    time_point m_sentAt {};
    bool m_isInProgress = false;
    int m_failures = 0; ///< Since the last answer or request.
};

} // namespace heatherdrift
