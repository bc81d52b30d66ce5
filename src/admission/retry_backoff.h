#pragma once

#include "admission/random_function.h"
#include "base/clock.h"

#include <optional>

namespace heatherdrift {

/// Settings of exponential backoff.
struct backoff_settings {
    duration first = std::chrono::milliseconds(10); ///< Longest delay after the first failure; it doubles each time.
    duration most = std::chrono::seconds(1); ///< Longest delay after any number of failures.

    bool operator==(const backoff_settings&) const = default;
};

/// Longest delay after this number of failures, at least 1.
duration backoffWindow(int failures, const backoff_settings&);

/// Time of the next attempt at a request that failed this many times. Empty if an attempt that takes `needed` can no
/// longer end by the deadline.
std::optional<time_point> nextAttempt(int failures, time_point now, time_point deadline, duration needed,
    const random_function&, const backoff_settings& = {});

} // namespace heatherdrift
