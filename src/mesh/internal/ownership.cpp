#include "mesh/internal/ownership.h"

#include "base/hash.h"
#include "mesh/internal/ownership_timing.h"
#include "ranges/range_edit.h"
#include "telemetry/log_event.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace heatherdrift {

using namespace ownership_timing;

namespace {

    hold_terms termsOf(const mesh_settings& settings)
    {
        return { leaseTime, promiseTime, maxExtension, settings.longestHold, 0.02 };
    }

} // namespace

ownership::ownership(
    event_base* base, const mesh_settings& settings, watched_store& store, row_key mapRow, ownership_hooks hooks)
    : m_settings(settings)
    , m_store(store)
    , m_row(std::move(mapRow))
    , m_hooks(std::move(hooks))
    , m_holdManager(termsOf(settings), m_hooks.now())
    , m_eraNotedAt(m_hooks.now())
    , m_startedAt(m_hooks.now())
    , m_random(seededRandom(hashBytes(settings.node)))
    , m_tick(base, [this] { advance(); })
{
}

void ownership::start() { m_tick.startRepeating(tickInterval); }

void ownership::adopt(const range_map& map, row_version version, std::optional<time_point> readAt)
{
    noteEra(eraOf(version));
    if (version < m_version)
        return;
    if (version != m_version)
        logMap(map, version, readAt.has_value());
    const auto now = m_hooks.now();
    if (eraOf(version) > eraOf(m_version)) {
        const auto spread
            = std::max<duration>(minExclusiveReleaseSpread, exclusiveReleaseInterval * (otherOwners().size() + 1));
        m_exclusiveReleaseDueAt = now + std::chrono::duration_cast<duration>(spread * m_random());
    }
    if (version != m_version)
        m_history.add({ version, map });
    if (!m_map.hasOwner(life()) && map.hasOwner(life()))
        m_ownerSince = now;
    m_version = version;
    m_map = map;
    for (const auto& range : map.ranges())
        m_firstSeenAt.try_emplace(range.fence, now);
    if (m_firstSeenAt.size() > maxSeenAssignments)
        m_firstSeenAt.erase(m_firstSeenAt.begin());
    if (readAt && !isMapOutdated())
        m_holdManager.confirm(map, *readAt);
    else
        m_holdManager.setMap(forHolds(map));
    m_hooks.onChanged();
}

bool ownership::isGrantImminent(const owned_range& range) const
{
    if (range.releasing.empty())
        return true;
    const auto seen = m_firstSeenAt.find(range.fence);
    if (seen == m_firstSeenAt.end())
        return false;
    const auto now = m_hooks.now();
    if (std::ranges::all_of(range.releasing, m_hooks.isReachable))
        return now - seen->second < usualReleaseTime;
    // A lost owner releases nothing; its keys are granted when its holds have expired.
    const auto silenceEnd = seen->second + std::chrono::milliseconds(range.silenceMs);
    return range.silenceMs > 0 && silenceEnd - now < maxGrantWait;
}

bool ownership::isAwaitingGrant() const
{
    return std::ranges::any_of(m_map.ranges(), [&](const auto& range) {
        return range.owner == m_holdManager.life() && !range.releasing.empty() && isGrantImminent(range);
    });
}

void ownership::setPresumedLife(const life_name& life)
{
    if (m_holdManager.life().empty())
        m_presumedLife = life;
}

key_access ownership::access(key_number key) const
{
    // Before the first heartbeat the holds are unknown; the backend server itself refuses keys that it does not hold.
    if (m_holdManager.life().empty() && !m_presumedLife.empty()) {
        const auto& range = m_map.find(key);
        return range.owner == m_presumedLife && range.releasing.empty() ? key_access::serve : key_access::refuse;
    }
    if (m_holdManager.mayServe(key, m_hooks.now()))
        return key_access::serve;
    const auto& range = m_map.find(key);
    return range.owner == m_holdManager.life() && isGrantImminent(range) ? key_access::wait : key_access::refuse;
}

void ownership::handleHeartbeat(const backend_announcement& announcement)
{
    const auto life = announcement.life();
    // A life that counts as ended and is given keys all the same would lose and regain them with each write of the map.
    m_holdEndOfEarlier.erase(life);
    if (m_endedLives.erase(life) > 0)
        logEvent(log_event::ended_life_continues,
            { { "life", life }, { "holds", std::to_string(announcement.holds.size()) } });
    if (life != m_holdManager.life()) {
        const auto previous = m_holdManager.life().empty() ? m_presumedLife : m_holdManager.life();
        m_holdManager.startLife(life);
        m_isDraining = false;
        onPredecessorEnded(previous, end_evidence::later_life);
    }
    m_holdManager.report({ life, announcement.holds, announcement.released, announcement.statesKeys });
    propose();
}

void ownership::discardLife()
{
    m_holdManager.forgetLife();
    m_isDraining = false;
}

hold_grant ownership::grant(time_point receivedAt)
{
    // The keys of a life that has ended since its heartbeat may be granted to others without waiting.
    if (m_endedLives.contains(m_holdManager.life()))
        return {};
    const auto before = m_holdManager.granted();
    const auto grant = m_holdManager.grant(receivedAt, m_isDraining ? grant_scope::held : grant_scope::owned);
    logGrant(grant, before, receivedAt);
    m_hooks.onChanged();
    return grant;
}

void ownership::onBackendEnded(const life_name& life)
{
    m_endedLives.insert(life);
    m_holdEndOfEarlier.erase(life);
    if (m_holdManager.life() == life)
        m_holdManager.invalidateGrants();
    propose();
}

void ownership::onPredecessorEnded(const life_name& previous, end_evidence evidence)
{
    // The present life listens at the address of the earlier one, which has therefore ended.
    if (previous.empty() || previous == m_holdManager.life())
        return;
    logEvent(log_event::life_ended,
        { { "life", previous }, { "evidence", std::string(toString(evidence)) },
            { "present_life", m_holdManager.life() } });
    // The order of lives rests on clocks that may be stepped.
    if (m_endedLives.insert(previous).second)
        m_holdEndOfEarlier[previous] = m_holdManager.holdEnd();
    m_previousLife = previous;
    propose();
}

void ownership::onOtherBackendEnded(const life_name& life)
{
    m_endedLives.insert(life);
    propose();
}

void ownership::onOtherBackendAnnounced(const life_name& life)
{
    if (m_endedLives.erase(life) > 0)
        logEvent(log_event::ended_life_continues, { { "life", life }, { "holds", "unknown" } });
}

void ownership::startDrain()
{
    m_isDraining = true;
    propose();
}

void ownership::setEvacuated(bool isEvacuated)
{
    if (std::exchange(m_isEvacuated, isEvacuated) != isEvacuated)
        propose();
}

/// The candidates of an evacuated zone are those of other zones. If there are none in any other zone, moving the keys
/// would gain nothing.
bool ownership::isMovingOut() const
{
    return m_isDraining || (m_isEvacuated && !isCandidate(m_holdManager.life(), m_hooks.candidates()));
}

void ownership::advance()
{
    const auto now = m_hooks.now();
    confirmIfDue(now);
    propose();
}

void ownership::handleWriteFailure(const failure& reason, store_era era, row_version base)
{
    // A write of an earlier era only changes a row that is no longer in use.
    if (era == m_era) {
        if (reason.outcome != verdict::not_run)
            m_unresolvedVersion = base;
        // A write whose response was lost may still take effect. The table watch then delivers it, and a later write
        // conflicts with it.
        m_mayWriteAt = m_hooks.now() + writeBackoff;
        m_confirmDueAt = time_point::min();
    }
    logEvent(log_event::range_map_write_failed,
        { { "version", std::to_string(m_version) }, { "verdict", std::string(toString(reason.outcome)) },
            { "reason", reason.message } });
}

bool ownership::isCandidate(const life_name& life, const std::vector<owner_candidate>& candidates) const
{
    return std::ranges::any_of(candidates, [&](const auto& candidate) { return candidate.range.life == life; });
}

bool ownership::hasOrphans(const range_map& map, const std::vector<owner_candidate>& candidates)
{
    std::unordered_set<std::string_view> lives;
    for (const auto& candidate : candidates)
        lives.insert(candidate.range.life);
    return std::ranges::any_of(map.owners(), [&](const auto& owner) { return !lives.contains(owner); });
}

range_map ownership::releaseAfterSilence(const range_map& map, time_point now) const
{
    range_edit edit(map);
    const bool isFirst = std::ranges::any_of(map.ranges(), &owned_range::mayHaveUnknownHolder) && isFirstOwner();
    for (const auto& range : map.ranges()) {
        const bool isOwn = range.owner == m_holdManager.life();
        if (range.releasing.empty() || !(isOwn || (isFirst && range.mayHaveUnknownHolder())))
            continue;
        const auto seen = m_firstSeenAt.find(range.fence);
        const auto silence = std::chrono::milliseconds(range.silenceMs);
        if (range.silenceMs == 0 || seen == m_firstSeenAt.end() || now - seen->second < silence)
            continue;
        for (const auto& life : range.releasing) {
            if (isOwn || life == unknownHolder)
                edit.release(life, range.keys, "");
        }
    }
    return edit.finish();
}

time_point ownership::firstMapOfSystemDueAt(std::size_t candidates, time_point now)
{
    const auto heartbeats
        = [this](double count) { return std::chrono::duration_cast<duration>(m_settings.heartbeatInterval * count); };
    if (candidates > m_mostCandidates) {
        m_mostCandidates = candidates;
        m_newcomerSeenAt = now;
    }
    const auto complete = std::max(
        m_startedAt + heartbeats(heartbeatsBeforeFirstMap), m_newcomerSeenAt + heartbeats(heartbeatsWithoutNewcomer));
    return std::min<time_point>(complete, m_startedAt + maxFirstMapDelay);
}

range_map ownership::coordinate(const range_map& map, time_point now)
{
    const auto candidates = m_hooks.candidates();
    const auto self = std::ranges::find(candidates, m_settings.node, &owner_candidate::node);
    if (self == candidates.end())
        return map;
    if (!hasOrphans(map, candidates)) {
        m_orphanedSince = time_point::max();
        return map;
    }
    if (m_orphanedSince == time_point::max())
        m_orphanedSince = now;
    // Owners act first: a holder that is cut off from the store asks only owners for promises, so that only they know
    // which keys must not be taken over.
    const bool isOwner = m_map.hasOwner(m_holdManager.life()) || !m_map.hasOwners();
    const auto rank = std::count_if(candidates.begin(), self,
        [&](const auto& candidate) { return m_version == 0 || !isOwner || m_map.hasOwner(candidate.range.life); });
    time_point due = m_orphanedSince + rank * coordinatorStep;
    // After a restore of the store, as after a start, backend servers have to announce themselves first.
    if (m_version > 0)
        due = std::max(due + (isOwner ? orphanGracePeriod : nonOwnerTakeoverDelay), m_eraNotedAt + startupGracePeriod);
    else if (m_settings.isFirstStart)
        due = std::max(due, firstMapOfSystemDueAt(candidates.size(), now) + rank * coordinatorStep);
    else
        due = std::max(due, m_eraNotedAt + startupGracePeriod);
    if (now < due)
        return map;
    std::vector<range_candidate> ranges;
    for (const auto& candidate : candidates)
        ranges.push_back(candidate.range);
    for (const auto& [life, until] : m_promisedUntil) {
        if (now < until && !isCandidate(life, candidates))
            return map;
    }
    const auto silence = isOwner ? duration(leaseTime) : duration(leaseTime + maxExtension);
    const auto assigned = assignUnowned(map, ranges, nextFence(), silenceAfter(silence));
    return m_version == 0 && mayHaveLostMaps()
        ? assigned.withUnknownHolder(nextFence(), silenceAfter(leaseTime + maxExtension))
        : assigned;
}

range_map ownership::balance(const range_map& map, time_point now)
{
    // A holder that is cut off from the store may keep its keys beyond its lease if all other owners promised,
    // including this node and its previous process. Keys are not moved while such a promise may be valid.
    const bool mayMove = !isMovingOut() && m_storeAnswered && now >= m_startedAt + startupGracePeriod
        && m_map.hasOwner(m_holdManager.life())
        && std::ranges::none_of(m_promisedUntil, [&](const auto& entry) { return now < entry.second; });
    return mayMove ? m_hooks.balance(map, nextFence(), now) : map;
}

std::optional<range_map> ownership::nextMap(time_point now)
{
    // A map change in progress may still assign keys to a life that has just ended, so ended lives are removed from the
    // set only when it is large.
    if (m_endedLives.size() > maxEndedLives)
        std::erase_if(m_endedLives, [&](const auto& ended) { return !m_map.names(ended); });
    if (isMapUnreadable())
        return replacementOfUnreadable(now);
    if (isMapOutdated())
        return firstMapOfEra(now);
    std::erase_if(m_holdEndOfEarlier, [&](const auto& entry) { return now > entry.second; });
    range_edit withoutEnded(m_map);
    const auto& life = m_holdManager.life();
    const bool isLeaving = isMovingOut();
    for (const auto& ended : m_endedLives) {
        if (ended == m_previousLife && life.empty())
            continue;
        // Only a later life of the same backend server takes over its ranges unchanged.
        const bool hasSuccessor = !life.empty() && life != ended && !isLeaving && ended == m_previousLife;
        const bool mayHold = m_holdEndOfEarlier.contains(ended);
        if (hasSuccessor && mayHold)
            withoutEnded.succeed(ended, life, nextFence());
        else if (!mayHold)
            withoutEnded.replace(ended, hasSuccessor ? life : life_name(), nextFence());
    }
    range_map next = withoutEnded.finish();
    if (!life.empty()) {
        if (isLeaving || now >= m_exclusiveReleaseDueAt)
            next = m_holdManager.releaseExclusivelyHeld(next);
        next = m_holdManager.releaseUnheld(next, now);
        next = releaseAfterSilence(next, now);
    }
    if (isLeaving) {
        std::vector<range_candidate> others;
        for (const auto& candidate : m_hooks.candidates())
            others.push_back(candidate.range);
        next = assignFrom(next, life, others, nextFence());
    }
    next = coordinate(next, now);
    next = balance(next, now);
    next = next.withSilence(silenceAfter(leaseTime));
    if (next == m_map)
        return std::nullopt;
    return next;
}

void ownership::propose()
{
    const auto now = m_hooks.now();
    if (m_isWriting || !m_isTableRead || now < m_mayWriteAt)
        return;
    auto next = nextMap(now);
    if (!next)
        return;
    m_isWriting = true;
    conditional_write change;
    change.checks.push_back({ currentRow(), isMapUnreadable() ? m_unreadableVersion : expectedVersion() });
    change.changes.push_back({ currentRow(), 0, next->toJson() });
    if (expectedVersion() == 0) {
        for (const auto& row : m_earlierRows)
            change.changes.push_back({ row, 0, std::nullopt });
    }
    m_store.write(std::move(change), now + writeTimeout,
        [this, map = *next, era = m_era, base = m_version, now](
            result<write_outcome> outcome) { handleWriteResult(map, era, base, now, std::move(outcome)); });
}

void ownership::handleWriteResult(
    const range_map& proposed, store_era era, row_version base, time_point sentAt, result<write_outcome> outcome)
{
    m_isWriting = false;
    if (outcome.has_error())
        return handleWriteFailure(outcome.error(), era, base);
    if (eraOf(outcome.value().version) > era)
        return handleWriteFailure(
            mayHaveRun(error_code::store_restored, "the row of an earlier era of the store was written"), era, base);
    if (!outcome.value().isApplied) {
        adoptCurrent(outcome.value(), sentAt);
        backOff();
        return propose();
    }
    m_conflicts = 0;
    m_confirmDueAt = std::max(m_confirmDueAt, sentAt + confirmInterval);
    const auto affected = proposed.affectedOwners(m_map);
    logWrite(proposed, outcome.value().version);
    recordCheck(outcome.value().version, sentAt);
    m_confirmedBy = "own write";
    adopt(proposed, outcome.value().version, sentAt);
    m_hooks.onWritten(affected);
    propose();
}

void ownership::adoptCurrent(const write_outcome& outcome, time_point sentAt)
{
    for (const auto& row : outcome.current) {
        if (row.key != currentRow() || eraOf(row.version) != m_era || !row.value)
            continue;
        const auto map = range_map::fromJson(*row.value);
        if (map.has_error()) {
            noteUnreadable(row.version, map.error());
            continue;
        }
        if (row.version >= m_version)
            recordCheck(row.version, sentAt);
        adopt(map.value(), row.version, sentAt);
    }
}

void ownership::backOff()
{
    // The response to a conflict contains the newest map, so that an immediate retry usually succeeds; after a delay
    // that map would be outdated again. From the second consecutive conflict on, writes are delayed by a random time
    // with exponential growth: without the growth, 34 owners kept the store busy with conflicts (700 calls per second).
    if (++m_conflicts % 2 == 1)
        return;
    const auto spread
        = conflictBackoffStep * (otherOwners().size() + 1) * (1 << std::min(m_conflicts / 2 - 1, maxBackoffDoublings));
    m_mayWriteAt = m_hooks.now() + std::chrono::duration_cast<duration>(spread * m_random());
}

} // namespace heatherdrift
