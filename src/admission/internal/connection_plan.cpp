#include "admission/connection_plan.h"

#include "admission/seconds.h"

#include <algorithm>

namespace heatherdrift {

connection_counts connectionTargets(int slots, int longSlots, const connection_plan_settings& settings)
{
    connection_counts targets { slots + settings.spare, longSlots + settings.spare };
    const int total = targets.forShort + targets.forLong;
    if (total <= settings.maxConnections)
        return targets;
    // Scales both classes down in proportion; each class needs at least one connection to be separate from the other.
    targets.forLong = std::max(1, settings.maxConnections * targets.forLong / total);
    targets.forShort = std::max(1, settings.maxConnections - targets.forLong);
    return targets;
}

connection_plan::connection_plan(
    connection_counts targets, random_function random, const connection_plan_settings& settings)
    : m_targets(targets)
    , m_random(std::move(random))
    , m_settings(settings)
{
}

// Rate limit in the manner of a token bucket with one stored time: each opened connection advances it by the mean
// interval. It may lag behind by as many intervals as connections may be opened at once, which bounds the burst.
connection_counts connection_plan::connectionsToOpen(connection_counts open, connection_counts opening, time_point now)
{
    connection_counts result;
    if (now < m_backoffUntil)
        return result;
    const auto interval = fromSeconds(1 / m_settings.opensPerSecond);
    m_nextAt = std::max(m_nextAt, now - interval * (m_settings.maxOpening - 1));
    // After a failure, one connection at a time probes whether the server is reachable again.
    const int maxOpening = m_failures > 0 ? 1 : m_settings.maxOpening;
    int inProgress = opening.forShort + opening.forLong;
    int total = open.forShort + open.forLong + inProgress;
    while (m_nextAt <= now && inProgress < maxOpening && total < m_settings.maxConnections) {
        const int missingShort = m_targets.forShort - open.forShort - opening.forShort - result.forShort;
        const int missingLong = m_targets.forLong - open.forLong - opening.forLong - result.forLong;
        if (missingShort <= 0 && missingLong <= 0)
            break;
        ++(missingShort >= missingLong ? result.forShort : result.forLong);
        ++inProgress;
        ++total;
        m_nextAt += interval;
    }
    return result;
}

void connection_plan::onOpened() { m_failures = 0; }

// Half of the window is fixed, which guarantees a minimum delay between attempts; the other half is jitter.
void connection_plan::onFailed(time_point now)
{
    // Connections that were being opened at the same time fail together and count once.
    if (now < m_backoffUntil)
        return;
    ++m_failures;
    const auto window = inSeconds(backoffWindow(m_failures, m_settings.backoff));
    m_backoffUntil = now + fromSeconds(window * (0.5 + 0.5 * m_random()));
}

} // namespace heatherdrift
