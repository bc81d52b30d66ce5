#include "admission/return_schedule.h"

#include "admission/seconds.h"

#include <algorithm>
#include <utility>

namespace heatherdrift {

namespace {

    /// Share of the capacity that is assigned to returns. By the time that a caller returns, its objective has usually
    /// passed, whereas a new request is answered in time; but a second refusal costs more than a late answer.
    constexpr double returnShare = 0.15;
    /// A caller waits at most this part of its remaining time before it returns.
    constexpr int waitDivisor = 3;
    /// The deadlines of two attempts of a caller differ by the time for connecting and by rounding.
    constexpr auto deadlineTolerance = std::chrono::milliseconds(30);
    /// A return that comes later than this has lost its place.
    constexpr auto lateTolerance = std::chrono::milliseconds(150);
    constexpr auto earlyTolerance = std::chrono::milliseconds(30);
    /// 10 s of refusals at the rate of the design; about 200 KB.
    constexpr std::size_t maxRefused = 1024;
    constexpr std::size_t maxUnassigned = maxRefused / 2; ///< They are only counted when they return.
    constexpr auto maxBacklog = std::chrono::hours(1); ///< Bounds invalid estimates of waits and service times.
    constexpr double minPerSecond = 0.01; ///< Bounds the interval between returns to some minutes.

} // namespace

void return_schedule::removeExpired(time_point now)
{
    std::erase_if(m_refused, [&](const auto& entry) {
        return entry.request.deadline <= now || (entry.time.isAssigned && entry.time.at + lateTolerance < now);
    });
}

bool return_schedule::refused_request::isDue(time_point now) const
{
    return time.isAssigned && time.at <= now + earlyTolerance && now <= time.at + lateTolerance;
}

return_kind return_schedule::recognise(const return_request& request, time_point now)
{
    const auto distance
        = [&](const refused_request& entry) { return std::chrono::abs(entry.request.deadline - request.deadline); };
    auto best = m_refused.end();
    for (auto entry = m_refused.begin(); entry != m_refused.end(); ++entry) {
        // Just refused requests may be as close to a first attempt that arrives within the tolerance of them.
        if (now - entry->refusedAt <= deadlineTolerance || distance(*entry) > deadlineTolerance
            || entry->request.kind != request.kind || entry->request.key != request.key
            || entry->request.priority != request.priority)
            continue;
        const auto rank = [&](const refused_request& one) { return std::pair(!one.isDue(now), distance(one)); };
        if (best == m_refused.end() || rank(*entry) < rank(*best))
            best = entry;
    }
    if (best == m_refused.end())
        return return_kind::none;
    const bool isOnTime = best->isDue(now);
    m_refused.erase(best);
    if (isOnTime)
        ++m_counts.onTime;
    return isOnTime ? return_kind::on_time : return_kind::untimely;
}

return_time return_schedule::refuse(const return_request& request, const return_capacity& capacity, time_point now)
{
    removeExpired(now);
    const auto level = urgencyLevel(request.priority);
    const auto backlog = std::clamp<duration>(capacity.backlog, duration(), maxBacklog);
    const auto serviceTime = std::clamp<duration>(capacity.serviceTime, duration(), maxBacklog);
    const bool isRateKnown = capacity.perSecond >= minPerSecond;
    const auto interval = isRateKnown ? fromSeconds(1 / (capacity.perSecond * returnShare)) : duration();
    // A return within the tolerance of the deadlines could not be told from a new request.
    const auto earliest = now + std::max<duration>(backlog, 2 * deadlineTolerance);
    return_time time { std::max(earliest, m_lastTimes[level] + interval), false };
    const auto remaining = request.deadline - now;
    time.isAssigned = isRateKnown && m_refused.size() < maxRefused && time.at <= now + remaining / waitDivisor
        && time.at - now + serviceTime <= remaining;
    if (time.isAssigned) {
        // Less urgent returns wait for this one, too.
        for (auto other = level; other < urgencyLevels; ++other)
            m_lastTimes[other] = std::max(m_lastTimes[other] + interval, time.at);
        ++m_counts.assigned;
    }
    // A later time is of no use to the caller.
    if (!time.isAssigned)
        time.at = std::min(time.at, std::max(earliest, request.deadline));
    if (time.isAssigned || m_refused.size() < maxUnassigned)
        m_refused.push_back({ request, time, now });
    return time;
}

std::size_t return_schedule::dueBefore(int priority, time_point until, time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_refused, [&](const auto& entry) {
        return entry.time.isAssigned && entry.time.at <= until && entry.time.at + lateTolerance >= now
            && entry.request.priority <= priority;
    }));
}

} // namespace heatherdrift
