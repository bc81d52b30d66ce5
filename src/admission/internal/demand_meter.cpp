#include "admission/demand_meter.h"

#include "admission/seconds.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace heatherdrift {

demand_meter::demand_meter(duration timeConstant)
    : m_timeConstant(timeConstant)
{
}

// All levels decay together, which costs one exponential per call instead of one per level.
void demand_meter::add(admission_level level, duration work, time_point now)
{
    const double factor = decay(now);
    for (auto& value : m_work)
        value *= factor;
    m_work[level.index()] += inSeconds(work);
    m_at = std::max(m_at, now);
}

double demand_meter::demand(call_length length, time_point now) const
{
    const auto first = admission_level { length, 0 }.index();
    return sum(first, first + priorityCount, now);
}

double demand_meter::demandAbove(admission_level level, time_point now) const
{
    return sum(level.index() + 1, admission_level { level.length, 0 }.index() + priorityCount, now);
}

double demand_meter::sum(std::size_t first, std::size_t end, time_point now) const
{
    const double work = std::accumulate(m_work.begin() + first, m_work.begin() + end, 0.0);
    return work * decay(now) / inSeconds(m_timeConstant);
}

double demand_meter::decay(time_point now) const
{
    return now <= m_at ? 1 : std::exp(-inSeconds(now - m_at) / inSeconds(m_timeConstant));
}

} // namespace heatherdrift
