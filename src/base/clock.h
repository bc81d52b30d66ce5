#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace heatherdrift {

/// Monotonic clock that keeps running while the machine sleeps (CLOCK_BOOTTIME), in microseconds.
struct boot_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;

    static time_point now();
};

using time_point = boot_clock::time_point;
using duration = boot_clock::duration;

/// Whole milliseconds as decimal digits, for log lines.
std::string millisecondsText(duration);

/// Source of the current time; tests pass their own.
using clock_function = std::function<time_point()>;

} // namespace heatherdrift
