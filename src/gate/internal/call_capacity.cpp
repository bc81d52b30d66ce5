#include "gate/call_capacity.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr auto maxStatusAge = std::chrono::milliseconds(1500); ///< Queues change completely within a second.
    constexpr double maxPressure = 3; ///< Bounds the effect of one report that is wrong.
    /// Least share of a call's time that counts as waiting time. The reported service time is that of all kinds of
    /// requests of the backend server, and may be longer than the call's time.
    constexpr int minWaitingPart = 4;

} // namespace

std::optional<call_capacity> assessCapacity(
    const std::vector<reported_status>& reports, int priority, duration timeLeft)
{
    call_capacity out { 0, duration::max(), true };
    int known = 0;
    for (const auto& [status, age] : reports) {
        if (age > maxStatusAge)
            continue;
        ++known;
        const auto work = std::chrono::duration_cast<duration>(status.serviceTime * status.slowdown);
        const auto allowed = std::max({ timeLeft - work, timeLeft / minWaitingPart, duration(1) });
        auto wait = status.expectedWaits[urgencyLevel(priority)];
        if (status.cold)
            wait = std::max(wait, status.cold->nextStartIn);
        out.pressure += std::min(static_cast<double>(wait.count()) / static_cast<double>(allowed.count()), maxPressure);
        out.shortestWait = std::min(out.shortestWait, std::max(wait - age, duration()));
        out.isExhausted = out.isExhausted && wait - age > allowed;
    }
    if (known == 0)
        return std::nullopt;
    out.pressure /= known;
    return out;
}

} // namespace heatherdrift
