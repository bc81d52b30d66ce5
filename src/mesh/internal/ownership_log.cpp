#include "mesh/internal/ownership.h"
#include "telemetry/log_event.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// Bounds the length of a line; an owner gains or loses a few ranges at a time.
    constexpr std::size_t maxListed = 24;

    /// Text of the first ranges, each as first-last and what the function adds.
    template <typename Ranges, typename Describe> std::string listText(const Ranges& ranges, Describe describe)
    {
        std::string text;
        std::size_t count = 0;
        for (const auto& range : ranges) {
            if (++count > maxListed)
                continue;
            text.append(text.empty() ? "" : " ").append(std::to_string(range.keys.first)).append("-");
            text.append(std::to_string(range.keys.last)).append(describe(range));
        }
        return count > maxListed ? text + " and " + std::to_string(count - maxListed) + " more" : text;
    }

    /// Ranges of one grant that the other one does not contain in the same form.
    std::vector<granted_range> missingIn(
        const std::vector<granted_range>& other, const std::vector<granted_range>& ranges)
    {
        std::vector<granted_range> out;
        std::ranges::copy_if(ranges, std::back_inserter(out), [&](const auto& range) {
            return std::ranges::none_of(
                other, [&](const auto& one) { return one.keys == range.keys && one.fence == range.fence; });
        });
        return out;
    }

    std::string withFence(const granted_range& range) { return ":" + std::to_string(range.fence); }

} // namespace

std::string_view toString(end_evidence evidence)
{
    switch (evidence) {
    case end_evidence::refused_connection:
        return "refused_connection";
    case end_evidence::later_life:
        return "later_life";
    case end_evidence::earlier_row:
        return "earlier_row";
    case end_evidence::other_node:
        break;
    }
    return "other_node";
}

void ownership::logGrant(const hold_grant& grant, const std::vector<granted_range>& before, time_point receivedAt) const
{
    const bool isUnusual = grant.isValid ? grant.ranges != before : m_map.hasOwner(m_holdManager.life());
    if (!isUnusual)
        return;
    const auto ranges = grant.isValid ? grant.ranges : before;
    logEvent(grant.isValid ? log_event::holds_renewed : log_event::holds_not_renewed,
        { { "life", m_holdManager.life() }, { "ranges", std::to_string(grant.ranges.size()) },
            { "ranges_before", std::to_string(before.size()) },
            { "added", listText(missingIn(before, ranges), withFence) },
            { "removed", listText(missingIn(ranges, before), withFence) }, { "hold_ms", millisecondsText(grant.hold) },
            { "map_version", std::to_string(m_version) }, { "confirmed_by", std::string(m_confirmedBy) },
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

void ownership::logWrite(const range_map& written, row_version version) const
{
    const auto now = m_hooks.now();
    logEvent(log_event::range_map_written,
        { { "version", std::to_string(version) },
            { "changes", listText(written.changesFrom(m_map), [&](const auto& range) {
                 const auto& before = m_map.find(range.keys.first);
                 std::string text = ":" + std::to_string(range.fence) + ":" + before.owner;
                 if (before.owner != range.owner)
                     text.append(">").append(range.owner);
                 for (const auto& life : before.releasing) {
                     if (std::ranges::find(range.releasing, life) != range.releasing.end())
                         continue;
                     const auto basis
                         = life == m_holdManager.life() ? m_holdManager.releaseBasis(before, now) : release_basis::none;
                     const std::string_view reason = m_endedLives.contains(life) ? "ended"
                         : basis != release_basis::none                          ? toString(basis)
                                                                                 : "silence";
                     text.append(":-").append(life).append("(").append(reason).append(")");
                 }
                 if (before.owner != range.owner && m_endedLives.contains(before.owner))
                     text.append(":-").append(before.owner).append("(ended)");
                 return text;
             }) } });
}

} // namespace heatherdrift
