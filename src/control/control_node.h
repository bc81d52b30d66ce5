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

/// What a node tells of itself when it registers.
struct node_identity {
    instance_id instance;
    std::string region;
    std::string availabilityZone;
    endpoint entry;
    endpoint forward;
    endpoint control;
    endpoint admin;
};

/// Ports and hooks of a control_node; they outlive it.
struct control_ports {
    clock_function now;
    table_store* store = nullptr;
    resolving_store* resolving = nullptr;
    peer_transport* transport = nullptr;
    /// Names the process for the control messages that it sends.
    std::function<void(const instance_ref&)> identify;
    std::function<void(to_request_task)> toRequestTask;
    /// The drain is complete: nothing is owned and the row says `left`.
    std::function<void()> left;
    std::uint64_t seed = 0; ///< For operation ids and jitter; differs between processes.
};

/// State of one node for operators.
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

/// The control task's decisions: membership, lease, witnessing, takeovers, assignment, configuration and replication.
/// Single-threaded; driven by tick(), by messages and by the store's answers. When the process is fenced or superseded
/// it stops serving and registers as a new incarnation.
class control_node {
public:
    virtual ~control_node() = default;

    static std::unique_ptr<control_node> create(node_identity, const lease_settings&, control_ports);

    /// Begins to register. All listeners must be bound.
    virtual void start() = 0;
    /// To be called every tickInterval.
    virtual void tick() = 0;
    virtual void onRequestTask(const to_control_task&) = 0;
    virtual void onAnnouncement(const backend_description&) = 0;
    /// Moves everything to other instances, then leaves.
    virtual void drain() = 0;

    /// Makes a configuration the next version. Success: its version. Failures: invalid_configuration, `conflict` that
    /// names the version to look at, store_unavailable; may_have_run if the outcome is unknown at the deadline.
    virtual void applyConfiguration(
        configuration next, std::int64_t baseVersion, std::function<void(result<std::int64_t>)>)
        = 0;
    /// Reads a version from the store, the present one or an older one. Failures: not_found, store_unavailable.
    virtual void readConfiguration(std::int64_t version, std::function<void(result<configuration>)>) = 0;
    /// States that the instance's process does not run and will not resume. Fails with not_found.
    virtual result<void> declareLost(const instance_id&) = 0;

    virtual node_status status() const = 0;
    /// The parsed rows as this node knows them.
    virtual routing_snapshot_ptr snapshot() const = 0;
    virtual std::vector<versioned_member> members() const = 0;
};

constexpr duration tickInterval = std::chrono::milliseconds(20);

} // namespace heatherdrift
