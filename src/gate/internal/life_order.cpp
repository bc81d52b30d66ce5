#include "gate/life_order.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr std::size_t maxEarlierLives = 8;
    constexpr std::size_t maxContenders = 4;
    /// Heartbeats of a life that goes on, and the least time between the first and the last of them. Late heartbeats
    /// are those that were on their way when their life ended, usually one.
    constexpr int minHeartbeats = 3;
    constexpr double minIntervals = 1.5;
    /// Silence of the present life meanwhile. A life that runs loses one heartbeat at most in the usual case.
    constexpr double silentIntervals = 2.5;

    duration intervals(duration one, double count) { return std::chrono::duration_cast<duration>(one * count); }

} // namespace

void life_order::presume(const ordered_life& life, time_point now)
{
    m_present = life;
    m_sequence.reset();
    m_heardAt = now;
    m_hasEnded = false;
    m_contenders.clear();
}

bool life_order::isUndecided(const std::string& id, time_point now) const
{
    return std::ranges::any_of(m_contenders, [&](const auto& entry) {
        return entry.life.id == id && entry.life != m_present->stated && !isKnownEarlier(entry.life)
            && now < entry.lastAt + intervals(m_heartbeatInterval, silentIntervals);
    });
}

bool life_order::isKnownEarlier(const stated_life& life) const
{
    return std::ranges::find(m_earlier, life) != m_earlier.end();
}

heartbeat_verdict life_order::observe(
    const stated_life& life, std::int64_t sequence, time_point now, time_point holdsEnd)
{
    if (!m_present) {
        take(life, sequence, now);
        return heartbeat_verdict::next;
    }
    if (life != m_present->stated)
        return observeOther(life, sequence, now, holdsEnd);
    if (m_sequence && sequence <= *m_sequence) {
        // A life that states no start cannot be told from the one before by its name, only by its sequence.
        const auto verdict = observeOther(life, sequence, now, holdsEnd);
        return verdict == heartbeat_verdict::next ? verdict : heartbeat_verdict::repeated;
    }
    m_sequence = sequence;
    m_heardAt = now;
    m_hasEnded = false;
    // The present life goes on, so the other ones have ended before it.
    m_contenders.clear();
    return heartbeat_verdict::present;
}

heartbeat_verdict life_order::observeOther(
    const stated_life& life, std::int64_t sequence, time_point now, time_point holdsEnd)
{
    const bool isNew = life != m_present->stated && !isKnownEarlier(life);
    const bool isLaterByClock = life.bornAt > m_present->order;
    auto& candidate = find(life, sequence, now);
    if ((isNew && (isLaterByClock || m_hasEnded)) || goesOn(candidate, now, holdsEnd)) {
        take(life, sequence, now);
        return heartbeat_verdict::next;
    }
    return isNew ? heartbeat_verdict::undecided : heartbeat_verdict::late;
}

life_order::contender& life_order::find(const stated_life& life, std::int64_t sequence, time_point now)
{
    const auto found = std::ranges::find(m_contenders, life, &contender::life);
    if (found != m_contenders.end()) {
        if (sequence > found->sequence) {
            found->sequence = sequence;
            found->lastAt = now;
            ++found->heartbeats;
        }
        return *found;
    }
    if (m_contenders.size() == maxContenders)
        m_contenders.erase(m_contenders.begin());
    return m_contenders.emplace_back(contender { life, sequence, now, now, 1 });
}

bool life_order::goesOn(const contender& other, time_point now, time_point holdsEnd) const
{
    if (other.heartbeats < minHeartbeats || now < other.firstAt + intervals(m_heartbeatInterval, minIntervals))
        return false;
    return m_hasEnded || (now >= m_heardAt + intervals(m_heartbeatInterval, silentIntervals) && now >= holdsEnd);
}

void life_order::take(const stated_life& life, std::int64_t sequence, time_point now)
{
    const auto order = m_present ? std::max(life.bornAt, m_present->order + 1) : life.bornAt;
    if (m_present) {
        std::erase(m_earlier, life);
        if (m_present->stated != life)
            m_earlier.push_back(m_present->stated);
        if (m_earlier.size() > maxEarlierLives)
            m_earlier.erase(m_earlier.begin());
    }
    m_present = ordered_life { life, order };
    m_sequence = sequence;
    m_heardAt = now;
    m_hasEnded = false;
    m_contenders.clear();
}

} // namespace heatherdrift
