#include "admission/retry_backoff.h"

#include "admission/seconds.h"

#include <algorithm>
#include <cmath>

namespace heatherdrift {

duration backoffWindow(int failures, const backoff_settings& settings)
{
    const double doubled = inSeconds(settings.initialWindow) * std::exp2(std::max(failures, 1) - 1);
    return std::min(settings.maxWindow, fromSeconds(doubled));
}

// Full jitter, a delay drawn from the whole window, spreads the attempts best (Brooker, "Exponential Backoff And
// Jitter", AWS Architecture Blog, 2015). The window ends at the latest useful start, so that the delay never makes an
// attempt impossible.
std::optional<time_point> nextAttempt(int failures, time_point now, time_point deadline, duration needed,
    const random_function& random, const backoff_settings& settings)
{
    const duration left = deadline - needed - now;
    if (left < duration::zero())
        return std::nullopt;
    const auto window = std::min(backoffWindow(failures, settings), left);
    return now + fromSeconds(inSeconds(window) * random());
}

} // namespace heatherdrift
