#include "mesh/internal/ownership.h"

#include "base/hash.h"
#include "telemetry/log_event.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// Rides through a restart of the node, or two lost heartbeats; keys of a lost owner are served again a lease
    /// later.
    constexpr auto leaseTime = std::chrono::milliseconds(3500);
    constexpr auto confirmInterval = std::chrono::milliseconds(700);
    /// A check of another owner that is not older is passed on; each call to the store costs more than a message.
    constexpr auto recentCheck = std::chrono::milliseconds(300);
    /// The owner that checks for all has not answered once.
    constexpr auto ownCheckAge = confirmInterval + recentCheck + std::chrono::milliseconds(200);
    /// Neither has the store. The other owners may need a second to find that out, and the next heartbeat has to come
    /// before the lease ends.
    constexpr auto extensionAge = ownCheckAge + std::chrono::milliseconds(100);
    constexpr auto extensionInterval = std::chrono::milliseconds(300);
    /// Longer than the interval of heartbeats and that of the promises.
    constexpr auto promiseTime = std::chrono::milliseconds(1600);
    constexpr auto mostExtension = std::chrono::milliseconds(8000); ///< Most outages of the store are shorter.
    /// A write of an earlier process may take effect for this long; until then this one does not vouch for the map.
    constexpr auto lateWriteTime = std::chrono::milliseconds(8000);
    /// A node that owns no keys takes over only if no owner does so for this time.
    constexpr auto ownersFirst = std::chrono::milliseconds(3000);
    constexpr auto tickInterval = std::chrono::milliseconds(100);
    constexpr auto writeTimeout = std::chrono::milliseconds(1500);
    constexpr auto confirmTimeout = std::chrono::milliseconds(1000);
    constexpr auto conflictStep = std::chrono::milliseconds(6); ///< About one call to the store and back.
    constexpr auto writeBackoff = std::chrono::milliseconds(200);
    /// Clocks of two machines may differ by this share over a lease, and reading them takes a moment.
    constexpr double leaseSafety = 1.05;
    /// Heartbeats until all backend servers of a new system have announced themselves.
    constexpr double heartbeatsBeforeFirstMap = 2.2;
    /// Each further node in order waits so much longer before it does the coordinator's work.
    constexpr auto coordinatorStep = std::chrono::milliseconds(600);
    /// Another node that sees the same strays sooner, or the owner's own node, goes first.
    constexpr auto strayPatience = std::chrono::milliseconds(300);
    /// After a start of all nodes, each needs about this time to announce its backend server.
    constexpr auto startPatience = std::chrono::milliseconds(2500);
    /// Owners release keys within about this time unless they are lost.
    constexpr auto usualReleaseTime = std::chrono::milliseconds(2500);
    /// Callers may as well wait for this long; those who come earlier are told to return.
    constexpr auto nearSilenceEnd = std::chrono::milliseconds(600);
    constexpr int mostDoublings = 3; ///< A release must not wait for much longer than a second.
    constexpr std::size_t mostEnded = 64; ///< Far more than end within the way of a plan.
    constexpr std::size_t mostSeen = 4096;

    /// Milliseconds after which a silent owner holds nothing, by the clock of another machine.
    std::int64_t silenceAfter(duration hold)
    {
        return static_cast<std::int64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(hold).count() * leaseSafety);
    }

    hold_terms termsOf(const mesh_settings& settings)
    {
        return { leaseTime, promiseTime, mostExtension, settings.longestHold, 0.02 };
    }

} // namespace

ownership::ownership(
    event_base* base, const mesh_settings& settings, watched_store& store, row_key mapRow, ownership_hooks hooks)
    : m_settings(settings)
    , m_store(store)
    , m_row(std::move(mapRow))
    , m_hooks(std::move(hooks))
    , m_keeper(termsOf(settings), m_hooks.now())
    , m_startedAt(m_hooks.now())
    , m_random(seededRandom(hashBytes(settings.node)))
    , m_tick(base, [this] { advance(); })
{
}

void ownership::start() { m_tick.startRepeating(tickInterval); }

void ownership::rowChanged(const row_change& row)
{
    if (row.version <= m_version || !row.value)
        return;
    const auto map = range_map::fromJson(*row.value);
    if (map.has_value())
        adopt(map.value(), row.version, std::nullopt);
    else
        logEvent(log_event::peer_message_rejected, { { "target", m_row.key }, { "reason", map.error().message } });
}

void ownership::tableRead() { m_isTableRead = true; }

void ownership::adopt(const range_map& map, row_version version, std::optional<time_point> readAt)
{
    if (version < m_version)
        return;
    if (version != m_version)
        logMap(map, version, readAt.has_value());
    m_version = version;
    m_map = map;
    const auto now = m_hooks.now();
    for (const auto& range : map.ranges())
        m_seenAt.try_emplace(range.fence, now);
    if (m_seenAt.size() > mostSeen)
        m_seenAt.erase(m_seenAt.begin());
    if (readAt)
        m_keeper.confirm(map, *readAt);
    else
        m_keeper.setMap(map);
    m_hooks.onChanged();
}

bool ownership::isGrantNear(const owned_range& range) const
{
    if (range.releasing.empty())
        return true;
    const auto seen = m_seenAt.find(range.fence);
    if (seen == m_seenAt.end())
        return false;
    const auto now = m_hooks.now();
    if (std::ranges::all_of(range.releasing, m_hooks.isReachable))
        return now - seen->second < usualReleaseTime;
    // A lost owner releases nothing; its keys are granted when its silence has lasted long enough.
    const auto silenceEnd = seen->second + std::chrono::milliseconds(range.silenceMs);
    return range.silenceMs > 0 && silenceEnd - now < nearSilenceEnd;
}

bool ownership::awaitsGrant() const
{
    return std::ranges::any_of(m_map.ranges(), [&](const auto& range) {
        return range.owner == m_keeper.life() && !range.releasing.empty() && isGrantNear(range);
    });
}

void ownership::presumeLife(const life_name& life)
{
    if (m_keeper.life().empty())
        m_presumedLife = life;
}

key_access ownership::access(key_number key) const
{
    // Until the first heartbeat, the backend server itself refuses what it does not hold.
    if (m_keeper.life().empty() && !m_presumedLife.empty()) {
        const auto& range = m_map.find(key);
        return range.owner == m_presumedLife && range.releasing.empty() ? key_access::serve : key_access::refuse;
    }
    if (m_keeper.mayServe(key, m_hooks.now()))
        return key_access::serve;
    const auto& range = m_map.find(key);
    return range.owner == m_keeper.life() && isGrantNear(range) ? key_access::wait : key_access::refuse;
}

void ownership::report(const backend_announcement& announcement)
{
    const auto life = announcement.life();
    if (life != m_keeper.life()) {
        const auto previous = m_keeper.life().empty() ? m_presumedLife : m_keeper.life();
        m_keeper.startLife(life);
        m_isDraining = false;
        predecessorEnded(previous);
    }
    m_keeper.report({ life, announcement.holds, announcement.released });
    propose();
}

hold_grant ownership::grant(time_point receivedAt)
{
    const auto before = m_keeper.grantedCount();
    const auto grant = m_keeper.grant(receivedAt);
    logGrant(grant, before, receivedAt);
    m_hooks.onChanged();
    return grant;
}

void ownership::backendEnded(const life_name& life)
{
    m_ended.insert(life);
    if (m_keeper.life() == life)
        m_keeper.distrustGrants();
    propose();
}

void ownership::predecessorEnded(const life_name& previous)
{
    // The present life answers at the address of the earlier one, which has therefore ended.
    if (previous.empty() || previous == m_keeper.life())
        return;
    m_ended.insert(previous);
    m_previousLife = previous;
    propose();
}

void ownership::otherEnded(const life_name& life)
{
    m_ended.insert(life);
    propose();
}

void ownership::startDrain()
{
    m_isDraining = true;
    propose();
}

void ownership::advance()
{
    const auto now = m_hooks.now();
    confirmIfDue(now);
    propose();
}

void ownership::confirmIfDue(time_point now)
{
    const bool isOwner = !m_keeper.life().empty() && m_map.hasOwner(m_keeper.life());
    if (!isOwner)
        return;
    // A write of this node that may still take effect would make the promises of the others void.
    const auto age = now - m_keeper.confirmedAt();
    if (now >= m_extensionDueAt && m_unresolvedVersion != m_version && age > extensionAge) {
        m_extensionDueAt = now + extensionInterval;
        m_hooks.askOtherOwners();
    }
    if (now < m_confirmDueAt)
        return;
    m_confirmDueAt = now + confirmInterval;
    const bool isAsked = age < ownCheckAge && m_hooks.askConfirmingOwner();
    if (!isAsked)
        checkMap([](bool) {});
}

void ownership::checkMap(std::function<void(bool isCurrent)> done)
{
    m_awaitingCheck.push_back(std::move(done));
    if (m_awaitingCheck.size() > 1)
        return;
    const auto now = m_hooks.now();
    conditional_write check;
    check.checks.push_back({ m_row, m_version });
    m_store.write(check, now + confirmTimeout,
        [this, version = m_version, now](const result<write_outcome>& outcome) { checked(version, now, outcome); });
}

void ownership::checked(row_version version, time_point sentAt, const result<write_outcome>& outcome)
{
    const auto waiting = std::exchange(m_awaitingCheck, {});
    m_storeAnswered = outcome.has_value();
    const bool isApplied = outcome.has_value() && outcome.value().isApplied;
    if (isApplied)
        noteCurrent(version, sentAt);
    else if (outcome.has_value())
        adoptCurrent(outcome.value(), sentAt);
    const bool isCurrent = isApplied && version == m_version;
    if (isCurrent)
        m_keeper.confirm(m_map, sentAt);
    for (const auto& done : waiting)
        done(isCurrent);
    propose();
}

void ownership::noteCurrent(row_version version, time_point at)
{
    m_checkedAt = version == m_checkedVersion ? std::max(m_checkedAt, at) : at;
    m_checkedVersion = version;
}

std::vector<life_name> ownership::otherOwners() const
{
    std::set<life_name> lives;
    for (const auto& range : m_map.ranges())
        lives.insert(range.owner);
    lives.erase(m_keeper.life());
    lives.erase(life_name());
    return { lives.begin(), lives.end() };
}

void ownership::confirmed(time_point at) { m_keeper.confirm(m_map, at); }

void ownership::promised(time_point askedAt)
{
    m_keeper.extend(askedAt);
    m_hooks.onChanged();
}

std::optional<duration> ownership::recentlyChecked() const
{
    if (m_checkedAt == time_point::min() || m_checkedVersion != m_version)
        return std::nullopt;
    const auto age = m_hooks.now() - m_checkedAt;
    return age <= recentCheck ? std::optional<duration>(age) : std::nullopt;
}

void ownership::confirmFor(const life_name& holder, row_version version, statement_function done)
{
    const auto state = [this, version](map_statement ofSame) {
        if (version == m_version)
            return ofSame;
        return version < m_version ? map_statement::outdated : map_statement::unknown;
    };
    if (const auto age = recentlyChecked(); age && version <= m_version)
        return done(state(map_statement::current), age);
    if (!m_storeAnswered)
        return done(version == m_version ? promise(holder) : state(map_statement::unknown), {});
    checkMap([this, holder, version, state, done = std::move(done)](bool) {
        if (const auto age = recentlyChecked())
            return done(state(map_statement::current), age);
        const bool isPromise = version == m_version && !m_storeAnswered;
        done(isPromise ? promise(holder) : state(map_statement::unknown), {});
    });
}

map_statement ownership::promise(const life_name& holder)
{
    const auto now = m_hooks.now();
    const bool isOwner = m_map.hasOwner(m_keeper.life());
    if (!isOwner || m_isWriting || m_unresolvedVersion == m_version || now < m_startedAt + lateWriteTime)
        return map_statement::unknown;
    m_promisedUntil[holder] = now + std::chrono::duration_cast<duration>(promiseTime * leaseSafety);
    return map_statement::promised;
}

void ownership::failed(const failure& reason)
{
    if (reason.outcome != verdict::not_run)
        m_unresolvedVersion = m_version;
    // A write whose answer was lost may still take effect; the feed shows it, and a later one conflicts with it.
    m_mayWriteAt = m_hooks.now() + writeBackoff;
    m_confirmDueAt = time_point::min();
    logEvent(log_event::range_map_write_failed,
        { { "version", std::to_string(m_version) }, { "verdict", std::string(toString(reason.outcome)) },
            { "reason", reason.message } });
}

bool ownership::isOwnerKnown(const life_name& life, const std::vector<owner_candidate>& candidates) const
{
    return std::ranges::any_of(candidates, [&](const auto& candidate) { return candidate.range.life == life; });
}

range_map ownership::releaseOutwaited(const range_map& map, time_point now) const
{
    range_map out = map;
    for (const auto& range : map.ranges()) {
        if (range.owner != m_keeper.life() || range.releasing.empty())
            continue;
        const auto seen = m_seenAt.find(range.fence);
        const auto silence = std::chrono::milliseconds(range.silenceMs);
        if (range.silenceMs == 0 || seen == m_seenAt.end() || now - seen->second < silence)
            continue;
        for (const auto& life : range.releasing)
            out = out.release(life, range.keys, "");
    }
    return out;
}

range_map ownership::coordinate(const range_map& map, time_point now)
{
    const auto candidates = m_hooks.candidates();
    const auto self = std::ranges::find(candidates, m_settings.node, &owner_candidate::node);
    if (self == candidates.end())
        return map;
    const bool hasStrays
        = std::ranges::any_of(map.ranges(), [&](const auto& range) { return !isOwnerKnown(range.owner, candidates); });
    if (!hasStrays) {
        m_strayedSince = time_point::max();
        return map;
    }
    if (m_strayedSince == time_point::max())
        m_strayedSince = now;
    // Owners alone decide at first: a holder that is cut off from the store asks them, and only them, for promises.
    const bool isOwner = m_map.hasOwner(m_keeper.life()) || !m_map.hasOwners();
    const auto rank = std::count_if(candidates.begin(), self,
        [&](const auto& candidate) { return m_version == 0 || !isOwner || m_map.hasOwner(candidate.range.life); });
    time_point due = m_strayedSince + rank * coordinatorStep;
    if (m_version > 0)
        due = std::max(due + (isOwner ? strayPatience : ownersFirst), m_startedAt + startPatience);
    else if (m_settings.isFirstStart)
        due = std::max(due,
            m_startedAt + std::chrono::duration_cast<duration>(m_settings.heartbeatInterval * heartbeatsBeforeFirstMap)
                + rank * coordinatorStep);
    if (now < due)
        return map;
    std::vector<range_candidate> ranges;
    for (const auto& candidate : candidates)
        ranges.push_back(candidate.range);
    for (const auto& [life, until] : m_promisedUntil) {
        if (now < until && !isOwnerKnown(life, candidates))
            return map;
    }
    const auto silence = isOwner ? duration(leaseTime) : duration(leaseTime + mostExtension);
    return assignUnowned(map, ranges, m_version + 1, silenceAfter(silence));
}

range_map ownership::balance(const range_map& map, time_point now)
{
    // A holder that is cut off from the store may keep its keys for longer than a lease by the promises of all other
    // owners, this one included, and of the process before this one.
    const bool mayMove = !m_isDraining && m_storeAnswered && now >= m_startedAt + startPatience
        && m_map.hasOwner(m_keeper.life())
        && std::ranges::none_of(m_promisedUntil, [&](const auto& entry) { return now < entry.second; });
    return mayMove ? m_hooks.balance(map, m_version + 1, now) : map;
}

std::optional<range_map> ownership::nextMap(time_point now)
{
    // A plan that is on its way may still give keys to a life that has just ended, so the others are forgotten late.
    if (m_ended.size() > mostEnded)
        std::erase_if(m_ended, [&](const auto& ended) { return !m_map.names(ended); });
    range_map next = m_map;
    const auto& life = m_keeper.life();
    for (const auto& ended : m_ended) {
        if (ended == m_previousLife && life.empty())
            continue;
        // Only a later life of the same backend server takes the keys over as they are.
        const bool hasSuccessor = !life.empty() && life != ended && !m_isDraining && ended == m_previousLife;
        next = next.replace(ended, hasSuccessor ? life : life_name(), m_version + 1);
    }
    if (!life.empty()) {
        next = m_keeper.releaseUnheld(next, now);
        next = releaseOutwaited(next, now);
    }
    if (m_isDraining) {
        std::vector<range_candidate> others;
        for (const auto& candidate : m_hooks.candidates())
            others.push_back(candidate.range);
        next = assignFrom(next, life, others, m_version + 1);
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
    change.checks.push_back({ m_row, m_version });
    change.changes.push_back({ m_row, 0, next->toJson() });
    m_store.write(std::move(change), now + writeTimeout,
        [this, map = *next, now](result<write_outcome> outcome) { wrote(map, now, std::move(outcome)); });
}

void ownership::wrote(const range_map& proposed, time_point sentAt, result<write_outcome> outcome)
{
    m_isWriting = false;
    if (outcome.has_error())
        return failed(outcome.error());
    if (!outcome.value().isApplied) {
        adoptCurrent(outcome.value(), sentAt);
        backOff();
        return propose();
    }
    m_conflicts = 0;
    m_confirmDueAt = std::max(m_confirmDueAt, sentAt + confirmInterval);
    const auto concerned = proposed.livesOfChanges(m_map);
    noteCurrent(outcome.value().version, sentAt);
    adopt(proposed, outcome.value().version, sentAt);
    m_hooks.onWritten(concerned);
    propose();
}

void ownership::adoptCurrent(const write_outcome& outcome, time_point sentAt)
{
    for (const auto& row : outcome.current) {
        if (row.key != m_row || !row.value)
            continue;
        const auto map = range_map::fromJson(*row.value);
        if (map.has_error()) {
            logEvent(log_event::peer_message_rejected, { { "target", m_row.key }, { "reason", map.error().message } });
            continue;
        }
        if (row.version >= m_version)
            noteCurrent(row.version, sentAt);
        adopt(map.value(), row.version, sentAt);
    }
}

void ownership::backOff()
{
    // The answer to a conflict holds the newest map, so that a change based on it right away mostly succeeds; after a
    // wait it would be outdated again. Only if others were faster twice, the owners spread their writes: without the
    // growth, those of 34 owners kept the store busy with conflicts (iarc-mesh-grown scale-1, 700 calls a second).
    if (++m_conflicts % 2 == 1)
        return;
    const auto spread = conflictStep * (otherOwners().size() + 1) * (1 << std::min(m_conflicts / 2 - 1, mostDoublings));
    m_mayWriteAt = m_hooks.now() + std::chrono::duration_cast<duration>(spread * m_random());
}

} // namespace heatherdrift
