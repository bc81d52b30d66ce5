#pragma once

#include "configuration/configuration_store_rows.h"
#include "control/peer_transport.h"
#include "lease/lease_settings.h"
#include "routing/task_messages.h"
#include "store/member_row.h"
#include "store/resolving_store.h"
#include "store/table_store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace heatherdrift {

/// Identity and addresses that a node writes into its member row when it registers.
struct node_identity {
    instance_id instance;
    std::string region;
    std::string availabilityZone;
    endpoint entry;
    endpoint forward;
    endpoint control;
    endpoint admin;
};

/// Dependencies and callbacks of a control_node. They must outlive it.
struct control_ports {
    clock_function now;
    table_store* store = nullptr;
    resolving_store* resolving = nullptr;
    peer_transport* transport = nullptr;
    /// Sets the sender identity of outgoing control messages.
    std::function<void(const instance_ref&)> identify;
    std::function<void(to_request_task)> toRequestTask;
    /// Called when the drain is complete: the instance owns nothing and its row has the state `left`.
    std::function<void()> left;
    std::uint64_t seed = 0; ///< For operation ids and jitter; must differ between processes.
};

/// Status of one node, for operators.
struct node_status {
    instance_ref self;
    bool isRegistered = false;
    bool hasLease = false;
    duration leaseRemaining {};
    std::vector<instance_ref> witnesses;
    std::int64_t configurationVersion = 0;
    std::size_t movesInProgress = 0;
    std::size_t takeoversInProgress = 0;
    std::size_t unresolvedWrites = 0;
    bool isStoreAvailable = true;
    std::size_t replicaBytes = 0;

    bool operator==(const node_status&) const = default;
};

/// Logic of the control task: membership, lease, witnessing, takeovers, assignment, configuration and replication.
/// Single-threaded; driven by tick(), messages and store responses. A process that is fenced or superseded stops
/// serving and registers as a new incarnation.
class control_node {
public:
    virtual ~control_node() = default;

    static std::unique_ptr<control_node> create(node_identity, const lease_settings&, control_ports);

    /// Starts the registration. All listeners must be bound.
    virtual void start() = 0;
    /// Must be called every tickInterval.
    virtual void tick() = 0;
    virtual void onRequestTask(const to_control_task&) = 0;
    virtual void onAnnouncement(const backend_description&) = 0;
    /// Moves all partitions to other instances, then marks the own row as `left`.
    virtual void drain() = 0;

    /// Stores a configuration as version baseVersion + 1 and returns that version. Fails with invalid_configuration,
    /// with `conflict` (the message names the conflicting version) or with store_unavailable; the verdict is
    /// may_have_run if the outcome is unknown at the deadline.
    virtual void applyConfiguration(
        configuration next, std::int64_t baseVersion, std::function<void(result<std::int64_t>)>)
        = 0;
    /// Reads the current or an older version from the store. Fails with not_found or store_unavailable.
    virtual void readConfiguration(std::int64_t version, std::function<void(result<configuration>)>) = 0;
    /// Operator's confirmation that the instance's process has stopped and will not resume; starts its takeover. Fails
    /// with not_found.
    virtual result<void> declareLost(const instance_id&) = 0;

    virtual node_status status() const = 0;
    /// Routing view of this node's replica; null until the node has registered.
    virtual routing_snapshot_ptr snapshot() const = 0;
    virtual std::vector<versioned_member> members() const = 0;
};

constexpr duration tickInterval = std::chrono::milliseconds(20);

} // namespace heatherdrift
