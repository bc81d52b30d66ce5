#include "mesh/internal/member_registry.h"

#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    /// Row of the member table that changes with each removal of another one, as table_copy needs it.
    constexpr const char* lastRemovalKey = "*last-removal";
    constexpr auto writeTimeout = std::chrono::milliseconds(1500);
    constexpr auto writeBackoff = std::chrono::milliseconds(300);
    constexpr auto firstHeartbeatPatience = std::chrono::seconds(3); ///< Three intervals of usual heartbeats.

} // namespace

member_registry::member_registry(event_base* base, const mesh_settings& settings, watched_store& store,
    mesh_directory& directory, gate_service& gate, ownership& ownership, announcement_service& announcements)
    : m_settings(settings)
    , m_store(store)
    , m_directory(directory)
    , m_gate(gate)
    , m_ownership(ownership)
    , m_announcements(announcements)
    , m_announcesAt(boot_clock::now() + firstHeartbeatPatience)
    , m_publishRetry(base, [this] { publish(); })
{
}

void member_registry::tableRead()
{
    m_isRead = true;
    publish();
}

void member_registry::rowChanged(const row_change& row)
{
    const instance_id& node = row.key.key;
    if (node == lastRemovalKey)
        return;
    if (node == m_settings.node)
        return ownRowChanged(row);
    if (!row.value)
        return m_directory.remove(node);
    const auto member = parseMember(*row.value);
    if (member.has_error() || member.value().node != node) {
        const auto reason = member.has_error() ? member.error().message : "names another node";
        logEvent(log_event::peer_message_rejected, { { "target", node }, { "reason", reason } });
        return;
    }
    if (const auto* other = m_directory.findAddress(member.value().address);
        other && other->member.node != node && row.version > other->rowVersion)
        nodeReplaced(instance_id(other->member.node));
    logEvent(log_event::member_changed,
        { { "node", node }, { "life", member.value().life }, { "draining", member.value().isDraining ? "yes" : "no" },
            { "row_version", std::to_string(row.version) } });
    m_directory.update(member.value(), boot_clock::now());
    m_directory.setRowVersion(node, row.version);
}

/// Until the first heartbeat, the row of an earlier process tells of the backend server. If it is another one
/// by now, it refuses what is sent to it.
void member_registry::presume(const row_change& row)
{
    if (!row.value || m_gate.backend().life != life_name())
        return;
    const auto member = parseMember(*row.value);
    if (member.has_error() || member.value().life.empty() || member.value().isDraining
        || member.value().service != m_settings.service)
        return;
    m_gate.setBackend({ member.value().life, member.value().backendId, member.value().slots });
    m_ownership.presumeLife(member.value().life);
    m_directory.update(member.value(), boot_clock::now());
}

void member_registry::presumedLifeEnded()
{
    if (m_announcements.current() || m_gate.backend().life.empty())
        return;
    m_gate.setBackend({});
    m_announcesAt = boot_clock::now();
    publish();
}

/// Another node takes this one for lost, or an earlier process wrote the row: it is written anew.
void member_registry::ownRowChanged(const row_change& row)
{
    if (!m_announcements.current())
        return presume(row);
    if (row.value && *row.value == toJson(ownMember()))
        return;
    const auto member = row.value ? parseMember(*row.value) : notRun(error_code::not_found, "removed");
    if (member.has_value() && startOf(member.value().life) < m_announcements.current()->startedAt)
        m_ownership.predecessorEnded(member.value().life);
    m_published.reset();
    publish();
}

void member_registry::nodeReplaced(const instance_id& node)
{
    const auto* peer = m_directory.find(node);
    if (!peer || node == m_settings.node)
        return;
    if (peer->member.service == m_settings.service && !peer->member.life.empty())
        m_ownership.otherEnded(peer->member.life);
    removeLost(node);
}

void member_registry::removeLost(const instance_id& node)
{
    logEvent(log_event::member_removed, { { "node", node } });
    conditional_write change;
    change.changes.push_back({ { table, node }, 0, std::nullopt });
    change.changes.push_back({ { table, lastRemovalKey }, 0, node });
    m_directory.remove(node);
    m_store.write(std::move(change), boot_clock::now() + writeTimeout, [node](const result<write_outcome>& outcome) {
        // A row that was not removed comes back with the next read of the table.
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
    if (const auto& current = m_announcements.current(); current && !m_announcements.hasEnded()) {
        member.life = current->life();
        member.backendId = current->id;
        member.slots = current->slots;
        member.isDraining = m_announcements.isLeaving();
    }
    return member;
}

void member_registry::publish()
{
    // The row of an earlier process stands for a backend server that may live; it is replaced when the first
    // heartbeat tells which one does, or does not come.
    if (!m_announcements.current() && boot_clock::now() < m_announcesAt)
        return m_publishRetry.startAt(m_announcesAt);
    const auto member = ownMember();
    m_directory.update(member, boot_clock::now());
    // The row of an earlier process names the life whose keys the present one takes over.
    if (!m_isRead || m_isPublishing || m_published == member)
        return;
    m_isPublishing = true;
    conditional_write change;
    change.changes.push_back({ { table, m_settings.node }, 0, toJson(member) });
    m_store.write(
        std::move(change), boot_clock::now() + writeTimeout, [this, member](const result<write_outcome>& outcome) {
            m_isPublishing = false;
            if (outcome.has_error()) {
                m_publishRetry.startOnce(writeBackoff);
                return;
            }
            m_published = member;
            publish();
        });
}

} // namespace heatherdrift
