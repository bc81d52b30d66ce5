#include "mesh/internal/member_registry.h"

#include "base/hash.h"
#include "telemetry/log_event.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// Row of the member table that is rewritten with each removal of another row; table_copy relies on it.
    constexpr const char* lastRemovalKey = "*last-removal";
    constexpr auto writeTimeout = std::chrono::milliseconds(1500);
    constexpr auto writeBackoff = std::chrono::milliseconds(300);
    constexpr auto firstHeartbeatTimeout = std::chrono::seconds(3); ///< Three usual heartbeat intervals.

    /// News of a removal reach the other nodes in about ten times this time.
    constexpr auto removalDelayPerNode = std::chrono::milliseconds(40);
    constexpr auto maxRemovalDelay = std::chrono::seconds(8);

    /// Whether a restored row may be older than what is known of the same node. A life never ends its drain, and lives
    /// of one node follow each other.
    bool mayBeOlder(const mesh_member& row, const mesh_member& known)
    {
        if (known.life.empty())
            return false;
        if (row.life == known.life)
            return (known.isDraining && !row.isDraining) || row.address != known.address;
        return row.life.empty() || startOf(row.life) < startOf(known.life);
    }

} // namespace

member_registry::member_registry(event_base* base, const mesh_settings& settings, watched_store& store,
    mesh_directory& directory, gate_service& gate, ownership& ownership, announcement_service& announcements,
    std::function<void(const instance_id&)> probe)
    : m_settings(settings)
    , m_store(store)
    , m_directory(directory)
    , m_gate(gate)
    , m_ownership(ownership)
    , m_announcements(announcements)
    , m_probe(std::move(probe))
    , m_publishDueAt(boot_clock::now() + firstHeartbeatTimeout)
    , m_publishRetry(base, [this] { publish(); })
    , m_random(seededRandom(hashBytes(settings.node)))
    , m_removalTimer(base, [this] { writeDueRemovals(); })
{
}

void member_registry::onTableRead(store_era era)
{
    m_era = era;
    m_isRead = true;
    publish();
    m_announcements.onTableRead();
}

void member_registry::onRowChanged(const row_change& row)
{
    const instance_id& node = row.key.key;
    if (node == lastRemovalKey)
        return;
    if (node == m_settings.node) {
        m_ownRowVersion = row.version;
        return ownRowChanged(row);
    }
    // Another node has removed the row, or the node has written it again.
    m_removals.erase(node);
    if (!row.value) {
        m_outdatedRows.erase(node);
        return m_directory.remove(node);
    }
    const auto member = parseMember(*row.value);
    if (member.has_error() || member.value().node != node) {
        const auto reason = member.has_error() ? member.error().message : "row key and instance name differ";
        logEvent(log_event::peer_message_rejected, { { "target", node }, { "reason", reason } });
        return;
    }
    const auto* known = m_directory.find(node);
    auto& outdated = m_outdatedRows[node];
    const auto lastVersion = known ? std::max(known->rowVersion, outdated) : row.version;
    if (eraOf(row.version) > eraOf(lastVersion) && mayBeOlder(member.value(), known->member)) {
        // The known state keeps its version, since the version of this row says nothing about it.
        outdated = row.version;
        return logOutdated(row);
    }
    // The row may be one that was removed in the lost time, so its node must not be given requests or keys yet.
    const bool isRemovalUndone = !known && m_isRead && eraOf(row.version) > m_era;
    logEvent(log_event::member_changed,
        { { "node", node }, { "life", member.value().life }, { "draining", member.value().isDraining ? "yes" : "no" },
            { "row_version", std::to_string(row.version) } });
    m_directory.update(member.value(), boot_clock::now());
    m_directory.setRowVersion(node, row.version);
    if (isRemovalUndone)
        m_directory.requireAnswer(node, boot_clock::now());
    if (const auto replaced = m_replacedAt.find(node);
        replaced != m_replacedAt.end() && row.version > replaced->second) {
        m_replacedAt.erase(replaced);
        m_ownership.onOtherBackendAnnounced(member.value().life);
    }
    checkAddress(member.value());
}

/// Of two nodes at one address, one is gone. Their rows do not show which one: a write of the earlier node whose answer
/// was lost may take effect after that of the present one, and a restore may lose the row of the present node. Only the
/// node that answers at the address does.
void member_registry::checkAddress(const mesh_member& member)
{
    for (const auto& node : m_directory.nodesAt(member.address)) {
        if (node == member.node)
            continue;
        m_probe(member.node);
        if (node != m_settings.node)
            m_probe(node);
    }
}

/// A node whose row was lost continues to run and writes its row again. One that has ended stops answering and is
/// removed then.
void member_registry::onRowMissing(const row_change& row) { logOutdated(row); }

void member_registry::logOutdated(const row_change& row) const
{
    logEvent(
        log_event::member_row_outdated, { { "node", row.key.key }, { "row_version", std::to_string(row.version) } });
}

void member_registry::onTableReplaced(store_era era)
{
    m_era = era;
    // The table does not contain the row, even if this node has not seen it there before.
    if (eraOf(m_ownRowVersion) < era)
        publishAgain();
}

/// Until the first heartbeat, the backend server is taken from the row that an earlier node process wrote. If another
/// backend server runs there by now, it refuses the requests sent to it.
void member_registry::adoptEarlierRow(const row_change& row)
{
    if (!row.value)
        return;
    const auto member = parseMember(*row.value);
    if (member.has_error() || member.value().life.empty() || member.value().service != m_settings.service)
        return;
    m_announcements.setEarlierRow(member.value());
    if (m_announcements.current() || m_announcements.departedEarlier() || m_gate.backend().life != life_name())
        return;
    m_gate.setBackend({ member.value().life, member.value().backendId, member.value().slots });
    m_ownership.setPresumedLife(member.value().life);
    m_directory.update(member.value(), boot_clock::now());
}

void member_registry::onPresumedLifeEnded(const backend_question& question)
{
    const auto& presumed = m_gate.backend().life;
    if (m_announcements.current() || presumed.empty() || question.life != presumed)
        return;
    m_gate.setBackend({});
    m_publishDueAt = boot_clock::now();
    publish();
}

/// The row differs because another node removed it, an earlier process wrote it or the store was restored, so it is
/// written again.
void member_registry::ownRowChanged(const row_change& row)
{
    if (!m_hasPublished)
        adoptEarlierRow(row);
    if (!m_announcements.current() && !m_hasPublished)
        return;
    if (row.value && *row.value == toJson(ownMember()))
        return;
    const auto member = row.value ? parseMember(*row.value) : notRun(error_code::not_found, "removed");
    if (m_announcements.current() && member.has_value()
        && startOf(member.value().life) < m_announcements.current()->startedAt)
        m_ownership.onPredecessorEnded(member.value().life, end_evidence::earlier_row);
    publishAgain();
}

void member_registry::publishAgain()
{
    m_published.reset();
    publish();
}

bool member_registry::isOfOtherNode(const std::string& backendId) const
{
    const auto now = boot_clock::now();
    return std::ranges::any_of(m_directory.peers(), [&](const auto& entry) {
        const auto& member = entry.second.member;
        return member.node != m_settings.node && member.backendId == backendId
            && !m_directory.isUnreachable(entry.second, now);
    });
}

void member_registry::onNodeReplaced(const peer_question& question)
{
    const auto* peer = m_directory.find(question.node);
    if (!peer || question.node == m_settings.node)
        return;
    // The node may have been announced with another life or at another address since.
    const bool isPresent = peer->identity == question.identity;
    logEvent(isPresent ? log_event::life_ended : log_event::evidence_ignored,
        { { "life", isPresent ? peer->member.life : "" },
            { "evidence", std::string(toString(end_evidence::other_node)) }, { "node", question.node },
            { "address", toString(peer->member.address) },
            { "asked_ms_ago", millisecondsText(boot_clock::now() - question.askedAt) },
            { "present_life", peer->member.life } });
    if (!isPresent)
        return m_probe(question.node);
    if (peer->member.service == m_settings.service && !peer->member.life.empty()) {
        m_replacedAt[question.node] = peer->rowVersion;
        m_ownership.onOtherBackendEnded(peer->member.life);
    }
    removeLost(question.node);
}

duration removalDelay(std::size_t nodes, double random)
{
    const auto spread = std::min<duration>(removalDelayPerNode * nodes, maxRemovalDelay);
    return std::chrono::duration_cast<duration>(spread * random);
}

void member_registry::removeLost(const instance_id& node)
{
    const auto delay = removalDelay(m_directory.peers().size(), m_random());
    const auto* peer = m_directory.find(node);
    const auto outdated = m_outdatedRows.find(node);
    const auto version = std::max(peer ? peer->rowVersion : 0, outdated == m_outdatedRows.end() ? 0 : outdated->second);
    m_removals.try_emplace(node, row_removal { boot_clock::now() + delay, version });
    m_directory.remove(node);
    scheduleRemovals();
}

void member_registry::scheduleRemovals()
{
    if (m_removals.empty())
        return m_removalTimer.stop();
    const auto next = std::ranges::min_element(m_removals, {}, [](const auto& entry) { return entry.second.dueAt; });
    m_removalTimer.startAt(next->second.dueAt);
}

void member_registry::writeDueRemovals()
{
    const auto now = boot_clock::now();
    std::map<instance_id, row_version> due;
    for (const auto& [node, removal] : m_removals) {
        if (removal.dueAt <= now)
            due.emplace(node, removal.version);
    }
    for (const auto& [node, version] : due) {
        m_removals.erase(node);
        writeRemoval(node, version);
    }
    scheduleRemovals();
}

void member_registry::writeRemoval(const instance_id& node, row_version version)
{
    logEvent(log_event::member_removed, { { "node", node } });
    conditional_write change;
    // A row that was written meanwhile stays and is delivered by the watch. Versions change with a restore of the
    // store.
    if (version > 0 && eraOf(version) == m_era)
        change.checks.push_back({ { table, node }, version });
    change.changes.push_back({ { table, node }, 0, std::nullopt });
    change.changes.push_back({ { table, lastRemovalKey }, 0, node });
    m_store.write(std::move(change), boot_clock::now() + writeTimeout, [node](const result<write_outcome>& outcome) {
        // If the write failed, the next read of the table adds the node again.
        if (outcome.has_error())
            logEvent(log_event::member_not_removed, { { "node", node }, { "reason", outcome.error().message } });
    });
}

mesh_member member_registry::ownMember() const
{
    mesh_member member;
    member.node = m_settings.node;
    member.zone = m_settings.zone;
    member.address = m_settings.forward;
    member.service = m_settings.service;
    if (const auto& current = m_announcements.current();
        current && (!m_announcements.hasEnded() || m_announcements.isLeaving())) {
        member.life = current->life();
        member.statedStart = m_announcements.statedStart();
        member.backendId = current->id;
        member.slots = current->slots;
        member.isDraining = m_announcements.isLeaving();
    } else if (const auto* departed = m_announcements.departedEarlier()) {
        member.life = departed->life;
        member.statedStart = departed->statedStart;
        member.backendId = departed->backendId;
        member.slots = departed->slots;
        member.isDraining = true;
    }
    return member;
}

void member_registry::publish()
{
    // The row of an earlier process names a backend server that may still run. It is replaced at the first heartbeat,
    // or when none has arrived within firstHeartbeatTimeout.
    if (!m_announcements.current() && !m_announcements.isEarlierDepartureUnrecorded()
        && boot_clock::now() < m_publishDueAt)
        return m_publishRetry.startAt(m_publishDueAt);
    const auto member = ownMember();
    m_directory.update(member, boot_clock::now());
    // The table has to be read first: the row of an earlier process names the life whose keys the present one takes
    // over.
    if (!m_isRead || m_isPublishing || m_published == member)
        return;
    m_isPublishing = true;
    m_hasPublished = true;
    conditional_write change;
    change.changes.push_back({ { table, m_settings.node }, 0, toJson(member) });
    m_store.write(
        std::move(change), boot_clock::now() + writeTimeout, [this, member](const result<write_outcome>& outcome) {
            m_isPublishing = false;
            // A write of an earlier era was undone by the restore.
            if (outcome.has_error() || eraOf(outcome.value().version) < m_era) {
                m_publishRetry.startOnce(writeBackoff);
                return;
            }
            // The row was changed again after this write, and its watch was faster than the response.
            if (m_ownRowVersion > outcome.value().version)
                return publish();
            m_published = member;
            m_announcements.onRowWritten(member);
            publish();
        });
}

} // namespace heatherdrift
