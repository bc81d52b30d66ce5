#include "admission/completion_estimate.h"

#include "admission/seconds.h"

#include <cmath>

namespace heatherdrift {

namespace {

    /// Slow periods of a backend server's machine are about this long.
    constexpr duration slowdownTimeConstant = std::chrono::milliseconds(400);
    /// Queues of a few service times grow and empty within about a second.
    constexpr duration waitTimeConstant = std::chrono::milliseconds(500);
    /// Afterwards only 2% of the wait and 1% of the slowdown are left, and the backend server counts as unknown, so
    /// that it is tried.
    constexpr duration maxStatusAge = std::chrono::seconds(2);
    /// The service time depends on the machine; it changes when the backend server gets other kinds of requests.
    constexpr duration maxServiceTimeAge = std::chrono::seconds(30);
    constexpr std::size_t maxStarts = 64; ///< Bounds the memory; more calls without an answer are rare.
    constexpr double minSlowdown = 0.05;
    constexpr double maxSlowdown = 20;

    duration scaled(duration value, double factor) { return fromSeconds(inSeconds(value) * factor); }

} // namespace

bool completion_estimate::record(const status_report& report, duration minGain)
{
    if (m_last && report.at <= m_last->at + minGain)
        return false;
    m_last = report;
    m_last->status.slowdown = std::clamp(report.status.slowdown, minSlowdown, maxSlowdown);
    std::erase_if(m_starts, [&](time_point at) { return at <= report.at; });
    return true;
}

void completion_estimate::clear()
{
    m_last.reset();
    m_starts.clear();
}

void completion_estimate::onCallStarted(time_point now)
{
    if (m_last && m_starts.size() < maxStarts)
        m_starts.push_back(now);
}

time_point completion_estimate::currentUntil() const { return m_last ? m_last->at + maxStatusAge : time_point::min(); }

bool completion_estimate::isCold(time_point now) const
{
    return m_last && m_last->status.cold && now < m_last->at + m_last->status.cold->remaining;
}

double completion_estimate::weight(duration timeConstant, time_point now) const
{
    const auto age = std::max(now - m_last->at, duration::zero());
    return std::exp(-inSeconds(age) / inSeconds(timeConstant));
}

// The time of the next start is a fixed point in time. Each call that this node has sent since delays it by one more
// interval of the cold rate. Once the backend server is warm, it starts requests without that limit.
duration completion_estimate::coldWait(time_point now) const
{
    const auto& cold = *m_last->status.cold;
    auto start = m_last->at + cold.nextStartIn;
    if (cold.requestsPerSecond > 0)
        start += fromSeconds(static_cast<double>(m_starts.size()) / cold.requestsPerSecond);
    return std::max(std::min(start, m_last->at + cold.remaining) - now, duration::zero());
}

duration completion_estimate::wait(std::size_t level, time_point now, duration usual) const
{
    if (!m_last)
        return usual;
    const auto difference = m_last->status.expectedWaits[level] - usual;
    const auto queued = usual + scaled(difference, weight(waitTimeConstant, now));
    return std::max(queued, isCold(now) ? coldWait(now) : duration::zero());
}

std::optional<duration> completion_estimate::serviceTime(time_point now) const
{
    if (!m_last || m_last->status.serviceTime == duration::zero() || now - m_last->at > maxServiceTimeAge)
        return std::nullopt;
    const double slowdown = 1 + (m_last->status.slowdown - 1) * weight(slowdownTimeConstant, now);
    return scaled(m_last->status.serviceTime, slowdown);
}

// A call sent since the report counts as one whole service time, and not as its share of a slot: other nodes with the
// same report have sent calls, too (p99 with 66 entry nodes: 395 against 412 ms).
duration completion_estimate::completion(
    std::size_t level, time_point now, duration usualWait, duration usualService) const
{
    const auto service = serviceTime(now).value_or(usualService);
    return wait(level, now, usualWait) + scaled(service, 1 + static_cast<double>(m_starts.size()));
}

} // namespace heatherdrift
