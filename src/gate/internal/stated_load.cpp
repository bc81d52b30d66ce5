#include "gate/stated_load.h"

#include <algorithm>
#include <cmath>

namespace heatherdrift {

namespace {

    /// Other work on a backend server's machine changes many times per second.
    constexpr double slowdownTimeConstant = 0.4; // seconds
    constexpr double minSlowdown = 0.1;
    constexpr double maxSlowdown = 20; ///< More is implausible and would exclude the backend server.
    constexpr std::size_t maxStatements = 64; ///< Of the last second or so; a request runs for less.
    constexpr std::size_t maxKinds = 256; ///< Bounds the memory; kinds come from the configuration.
    /// Requests whose weight in the averages is the same: several slow periods at tens of requests per second.
    constexpr int averagedRequests = 200;
    /// Fewer requests prove nothing, since service times vary by a factor of two without any slow period.
    constexpr int minObservations = 30;
    /// How much worse the statements must predict (squared error of the logarithm) to be ignored. Without it, constant
    /// statements, which predict exactly as well as none, would be rejected by rounding.
    constexpr double errorMargin = 0.02;

    double seconds(duration value) { return std::chrono::duration<double>(value).count(); }

    duration fromSeconds(double value)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
    }

} // namespace

void stated_load::average::add(double one)
{
    count = std::min(count + 1, averagedRequests);
    value += (one - value) / count;
}

void stated_load::record(const server_load& load, time_point now)
{
    m_last = load;
    m_last->slowdown = std::clamp(load.slowdown, minSlowdown, maxSlowdown);
    m_statements.push_back({ now, m_last->slowdown });
    if (m_statements.size() > maxStatements)
        m_statements.pop_front();
}

/// Each statement holds until the next one.
double stated_load::meanStatement(time_point from, time_point to) const
{
    double sum = 0;
    double weights = 0;
    for (auto one = m_statements.begin(); one != m_statements.end(); ++one) {
        const auto next = std::next(one);
        const auto end = next == m_statements.end() ? to : std::min(next->at, to);
        const double weight = seconds(end - std::max(one->at, from));
        if (weight <= 0)
            continue;
        sum += one->slowdown * weight;
        weights += weight;
    }
    return weights > 0 ? sum / weights : m_last->slowdown;
}

void stated_load::observe(const std::string& kind, time_point startedAt, time_point now)
{
    const double taken = seconds(now - startedAt);
    if (taken <= 0)
        return;
    if (m_serviceTimes.size() >= maxKinds && !m_serviceTimes.contains(kind))
        m_serviceTimes.clear();
    auto& usual = m_serviceTimes[kind];
    if (m_last) {
        const double stated = meanStatement(startedAt, now);
        if (usual.count > 0 && m_usualStatement.count > 0)
            checkPlausibility(taken / usual.value, stated / m_usualStatement.value);
        m_usualStatement.add(stated);
    }
    usual.add(taken);
    m_serviceTime.add(taken);
}

// A truthful statement predicts the service times better than their mean does, a false one worse. Constant statements
// make no difference, whatever their figure is, since they are compared with their own mean.
void stated_load::checkPlausibility(double observedRatio, double statedRatio)
{
    const double observed = std::log(observedRatio);
    const double stated = std::log(statedRatio);
    m_errorWithout.add(observed * observed);
    m_errorWith.add((observed - stated) * (observed - stated));
    if (m_errorWith.count < minObservations)
        return;
    if (m_isPlausible)
        m_isPlausible = m_errorWith.value <= m_errorWithout.value + errorMargin;
    else
        m_isPlausible = m_errorWith.value < m_errorWithout.value;
}

double stated_load::slowdown(duration recentServiceTime, time_point now) const
{
    if (!m_last || !m_isPlausible) {
        const double ratio = m_serviceTime.count > 0 ? seconds(recentServiceTime) / m_serviceTime.value : 1;
        return std::clamp(ratio, minSlowdown, maxSlowdown);
    }
    const double usual = m_usualStatement.count > 0 ? m_usualStatement.value : 1;
    const double age = std::max(0.0, seconds(now - m_statements.back().at));
    const double faded = 1 + (m_last->slowdown / usual - 1) * std::exp(-age / slowdownTimeConstant);
    return std::clamp(faded, minSlowdown, maxSlowdown);
}

std::optional<duration> stated_load::usualServiceTime() const
{
    if (m_serviceTime.count == 0)
        return std::nullopt;
    return fromSeconds(m_serviceTime.value);
}

duration stated_load::wait(std::size_t sentRequests) const
{
    if (!m_last || !m_isPlausible || m_last->waiting <= 0 || m_last->slots <= 0)
        return {};
    if (static_cast<std::size_t>(m_last->waiting) > sentRequests)
        return {};
    return fromSeconds(m_serviceTime.value * m_last->waiting / m_last->slots);
}

} // namespace heatherdrift
