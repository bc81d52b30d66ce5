#include "ranges/hold_manager.h"

#include "ranges/range_edit.h"

#include <algorithm>
#include <ranges>

namespace heatherdrift {

namespace {

    /// A shorter hold would end before the next report and only interrupt requests.
    constexpr auto minHold = std::chrono::milliseconds(200);
    /// Requests are no longer sent within this time before the end of a hold.
    constexpr auto serveMargin = std::chrono::milliseconds(50);
    /// Keys missing from a report count as not held only from this report on: the first report after a start may be an
    /// old one that was delayed.
    constexpr int minReportsForRelease = 2;
    constexpr std::size_t maxPendingReleases = 4096; ///< Bound on releases not yet recorded in the range map.

    template <typename Ranges> bool anyIntersects(const Ranges& ranges, key_range keys)
    {
        return std::ranges::any_of(ranges, [&](const auto& range) { return range.keys.intersects(keys); });
    }

    key_range intersection(key_range left, key_range right)
    {
        return { std::max(left.first, right.first), std::min(left.last, right.last) };
    }

} // namespace

std::string_view toString(release_basis basis)
{
    switch (basis) {
    case release_basis::none:
        return "none";
    case release_basis::hold_ended:
        return "hold_ended";
    case release_basis::reported:
        return "reported";
    case release_basis::not_reported:
        break;
    }
    return "not_reported";
}

hold_manager::hold_manager(const hold_terms& terms, time_point startedAt)
    : m_terms(terms)
    , m_holdEnd(startedAt + std::max(terms.lease, terms.promise))
{
}

void hold_manager::confirm(const range_map& map, time_point at)
{
    m_map = map;
    m_confirmedAt = std::max(m_confirmedAt, at);
}

void hold_manager::setMap(const range_map& map) { m_map = map; }

void hold_manager::startLife(const life_name& life)
{
    // The end of the holds is kept. A previous process may have granted some to this incarnation, even if this process
    // has heard of another one before, whose heartbeat was late.
    m_serveEnd = time_point::min();
    m_life = life;
    clearReports();
}

void hold_manager::forgetLife()
{
    m_life.clear();
    m_serveEnd = time_point::min();
    clearReports();
}

void hold_manager::clearReports()
{
    m_granted.clear();
    m_previouslyGranted.clear();
    m_heldAtEraStart.clear();
    m_reported.clear();
    m_released.clear();
    m_reportCount = 0;
}

void hold_manager::startEra(time_point now)
{
    m_heldAtEraStart.clear();
    if (now >= m_serveEnd)
        return;
    for (const auto& range : m_granted)
        m_heldAtEraStart.push_back(range.keys);
}

void hold_manager::invalidateGrants()
{
    m_granted.clear();
    m_heldAtEraStart.clear();
}

std::vector<key_range> hold_manager::provenKeys(const owned_range& range) const
{
    std::vector<key_range> keys;
    if (range.owner != m_life || !range.mayHaveUnknownHolder())
        return keys;
    for (const auto& held : m_heldAtEraStart) {
        if (held.intersects(range.keys))
            keys.push_back(intersection(held, range.keys));
    }
    return keys;
}

range_map hold_manager::releaseExclusivelyHeld(const range_map& map) const
{
    range_edit edit(map);
    for (const auto& range : map.ranges()) {
        for (const auto& keys : provenKeys(range))
            edit.releaseAll(keys);
    }
    return edit.finish();
}

void hold_manager::extend(time_point at) { m_promisedUntil = std::max(m_promisedUntil, at + m_terms.promise); }

time_point hold_manager::latestHoldEnd() const
{
    const auto byStore = m_confirmedAt + m_terms.lease;
    return std::max(byStore, std::min(m_promisedUntil, byStore + m_terms.maxHoldExtension));
}

duration hold_manager::holdDuration(time_point receivedAt) const
{
    // The backend server counts the hold from when it sent the report, so its hold ends before the one counted from
    // the receipt.
    const duration left = latestHoldEnd() - receivedAt;
    const auto byClock = std::chrono::duration_cast<duration>(left * (1 - m_terms.clockDrift));
    return std::min(byClock, m_terms.longestHold);
}

void hold_manager::report(const hold_report& report)
{
    if (report.life != m_life || !report.isComplete)
        return;
    ++m_reportCount;
    m_reported = report.holds;
    // A release of keys that the last answer has granted is older than that answer.
    std::ranges::copy_if(report.released, std::back_inserter(m_released),
        [&](const auto& released) { return !anyIntersects(m_granted, released.keys); });
    // Drops releases of keys that this incarnation no longer owns or has to release according to the map.
    std::erase_if(m_released, [&](const auto& released) {
        return std::ranges::none_of(m_map.ranges(), [&](const auto& range) {
            return range.keys.intersects(released.keys)
                && (range.owner == m_life || std::ranges::find(range.releasing, m_life) != range.releasing.end());
        });
    });
    if (m_released.size() > maxPendingReleases)
        m_released.erase(m_released.begin(), m_released.end() - maxPendingReleases);
}

std::vector<key_range> hold_manager::reportedKeys(key_range keys) const
{
    std::vector<key_range> parts;
    for (const auto& held : m_reported) {
        if (held.keys.intersects(keys))
            parts.push_back(intersection(held.keys, keys));
    }
    std::ranges::sort(parts);
    std::vector<key_range> out;
    for (const auto& part : parts) {
        if (!out.empty() && part.first <= out.back().last + 1)
            out.back().last = std::max(out.back().last, part.last);
        else
            out.push_back(part);
    }
    return out;
}

hold_grant hold_manager::grant(time_point receivedAt, grant_scope scope)
{
    hold_grant grant;
    grant.hold = holdDuration(receivedAt);
    if (grant.hold < minHold)
        return {};
    grant.isValid = true;
    for (const auto& range : m_map.ranges()) {
        if (range.owner == m_life && range.releasing.empty()) {
            const auto parts = scope == grant_scope::owned ? std::vector { range.keys } : reportedKeys(range.keys);
            for (const auto& keys : parts)
                grant.ranges.push_back({ keys, range.fence, range.handover });
        }
        for (const auto& keys : provenKeys(range))
            grant.ranges.push_back({ keys, range.fence, range.handover });
    }
    // Granted keys are held again, so earlier releases of them are void.
    std::erase_if(m_released, [&](const auto& released) { return anyIntersects(grant.ranges, released.keys); });
    m_previouslyGranted = std::exchange(m_granted, grant.ranges);
    m_serveEnd = std::max(m_serveEnd, receivedAt + grant.hold);
    const auto bySlowClock = std::chrono::ceil<duration>(grant.hold / (1 - m_terms.clockDrift));
    m_holdEnd = std::max(m_holdEnd, receivedAt + bySlowClock);
    return grant;
}

bool hold_manager::isHeld(key_range keys) const
{
    return anyIntersects(m_reported, keys) || anyIntersects(m_granted, keys)
        || anyIntersects(m_previouslyGranted, keys);
}

/// Whether keys that a report has listed as released are not held any more. The backend server may hold keys more than
/// once, since it keeps each grant until the requests that began with it have ended, and reports the end of each one as
/// a release.
bool hold_manager::isReleased(key_range keys) const
{
    return !anyIntersects(m_granted, keys) && !anyIntersects(m_reported, keys);
}

release_basis hold_manager::releaseBasis(const owned_range& range, time_point now) const
{
    if (std::ranges::find(range.releasing, m_life) == range.releasing.end())
        return release_basis::none;
    if (now > m_holdEnd)
        return release_basis::hold_ended;
    if (m_reportCount < minReportsForRelease)
        return release_basis::none;
    const bool isReported = std::ranges::any_of(m_released,
        [&](const auto& released) { return released.keys.intersects(range.keys) && isReleased(released.keys); });
    if (isReported)
        return release_basis::reported;
    return isHeld(range.keys) ? release_basis::none : release_basis::not_reported;
}

range_map hold_manager::releaseUnheld(const range_map& map, time_point now) const
{
    range_edit edit(map);
    for (const auto& range : map.ranges()) {
        const auto basis = releaseBasis(range, now);
        if (basis == release_basis::hold_ended || basis == release_basis::not_reported)
            edit.release(m_life, range.keys, "");
        if (basis != release_basis::reported)
            continue;
        // The last release of a key has the state of its last holder, so it goes first.
        for (const auto& released : m_released | std::views::reverse) {
            if (released.keys.intersects(range.keys) && isReleased(released.keys))
                edit.release(m_life, intersection(released.keys, range.keys), released.handover);
        }
    }
    return edit.finish();
}

bool hold_manager::mayServe(key_number key, time_point now) const
{
    if (now + serveMargin >= m_serveEnd)
        return false;
    return std::ranges::any_of(m_granted, [&](const auto& range) { return range.keys.contains(key); });
}

} // namespace heatherdrift
