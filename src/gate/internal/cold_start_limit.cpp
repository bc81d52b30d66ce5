#include "gate/cold_start_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace heatherdrift {

namespace {

    /// Requests that are sent within a second may arrive within less, as some take longer to arrive than others. On the
    /// loopback interface of a loaded machine the difference is some 10 ms.
    constexpr auto transmissionMargin = std::chrono::milliseconds(50);
    /// A start that is late by this much, as timers are on a loaded machine, does not delay the ones after it.
    constexpr auto maxLateness = std::chrono::milliseconds(50);
    /// Until the configuration is known, for a backend server that states that it is cold.
    constexpr double assumedRequestsPerSecond = 5;
    constexpr double maxWindowSeconds = 600; ///< For rates so low that a single start has to last.
    /// Withdrawn starts expose earlier ones, so that more than those of one second are kept.
    constexpr std::size_t maxWithdrawn = 1024;

    duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    }

} // namespace

cold_start_limit::cold_start_limit(time_point processStart)
    : m_processStart(processStart)
{
}

void cold_start_limit::configure(const cold_start_settings& settings)
{
    m_settings = settings;
    if (settings.requestsPerSecond <= 0)
        m_starts.clear();
}

double cold_start_limit::requestsPerSecond() const
{
    return m_settings ? m_settings->requestsPerSecond : assumedRequestsPerSecond;
}

std::size_t cold_start_limit::startsPerWindow() const
{
    return static_cast<std::size_t>(std::max(1.0, std::floor(requestsPerSecond())));
}

/// A second, or longer if less than one request per second is tolerated.
duration cold_start_limit::window() const
{
    const double rate = requestsPerSecond();
    return toDuration(rate < 1 ? std::min(1 / rate, maxWindowSeconds) : 1) + transmissionMargin;
}

duration cold_start_limit::interval() const { return window() / static_cast<duration::rep>(startsPerWindow()); }

duration cold_start_limit::limited(duration coldFor) const
{
    const bool isBounded = m_settings && m_settings->coldStart > duration::zero();
    return isBounded ? std::min(coldFor, m_settings->coldStart) : coldFor;
}

void cold_start_limit::suspect(time_point now, duration answerIn)
{
    m_state = server_state::unknown;
    m_answerExpectedAt = now + answerIn;
    if (m_settings)
        m_coldUntil = std::max(m_coldUntil, now + m_settings->coldStart);
}

void cold_start_limit::recordHeartbeat(duration coldFor, time_point now)
{
    m_heartbeatColdUntil = now + limited(coldFor);
    const bool wasColdByHealth = std::exchange(m_isColdByHealth, false);
    if (coldFor > duration::zero()) {
        m_state = server_state::cold;
        m_coldUntil = m_heartbeatColdUntil;
        return;
    }
    // The heartbeat may have been sent before the health answer. The next one was not, so that a false health answer
    // has an effect for two heartbeats at most.
    if (wasColdByHealth && m_state == server_state::cold && now < m_coldUntil)
        return;
    m_state = server_state::warm;
}

void cold_start_limit::recordHealth(duration coldFor, time_point now)
{
    // A health answer may be false. It can't shorten the time that a heartbeat stated.
    const auto end = std::max(now + limited(coldFor), m_heartbeatColdUntil);
    if (end <= now) {
        m_state = server_state::warm;
        return;
    }
    m_isColdByHealth = end > m_heartbeatColdUntil;
    m_state = server_state::cold;
    m_coldUntil = end;
}

bool cold_start_limit::isLimiting() const
{
    if (!m_settings)
        return m_state == server_state::cold;
    return m_settings->requestsPerSecond > 0 && m_state != server_state::warm;
}

std::optional<time_point> cold_start_limit::statedEnd() const
{
    return isLimiting() && m_state == server_state::cold ? std::optional(m_coldUntil) : std::nullopt;
}

std::optional<cold_status> cold_start_limit::status(time_point now) const
{
    const bool isAnswerExpected = m_state == server_state::unknown && now < m_answerExpectedAt;
    if (!isLimiting() || isAnswerExpected)
        return std::nullopt;
    return cold_status { std::max(m_coldUntil - now, duration()), startDelay(0, now), requestsPerSecond() };
}

duration cold_start_limit::startDelay(std::size_t ahead, time_point now) const
{
    if (!isLimiting())
        return {};
    const auto perWindow = startsPerWindow();
    // End of the window of the start that must have left it before this many others and one more are sent.
    const auto leavesAt = [&](std::size_t others) {
        const auto later = m_starts.size() + others;
        const bool isKept = later >= perWindow && others < perWindow;
        return isKept ? m_starts[later - perWindow].at + window() : time_point();
    };
    // An earlier process may have used up its last second.
    const auto first = std::max({ now, m_nextInterval, m_processStart + window(), leavesAt(0) });
    const auto at = std::max(first + interval() * static_cast<duration::rep>(ahead), leavesAt(ahead));
    if (m_state == server_state::unknown && now < m_answerExpectedAt)
        return std::min(at, m_answerExpectedAt) - now;
    return at - now;
}

void cold_start_limit::recordStart(request_number id, time_point now)
{
    if (requestsPerSecond() <= 0)
        return;
    m_starts.push_back({ id, now });
    while (m_starts.size() > startsPerWindow() + maxWithdrawn)
        m_starts.pop_front();
    const auto due = now - maxLateness;
    m_nextInterval = (isLimiting() ? std::max(m_nextInterval, due) : due) + interval();
}

void cold_start_limit::postponeStart(request_number id, time_point now)
{
    if (std::erase_if(m_starts, [&](const auto& start) { return start.id == id; }) > 0)
        m_starts.push_back({ id, now });
}

void cold_start_limit::withdrawStart(request_number id)
{
    if (std::erase_if(m_starts, [&](const auto& start) { return start.id == id; }) > 0)
        m_nextInterval -= interval();
}

} // namespace heatherdrift
