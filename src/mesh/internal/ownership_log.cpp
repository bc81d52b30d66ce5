#include "mesh/internal/ownership.h"
#include "telemetry/log_event.h"

#include <algorithm>

namespace heatherdrift {

void ownership::logGrant(const hold_grant& grant, std::size_t before, time_point receivedAt) const
{
    const bool isUnusual = grant.isValid ? grant.ranges.size() != before : m_map.hasOwner(m_holdManager.life());
    if (!isUnusual)
        return;
    logEvent(grant.isValid ? log_event::holds_renewed : log_event::holds_not_renewed,
        { { "life", m_holdManager.life() }, { "ranges", std::to_string(grant.ranges.size()) },
            { "ranges_before", std::to_string(before) }, { "hold_ms", millisecondsText(grant.hold) },
            { "map_version", std::to_string(m_version) },
            { "map_confirmed_ms_ago", millisecondsText(receivedAt - m_holdManager.confirmedAt()) } });
}

void ownership::logMap(const range_map& map, row_version version, bool isOwnCall) const
{
    std::size_t releasing = 0;
    std::size_t orphaned = 0;
    const auto candidates = m_hooks.candidates();
    for (const auto& range : map.ranges()) {
        releasing += !range.releasing.empty();
        orphaned += !isCandidate(range.owner, candidates);
    }
    logEvent(log_event::range_map_changed,
        { { "version", std::to_string(version) }, { "learned_by", isOwnCall ? "own call" : "feed" },
            { "ranges", std::to_string(map.ranges().size()) },
            { "own_keys", std::to_string(map.keyCount(m_holdManager.life())) },
            { "releasing", std::to_string(releasing) }, { "without_live_owner", std::to_string(orphaned) },
            { "candidates", std::to_string(candidates.size()) }, { "life", m_holdManager.life() } });
}

} // namespace heatherdrift
