#pragma once

#include "admission/random_function.h"
#include "base/clock.h"

#include <optional>

namespace heatherdrift {

/// Settings of exponential backoff.
struct backoff_settings {
    duration initialWindow
        = std::chrono::milliseconds(10); ///< Maximum delay after the first failure; doubles each time.
    duration maxWindow = std::chrono::seconds(1); ///< Upper bound of the maximum delay.

    bool operator==(const backoff_settings&) const = default;
};

/// Maximum delay after this number of failures; less than 1 failure counts as 1.
duration backoffWindow(int failures, const backoff_settings&);

/// Time of the next attempt of a request that failed this many times. Returns nullopt if an attempt that takes `needed`
/// can no longer end by the deadline.
std::optional<time_point> nextAttempt(int failures, time_point now, time_point deadline, duration needed,
    const random_function&, const backoff_settings& = {});

} // namespace heatherdrift
