#include "ranges/hold_manager.h"

#include "ranges/range_edit.h"

#include <algorithm>

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

    /// Cuts the keys out of all entries that the predicate selects.
    template <typename Entries, typename Predicate>
    void removeKeys(Entries& entries, key_range keys, Predicate isSelected)
    {
        Entries rests;
        for (const auto& entry : entries) {
            if (!entry.keys.intersects(keys) || !isSelected(entry))
                continue;
            if (entry.keys.first < keys.first)
                rests.emplace_back(entry).keys.last = keys.first - 1;
            if (keys.last < entry.keys.last)
                rests.emplace_back(entry).keys.first = keys.last + 1;
        }
        std::erase_if(entries, [&](const auto& entry) { return entry.keys.intersects(keys) && isSelected(entry); });
        entries.insert(entries.end(), rests.begin(), rests.end());
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
    , m_previousHoldsEnd(startedAt + std::max(terms.lease, terms.promise))
    , m_holdEnd(m_previousHoldsEnd)
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
    m_unconfirmed.clear();
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
    for (const auto& held : m_reported)
        removeKeys(m_unconfirmed, held.keys, [&](const auto& entry) { return entry.fence <= held.fence; });
    for (const auto& range : report.released)
        m_released.push_back(range);
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
    const auto holdEnd = receivedAt + std::chrono::ceil<duration>(grant.hold / (1 - m_terms.clockDrift));
    std::erase_if(m_unconfirmed, [&](const auto& entry) { return receivedAt > entry.holdEnd; });
    recordNewGrants(grant, holdEnd);
    m_previouslyGranted = std::exchange(m_granted, grant.ranges);
    m_serveEnd = std::max(m_serveEnd, receivedAt + grant.hold);
    m_holdEnd = std::max(m_holdEnd, holdEnd);
    return grant;
}

void hold_manager::recordNewGrants(const hold_grant& grant, time_point holdEnd)
{
    for (auto& entry : m_unconfirmed) {
        if (anyIntersects(grant.ranges, entry.keys))
            entry.holdEnd = std::max(entry.holdEnd, holdEnd);
    }
    for (const auto& range : grant.ranges) {
        if (std::ranges::find(m_granted, range) != m_granted.end())
            continue;
        std::vector<unconfirmed_grant> added { { range.keys, range.fence, holdEnd } };
        for (const auto& before : m_granted)
            removeKeys(added, before.keys, [](const auto&) { return true; });
        for (const auto& entry : added)
            removeKeys(m_unconfirmed, entry.keys, [&](const auto& earlier) { return earlier.holdEnd <= holdEnd; });
        m_unconfirmed.insert(m_unconfirmed.end(), added.begin(), added.end());
    }
}

/// Whether keys were granted by a response that may not have arrived when the last report was sent. Until then a report
/// neither lists them as held nor are the releases in it those of this grant.
bool hold_manager::isUnconfirmed(key_range keys, time_point now) const
{
    return std::ranges::any_of(
        m_unconfirmed, [&](const auto& entry) { return now <= entry.holdEnd && entry.keys.intersects(keys); });
}

bool hold_manager::isHeld(key_range keys, time_point now) const
{
    return anyIntersects(m_reported, keys) || anyIntersects(m_granted, keys) || anyIntersects(m_previouslyGranted, keys)
        || isUnconfirmed(keys, now);
}

/// Whether keys that a report has listed as released are not held any more. The backend server may hold keys more than
/// once, since it keeps each grant until the requests that began with it have ended, and reports the end of each one as
/// a release.
bool hold_manager::isReleased(key_range keys, time_point now) const
{
    return !anyIntersects(m_granted, keys) && !anyIntersects(m_reported, keys) && !isUnconfirmed(keys, now);
}

release_basis hold_manager::releaseBasis(const owned_range& range, time_point now) const
{
    if (std::ranges::find(range.releasing, m_life) == range.releasing.end())
        return release_basis::none;
    if (now > m_holdEnd)
        return release_basis::hold_ended;
    // Reports that were delayed do not show what a previous process has granted after they were sent.
    if (now <= m_previousHoldsEnd || m_reportCount < minReportsForRelease)
        return release_basis::none;
    const bool isReported = std::ranges::any_of(m_released,
        [&](const auto& released) { return released.keys.intersects(range.keys) && isReleased(released.keys, now); });
    if (isReported)
        return release_basis::reported;
    return isHeld(range.keys, now) ? release_basis::none : release_basis::not_reported;
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
        for (auto released = m_released.rbegin(); released != m_released.rend(); ++released) {
            if (released->keys.intersects(range.keys) && isReleased(released->keys, now))
                edit.release(m_life, intersection(released->keys, range.keys), released->handover);
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
