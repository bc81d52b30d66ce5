#include "node/internal/node_metrics.h"

#include <ctime>
#include <map>

namespace heatherdrift {

namespace {

    constexpr const char* controlBytesHelp = "Bytes of control messages since the start, without TCP and IP headers.";
    constexpr const char* controlMessagesHelp = "Control messages since the start.";

    /// Processor time of the calling thread, which is the control task's.
    double threadProcessorSeconds()
    {
        timespec value {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
        return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) / 1e9;
    }

} // namespace

node_metrics::node_metrics(metrics_registry& registry)
    : m_registry(registry)
    , m_hasLease(registry.gauge("heatherdrift_has_lease", "1 while the node's lease is valid."))
    , m_leaseRemaining(registry.gauge("heatherdrift_lease_remaining_seconds", "Time until the lease ends."))
    , m_witnesses(registry.gauge("heatherdrift_witnesses", "Witnesses of the node's lease."))
    , m_configurationVersion(
          registry.gauge("heatherdrift_configuration_version", "Version of the configuration in force at the node."))
    , m_moves(registry.gauge("heatherdrift_moves_in_progress", "Planned moves that the node carries out."))
    , m_takeovers(registry.gauge("heatherdrift_takeovers_in_progress", "Takeovers that the node carries out."))
    , m_unresolvedWrites(
          registry.gauge("heatherdrift_unresolved_writes", "Store writes whose outcome is being looked for."))
    , m_storeAvailable(registry.gauge("heatherdrift_store_available", "1 while the table service answers."))
    , m_replicaBytes(registry.gauge("heatherdrift_replica_bytes", "Size of the values in the replica of stored rows."))
    , m_bytesSent(registry.gauge("heatherdrift_control_bytes", controlBytesHelp, { { "direction", "sent" } }))
    , m_bytesReceived(registry.gauge("heatherdrift_control_bytes", controlBytesHelp, { { "direction", "received" } }))
    , m_messagesSent(registry.gauge("heatherdrift_control_messages", controlMessagesHelp, { { "direction", "sent" } }))
    , m_messagesReceived(
          registry.gauge("heatherdrift_control_messages", controlMessagesHelp, { { "direction", "received" } }))
    , m_rejected(registry.gauge(
          "heatherdrift_control_rejected", "Peer connections closed because of a message that could not be decoded."))
    , m_processorSeconds(registry.gauge(
          "heatherdrift_control_processor_seconds", "Processor time of the control task since the start."))
{
}

void node_metrics::update(const control_node& node, const transport_counts& counts)
{
    const auto status = node.status();
    m_hasLease.Set(status.hasLease);
    m_leaseRemaining.Set(std::chrono::duration<double>(status.leaseRemaining).count());
    m_witnesses.Set(static_cast<double>(status.witnesses.size()));
    m_configurationVersion.Set(static_cast<double>(status.configurationVersion));
    m_moves.Set(static_cast<double>(status.movesInProgress));
    m_takeovers.Set(static_cast<double>(status.takeoversInProgress));
    m_unresolvedWrites.Set(static_cast<double>(status.unresolvedWrites));
    m_storeAvailable.Set(status.isStoreAvailable);
    m_replicaBytes.Set(static_cast<double>(status.replicaBytes));
    m_bytesSent.Set(static_cast<double>(counts.bytesSent));
    m_bytesReceived.Set(static_cast<double>(counts.bytesReceived));
    m_messagesSent.Set(static_cast<double>(counts.messagesSent));
    m_messagesReceived.Set(static_cast<double>(counts.messagesReceived));
    m_rejected.Set(static_cast<double>(counts.rejected));
    m_processorSeconds.Set(threadProcessorSeconds());
    setMembers(node);
    if (const auto snapshot = node.snapshot(); snapshot && snapshot->configuration)
        setOwned(*snapshot);
}

void node_metrics::setOwned(const routing_snapshot& snapshot)
{
    for (const auto& pool : snapshot.configuration->pools) {
        const auto owned = snapshot.partitions.ownedBy(pool.name, snapshot.self).size();
        m_registry.gauge("heatherdrift_partitions_owned", "Partitions that the node owns.", { { "pool", pool.name } })
            .Set(static_cast<double>(owned));
    }
}

void node_metrics::setMembers(const control_node& node)
{
    std::map<std::string, int> byState;
    for (const auto state : { member_state::joining, member_state::active, member_state::draining,
             member_state::fencing, member_state::fenced, member_state::left })
        byState[std::string(toString(state))] = 0;
    for (const auto& member : node.members())
        ++byState[std::string(toString(member.row.state))];
    for (const auto& [state, count] : byState) {
        m_registry.gauge("heatherdrift_members", "Members by state, as the node knows them.", { { "state", state } })
            .Set(count);
    }
}

} // namespace heatherdrift
