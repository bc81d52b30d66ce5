#include "gate/stated_load.h"

#include <algorithm>
#include <cmath>

namespace heatherdrift {

namespace {

    /// Other work on a backend server's machine changes many times per second.
    constexpr double slowdownTimeConstant = 0.4; // seconds
    constexpr double minSlowdown = 0.1;
    constexpr double maxSlowdown = 20; ///< More is implausible and would exclude the backend server.

} // namespace

void stated_load::record(const server_load& load, time_point now)
{
    m_load = load;
    m_load->slowdown = std::clamp(load.slowdown, minSlowdown, maxSlowdown);
    m_statedAt = now;
}

double stated_load::slowdown(time_point now) const
{
    if (!m_load)
        return 1;
    const double age = std::max(0.0, std::chrono::duration<double>(now - m_statedAt).count());
    return 1 + (m_load->slowdown - 1) * std::exp(-age / slowdownTimeConstant);
}

} // namespace heatherdrift
