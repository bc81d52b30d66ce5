#include "admission/windowed_quantiles.h"

#include "admission/seconds.h"

#include <algorithm>
#include <array>

namespace heatherdrift {

namespace accumulators = boost::accumulators;
using namespace std::chrono_literals;

namespace {

    constexpr std::size_t windowValues = 1024;
    constexpr duration windowTime = 10s;
    // P2 needs nine markers for three quantiles; with fewer values than this their positions are not meaningful.
    constexpr std::size_t minValues = 16;
    constexpr duration maxAge = 10min;
    constexpr std::array<double, 3> probabilities { 0.5, 0.9, 0.99 };

    service_quantiles weightedMean(
        const service_quantiles& first, double firstWeight, const service_quantiles& second, double secondWeight)
    {
        const auto mix = [&](duration one, duration other) {
            const double sum = inSeconds(one) * firstWeight + inSeconds(other) * secondWeight;
            return fromSeconds(sum / (firstWeight + secondWeight));
        };
        return { .mean = mix(first.mean, second.mean),
            .p50 = mix(first.p50, second.p50),
            .p90 = mix(first.p90, second.p90),
            .p99 = mix(first.p99, second.p99) };
    }

} // namespace

// Boost.Accumulators implements the P2 algorithm (Jain and Chlamtac, "The P2 Algorithm for Dynamic Calculation of
// Quantiles and Histograms Without Storing Observations", CACM 28, 1985). It does not discard old values, hence the two
// windows.
windowed_quantiles::windowed_quantiles()
    : m_current(makeAccumulator())
    , m_previous(makeAccumulator())
{
}

void windowed_quantiles::add(duration value, time_point now)
{
    const auto count = accumulators::count(m_current);
    const bool isOver = count >= windowValues || (count >= minValues && now - m_windowStart >= windowTime);
    if (isOver) {
        m_previous = m_current;
        m_current = makeAccumulator();
    }
    if (accumulators::count(m_current) == 0)
        m_windowStart = now;
    m_newest = now;
    m_current(inSeconds(value));
}

std::optional<service_quantiles> windowed_quantiles::quantiles(time_point now) const
{
    if (now - m_newest > maxAge)
        return std::nullopt;
    const auto newer = accumulators::count(m_current);
    // The weight of the previous window is the number of values that the current one lacks to be full.
    const auto older = std::min(accumulators::count(m_previous), windowValues - std::min(newer, windowValues));
    // Quantiles of an empty accumulator are NaN, so a window with weight 0 must not enter the weighted mean.
    if (older == 0)
        return newer < minValues ? std::nullopt : std::optional(quantilesOf(m_current));
    if (newer < minValues)
        return quantilesOf(m_previous);
    return weightedMean(
        quantilesOf(m_current), static_cast<double>(newer), quantilesOf(m_previous), static_cast<double>(older));
}

service_quantiles windowed_quantiles::quantilesOf(const accumulator& values)
{
    const auto quantiles = accumulators::extended_p_square(values);
    return { .mean = fromSeconds(accumulators::mean(values)),
        .p50 = fromSeconds(quantiles[0]),
        .p90 = fromSeconds(quantiles[1]),
        .p99 = fromSeconds(quantiles[2]) };
}

windowed_quantiles::accumulator windowed_quantiles::makeAccumulator()
{
    return accumulator(accumulators::extended_p_square_probabilities = probabilities);
}

} // namespace heatherdrift
