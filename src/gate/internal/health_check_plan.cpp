#include "gate/health_check_plan.h"

#include <algorithm>
#include <utility>

namespace heatherdrift {

namespace {

    constexpr double recentWeight = 0.3; ///< Single requests may take twice as long as others of their kind.
    constexpr double usualWeight = 0.02;
    constexpr double riseFactor = 1.7;
    constexpr double endOfRiseFactor = 1.3;
    constexpr auto minInterval = std::chrono::milliseconds(200);
    /// About as long as a heartbeat interval, since a heartbeat states the same without a check.
    constexpr auto minIntervalAfterRise = std::chrono::seconds(1);
    constexpr auto repetitionDelay = std::chrono::milliseconds(400);
    constexpr int maxRepetitions = 2; ///< After that, the next heartbeat is awaited.

} // namespace

bool rise_detector::record(double value)
{
    m_recent += (value - m_recent) * recentWeight;
    const bool isRise = !m_isRaised && m_recent >= riseFactor * m_usual;
    if (isRise)
        m_isRaised = true;
    else if (m_recent < endOfRiseFactor * m_usual)
        m_isRaised = false;
    m_usual += (value - m_usual) * usualWeight;
    return isRise;
}

void health_check_plan::request(time_point now)
{
    m_requestedAt = std::min(m_requestedAt.value_or(now), now);
    m_failures = 0;
}

void health_check_plan::requestAfterRise(time_point now)
{
    if (now - m_sentAt >= minIntervalAfterRise)
        request(now);
}

void health_check_plan::dropRepetition()
{
    if (std::exchange(m_failures, 0) > 0)
        m_requestedAt.reset();
}

void health_check_plan::onSent(time_point now)
{
    m_requestedAt.reset();
    if (m_statedEnd && *m_statedEnd <= now)
        m_statedEnd.reset();
    m_sentAt = now;
    m_isInProgress = true;
}

void health_check_plan::onAnswered()
{
    m_isInProgress = false;
    m_failures = 0;
}

void health_check_plan::onFailed(time_point now)
{
    m_isInProgress = false;
    if (++m_failures <= maxRepetitions)
        m_requestedAt = now + repetitionDelay;
}

std::optional<time_point> health_check_plan::nextAt() const
{
    if (m_isInProgress || (!m_requestedAt && !m_statedEnd))
        return std::nullopt;
    const auto due = std::min(m_requestedAt.value_or(time_point::max()), m_statedEnd.value_or(time_point::max()));
    return std::max(due, m_sentAt + minInterval);
}

} // namespace heatherdrift
