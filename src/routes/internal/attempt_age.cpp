#include "routes/attempt_age.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// By which the longest known patience shrinks with each attempt, so that a single patient caller is forgotten
    /// after some hundred others.
    constexpr double shrinking = 0.005;
    /// Patience of first attempts differs by the time that a connection took and by rounding.
    constexpr double usualDifference = 0.03;
    constexpr std::size_t mostRoutes = 4096; ///< Routes come from the configuration; the bound only limits memory.

} // namespace

duration attempt_age::estimate(const std::string& route, duration patience)
{
    if (m_longest.size() > mostRoutes)
        m_longest.clear();
    auto& longest = m_longest[route];
    longest -= std::chrono::duration_cast<duration>((longest - patience) * shrinking);
    longest = std::max(longest, patience);
    const auto age = longest - patience;
    return age > std::chrono::duration_cast<duration>(longest * usualDifference) ? age : duration();
}

} // namespace heatherdrift
