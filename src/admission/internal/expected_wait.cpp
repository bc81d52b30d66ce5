#include "admission/expected_wait.h"

#include "admission/seconds.h"

#include <algorithm>

namespace heatherdrift {

// Source: the mean wait of a class in a queue with priorities without preemption (Cobham, "Priority Assignment in
// Waiting Line Problems", Operations Research 2, 1954): the work found ahead, divided by the share of the servers that
// the arrivals of higher priority leave.
duration expectedWait(const wait_factors& factors)
{
    // The remaining share is bounded below because the measured demand fluctuates around the number of slots.
    constexpr double minRemainingShare = 0.05;
    const double remaining = std::max(factors.slots - factors.demandAbove, factors.slots * minRemainingShare);
    const double work = static_cast<double>(factors.ahead + 1) * inSeconds(factors.serviceTime);
    return fromSeconds(work / remaining);
}

} // namespace heatherdrift
