#include "admission/adaptive_limit.h"

#include "admission/seconds.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace heatherdrift {

namespace accumulators = boost::accumulators;
using namespace std::chrono_literals;

namespace {

    constexpr std::array<double, 1> medianOnly { 0.5 };
    // The baseline follows lower medians at once and rises by 1% per interval towards higher ones, so that a lasting
    // change of the work (not of the load) is accepted within about a minute.
    constexpr double baselineDrift = 1.01;
    // Below this difference the median of sub-millisecond calls varies by more than the tolerance without any load.
    constexpr duration minGrowth = 2ms;

} // namespace

// Multiplicative decrease and additive increase converge to a fair and efficient operating point (Chiu and Jain,
// "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989). The signal
// of latency relative to its own uncongested baseline is that of TCP Vegas (Brakmo and Peterson, "TCP Vegas: End to End
// Congestion Avoidance on a Global Internet", 1995).
adaptive_limit::adaptive_limit(int slots, const adaptive_limit_settings& settings)
    : m_settings(settings)
    , m_slots(std::max(slots, 1))
    , m_limit(m_slots)
    , m_latencies(accumulators::extended_p_square_probabilities = medianOnly)
{
}

void adaptive_limit::observe(duration latency, time_point now)
{
    if (m_intervalEnd == time_point::min())
        startInterval(now);
    m_latencies(inSeconds(latency));
    evaluate(now);
}

void adaptive_limit::observeShed(time_point now)
{
    if (m_intervalEnd == time_point::min())
        startInterval(now);
    m_shed = true;
    evaluate(now);
}

void adaptive_limit::setSlots(int slots)
{
    // Newly announced slots are used at once; the limit is lowered again if the server is overloaded.
    m_limit += std::max(slots, 1) - m_slots;
    m_slots = std::max(slots, 1);
    m_limit = std::clamp<double>(m_limit, std::min(m_settings.minLimit, m_slots), m_slots);
}

int adaptive_limit::limit() const { return static_cast<int>(m_limit); }

void adaptive_limit::startInterval(time_point now)
{
    m_intervalEnd = now + m_settings.interval;
    m_shed = false;
    m_latencies = decltype(m_latencies)(accumulators::extended_p_square_probabilities = medianOnly);
}

void adaptive_limit::evaluate(time_point now)
{
    const bool hasEnough = static_cast<int>(accumulators::count(m_latencies)) >= m_settings.minCalls;
    if (now < m_intervalEnd || (!hasEnough && !m_shed))
        return;
    double factor = m_shed ? m_settings.decrease : 1;
    if (hasEnough)
        factor = std::min(factor, factorFor(fromSeconds(accumulators::extended_p_square(m_latencies)[0])));
    m_limit = factor < 1 ? m_limit * factor : m_limit + m_settings.increase;
    m_limit = std::clamp<double>(m_limit, std::min(m_settings.minLimit, m_slots), m_slots);
    startInterval(now);
}

double adaptive_limit::factorFor(duration median)
{
    if (!m_baseline || median < *m_baseline) {
        m_baseline = median;
        return 1;
    }
    const auto allowed = std::max(fromSeconds(inSeconds(*m_baseline) * m_settings.tolerance), *m_baseline + minGrowth);
    m_baseline = fromSeconds(inSeconds(*m_baseline) * baselineDrift);
    if (median <= allowed)
        return 1;
    return std::max(inSeconds(allowed) / inSeconds(median), m_settings.decrease);
}

} // namespace heatherdrift
