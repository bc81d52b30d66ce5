#include "mesh/internal/watch_schedule.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// Nodes that retry soon during an outage; the others retry rarely and get the changes from them.
    constexpr std::size_t probers = 6;
    constexpr auto proberBackoff = std::chrono::milliseconds(400);
    constexpr auto firstBackoff = std::chrono::milliseconds(100);
    constexpr auto othersBackoff = std::chrono::milliseconds(2000);
    /// After a change it is not known when the store sent it; a request with a short wait shows that the copy is
    /// current.
    constexpr auto shortWait = std::chrono::milliseconds(50);
    /// Longer wait of a node that sees no others, as all nodes do when a new system starts.
    constexpr int singleNodeFactor = 5;
    /// All nodes of a new system learn of each other within this time, so that most need not ask again.
    constexpr auto singleNodePause = std::chrono::milliseconds(1000);
    constexpr auto maxWait = std::chrono::seconds(20); ///< Stores end longer waits themselves.
    /// Spreads the requests of nodes that lost their readers: the first responses reach the other nodes in this time.
    constexpr auto maxAgeJitter = std::chrono::milliseconds(250);
    /// Spreads the first reads after a restore, when many nodes see the later era at the same moment.
    constexpr auto maxRestoreJitter = std::chrono::milliseconds(150);

    duration backoff(const watch_state& state)
    {
        const duration first = firstBackoff * (1 << std::min(state.failures - 1, 2));
        return state.place.rank < probers ? std::min<duration>(first, proberBackoff) : duration(othersBackoff);
    }

    duration scaled(duration value, double factor) { return std::chrono::duration_cast<duration>(value * factor); }

} // namespace

watch_request nextRequest(const watch_timing& timing, const watch_state& state, double random)
{
    // A node without a copy asks at once.
    const auto maxAgeEnd = state.currentAt == time_point()
        ? time_point()
        : state.currentAt + timing.maxAge + scaled(maxAgeJitter, random);
    // Readers replace an outdated copy at once, since the other nodes get the new rows from them.
    const bool isReplacing = state.restoredAt != time_point() && state.place.isReader();
    if (state.failures > 0) {
        const auto retryAt = state.answeredAt + scaled(backoff(state), 0.75 + random / 4);
        return { isReplacing ? retryAt : std::max(retryAt, maxAgeEnd), {} };
    }
    if (isReplacing)
        return { state.restoredAt + scaled(maxRestoreJitter, random), {} };
    if (!state.place.isReader())
        return { maxAgeEnd, {} };
    const auto at = state.answeredAt + timing.batchTime;
    // No other node depends on the copy of a single node, so it need not confirm often that nothing has changed.
    if (state.place.nodes == 1)
        return { std::max<time_point>(at, state.answeredAt + singleNodePause),
            std::min<duration>(timing.readerWait * singleNodeFactor, maxWait) };
    return { at, state.hasChanges ? duration(shortWait) : timing.readerWait };
}

bool isReaderRequestDue(const watch_timing& timing, const watch_state& state, time_point now)
{
    return !state.place.isReader() && now - state.currentAt > timing.readerMaxAge;
}

} // namespace heatherdrift
