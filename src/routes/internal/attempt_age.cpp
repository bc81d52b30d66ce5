#include "routes/attempt_age.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// Share by which the estimated timeout decays towards that of each attempt, so that a single caller with a long
    /// timeout has no effect after some hundred other requests.
    constexpr double decayRate = 0.005;
    /// Remaining times of first attempts differ by the time for connecting and by rounding.
    constexpr double tolerance = 0.03;
    constexpr std::size_t maxRoutes = 4096; ///< Bounds the memory; routes come from the configuration.

} // namespace

duration attempt_age::estimate(const std::string& route, duration remaining)
{
    if (m_initialTimeouts.size() > maxRoutes)
        m_initialTimeouts.clear();
    auto& initialTimeout = m_initialTimeouts[route];
    initialTimeout -= std::chrono::duration_cast<duration>((initialTimeout - remaining) * decayRate);
    initialTimeout = std::max(initialTimeout, remaining);
    const auto age = initialTimeout - remaining;
    return age > std::chrono::duration_cast<duration>(initialTimeout * tolerance) ? age : duration();
}

} // namespace heatherdrift
