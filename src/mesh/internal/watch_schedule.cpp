#include "mesh/internal/watch_schedule.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// Nodes that look soon for the end of an outage; they tell the others, which look rarely.
    constexpr std::size_t probers = 6;
    constexpr auto proberBackoff = std::chrono::milliseconds(400);
    constexpr auto firstBackoff = std::chrono::milliseconds(100);
    constexpr auto othersBackoff = std::chrono::milliseconds(2000);
    /// After a change it is not known how long ago the store sent it; a short question tells that the table is current.
    constexpr auto briefWait = std::chrono::milliseconds(50);
    constexpr int aloneFactor = 5; ///< All nodes are without others when a new system starts.
    constexpr auto longestWait = std::chrono::seconds(20); ///< Stores end a longer wait.
    /// Nodes that lost their readers do not all ask at once: the first answers reach the others meanwhile.
    constexpr auto patienceSpread = std::chrono::milliseconds(250);

    duration backoff(const watch_state& state)
    {
        const duration first = firstBackoff * (1 << std::min(state.failures - 1, 2));
        return state.place.rank < probers ? std::min<duration>(first, proberBackoff) : duration(othersBackoff);
    }

    duration scaled(duration value, double factor) { return std::chrono::duration_cast<duration>(value * factor); }

} // namespace

watch_question nextQuestion(const watch_terms& terms, const watch_state& state, double random)
{
    // A node that knows nothing yet asks at once.
    const auto patienceEnd = state.currentAt == time_point()
        ? time_point()
        : state.currentAt + terms.patience + scaled(patienceSpread, random);
    if (state.failures > 0) {
        const auto retryAt = state.answeredAt + scaled(backoff(state), 0.75 + random / 4);
        return { std::max(retryAt, patienceEnd), {} };
    }
    if (!state.place.isReader())
        return { patienceEnd, {} };
    const auto at = state.answeredAt + terms.batchTime;
    // Nobody relies on what a node without others knows, so that it need not show that nothing has changed.
    if (state.place.nodes == 1)
        return { at, std::min<duration>(terms.readerWait * aloneFactor, longestWait) };
    return { at, state.hasNews ? duration(briefWait) : terms.readerWait };
}

bool asksReader(const watch_terms& terms, const watch_state& state, time_point now)
{
    return !state.place.isReader() && now - state.currentAt > terms.readerPatience;
}

} // namespace heatherdrift
