#include "mesh/internal/ownership.h"
#include "mesh/internal/ownership_timing.h"
#include "telemetry/log_event.h"

#include <algorithm>
#include <charconv>

namespace heatherdrift {

using namespace ownership_timing;

namespace {

    constexpr char eraSeparator = '@';
    /// Time to receive newer maps from the other owners before a map is written that does not follow from the last one.
    constexpr auto collectTime = std::chrono::milliseconds(300);

} // namespace

row_key ownership::currentRow() const { return { m_row.table, m_row.key + eraSeparator + std::to_string(m_era) }; }

std::optional<store_era> ownership::eraOfRow(const row_key& row) const
{
    const auto prefix = m_row.key + eraSeparator;
    if (row.table != m_row.table || !row.key.starts_with(prefix))
        return std::nullopt;
    store_era era = 0;
    const char* end = row.key.data() + row.key.size();
    const auto parsed = std::from_chars(row.key.data() + prefix.size(), end, era);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end && era >= 0;
    return isNumber ? std::optional(era) : std::nullopt;
}

fencing_token ownership::nextFence() const
{
    return expectedVersion() == 0 ? makeVersion(std::max<store_era>(m_era, 0), 1) : m_version + 1;
}

range_map ownership::forHolds(const range_map& map) const
{
    // Until the first map of this era is known, the backend server keeps what it holds and gets nothing else.
    return isMapOutdated() ? map.withUnknownHolder(0, 0) : map;
}

void ownership::noteEra(store_era era)
{
    if (era <= m_era)
        return;
    const bool isFirstKnown = std::exchange(m_era, era) == noEra;
    if (isFirstKnown)
        return;
    m_isRestored = true;
    m_eraNotedAt = m_hooks.now();
    m_collectingUntil = time_point::min();
    m_unreadableVersion = 0;
    m_earlierRows.clear();
    m_conflicts = 0;
    m_mayWriteAt = time_point::min();
    m_confirmDueAt = time_point::min();
    m_holdManager.startEra(m_eraNotedAt);
    m_holdManager.setMap(forHolds(m_map));
}

void ownership::onRowChanged(const row_change& row)
{
    const auto era = eraOfRow(row.key);
    if (!era || *era > eraOf(row.version))
        return;
    if (!row.value) {
        m_earlierRows.erase(row.key);
        return;
    }
    noteEra(eraOf(row.version));
    const bool isEarlier = *era < eraOf(row.version);
    if (isEarlier && eraOf(row.version) == m_era)
        m_earlierRows.insert(row.key);
    // The number of a row that was restored, or written late, is not comparable with those of its own era, so that the
    // map counts as older than all maps of that era.
    const auto version = isEarlier ? makeVersion(*era, 1) : row.version;
    if (version <= m_version)
        return;
    const auto map = range_map::fromJson(*row.value);
    if (map.has_value())
        adopt(map.value(), version, std::nullopt);
    else if (!isEarlier)
        noteUnreadable(version, map.error());
    else
        logEvent(log_event::peer_message_rejected, { { "target", m_row.key }, { "reason", map.error().message } });
}

void ownership::onTableRead(store_era era)
{
    noteEra(era);
    if (!std::exchange(m_isTableRead, true))
        m_versionAtStart = m_version;
}

bool ownership::isFirstOwner() const
{
    const auto candidates = m_hooks.candidates();
    const auto first = std::ranges::find_if(
        candidates, [this](const auto& candidate) { return m_map.hasOwner(candidate.range.life); });
    return first != candidates.end() && first->node == m_settings.node;
}

time_point ownership::unprecedentedMapDueAt(time_point knownSince) const
{
    const auto candidates = m_hooks.candidates();
    const auto self = std::ranges::find(candidates, m_settings.node, &owner_candidate::node);
    if (self == candidates.end())
        return time_point::max();
    const bool isOwner = m_map.hasOwner(m_holdManager.life());
    const auto rank = std::count_if(candidates.begin(), self,
        [&](const auto& candidate) { return !isOwner || m_map.hasOwner(candidate.range.life); });
    const auto due = knownSince + rank * coordinatorStep + (isOwner ? duration() : duration(nonOwnerTakeoverDelay));
    return std::max<time_point>(due, m_startedAt + startupGracePeriod);
}

bool ownership::isCollectingMaps(time_point now)
{
    if (m_collectingUntil == time_point::min()) {
        m_collectingUntil = now + collectTime;
        m_hooks.askOtherOwners();
        return true;
    }
    return now < m_collectingUntil;
}

/// The store may have lost newer maps of the earlier era, so the first map of an era only names the owners anew: what
/// they do not hold already is granted after all holds of the earlier era have ended.
std::optional<range_map> ownership::firstMapOfEra(time_point now)
{
    if (now < unprecedentedMapDueAt(m_eraNotedAt) || isCollectingMaps(now))
        return std::nullopt;
    return m_holdManager.releaseExclusivelyHeld(
        m_map.withUnknownHolder(nextFence(), silenceAfter(leaseTime + maxExtension)));
}

} // namespace heatherdrift
