#include "mesh/internal/ownership.h"
#include "mesh/internal/ownership_timing.h"
#include "telemetry/log_event.h"

#include <algorithm>

namespace heatherdrift {

using namespace ownership_timing;

namespace {

    /// Stands among the earlier owners of keys for incarnations that a map which could not be decoded may name. Unlike
    /// those of a restored store, no owner can prove that keys are its own: the map may have moved them.
    const life_name unreadableHolder = "unreadable-map-holder";
    /// Time for an owner that can decode the map to pass it on, or to replace it.
    constexpr auto unreadableGracePeriod = std::chrono::milliseconds(1500);

} // namespace

void ownership::noteUnreadable(row_version version, const failure& reason)
{
    logEvent(log_event::peer_message_rejected, { { "target", m_row.key }, { "reason", reason.message } });
    if (version <= m_unreadableVersion)
        return;
    m_unreadableVersion = version;
    m_unreadableSince = m_hooks.now();
    m_collectingUntil = time_point::min();
}

/// Who holds keys by the unreadable map is not known, so the map that replaces it only names the owners of the last
/// known one: keys are granted after all holds have ended, with tokens above those that the unreadable one may contain.
std::optional<range_map> ownership::replacementOfUnreadable(time_point now)
{
    if (now < unprecedentedMapDueAt(m_unreadableSince + unreadableGracePeriod) || isCollectingMaps(now))
        return std::nullopt;
    auto ranges = m_map.ranges();
    for (auto& range : ranges) {
        std::erase(range.releasing, unknownHolder);
        std::erase(range.releasing, unreadableHolder);
        range.releasing.push_back(unreadableHolder);
        range.fence = m_unreadableVersion + 1;
        range.handover.clear();
        range.silenceMs = std::max(range.silenceMs, silenceAfter(leaseTime + maxExtension));
    }
    return m_map.withChanges(ranges);
}

} // namespace heatherdrift
