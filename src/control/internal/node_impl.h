#pragma once

#include "control/control_node.h"
#include "control/internal/assignment_driver.h"
#include "control/internal/cluster_view.h"
#include "control/internal/control_context.h"
#include "control/internal/lease_driver.h"
#include "control/internal/move_driver.h"
#include "control/internal/own_row.h"
#include "control/internal/page_writer.h"
#include "control/internal/store_reader.h"
#include "control/internal/strike_relay.h"
#include "control/internal/takeover_driver.h"

#include <random>

namespace heatherdrift {

class node_impl : public control_node {
public:
    node_impl(node_identity, const lease_settings&, control_ports);

    void start() override;
    void tick() override;
    void onRequestTask(const to_control_task&) override;
    void onAnnouncement(const backend_description&) override;
    void drain() override;
    void applyConfiguration(
        configuration next, std::int64_t baseVersion, std::function<void(result<std::int64_t>)>) override;
    void readConfiguration(std::int64_t version, std::function<void(result<configuration>)>) override;
    result<void> declareLost(const instance_id&) override;
    node_status status() const override;
    routing_snapshot_ptr snapshot() const override { return m_snapshot; }
    std::vector<versioned_member> members() const override;

private:
    /// Components that exist once per incarnation.
    struct incarnation_parts {
        incarnation_parts(node_impl&, const member_row&);

        page_writer pages;
        lease_driver lease;
        takeover_driver takeovers;
        move_driver moves;
        assignment_driver assignment;
    };

    void onRegistered(const versioned_member&);
    void onRowWritten(const versioned_member&, bool isApplied);
    void onLeaseLost(lease_end);
    void onRowsChanged(const std::vector<stored_row>&);
    void onMessage(const instance_ref& sender, const wire::Message&);
    void leaveWhenIdle(time_point now);
    void updateOwnRow(time_point now);
    member_state targetState(time_point now) const;
    void updateNeighbours();
    void sendDigests(time_point now);
    void publishSnapshot();
    void resolveApply(std::int64_t version, const std::string& operationId, const failure& reason,
        std::function<void(result<std::int64_t>)>);
    void writeIntent(const insert_intent&);
    std::string newOperationId();

    void on(const serving_stopped&);
    void on(const partition_idle&);
    void on(const backend_health&);
    void on(const load_sample&);
    void on(const new_strikes&);
    void on(const insert_intent&);

    node_identity m_identity;
    control_ports m_ports;
    std::mt19937_64 m_random;
    cluster_view m_view;
    replica_sync m_replica;
    control_context m_context;
    own_row m_row;
    store_reader m_reader;
    strike_relay m_strikes;
    std::unique_ptr<incarnation_parts> m_parts;
    /// Incarnation whose request task has not confirmed yet that it stopped serving.
    std::optional<instance_ref> m_stopping;
    std::optional<backend_description> m_backend;
    bool m_isBackendAnswering = true;
    bool m_isDraining = false;
    bool m_isLeaving = false; ///< The request task was asked to stop; the row is marked as `left` after it confirms.
    bool m_isServing = true;
    bool m_hasLeft = false;
    time_point m_drainDeadline;
    int m_callsInProgress = 0;
    routing_snapshot_ptr m_snapshot;
    std::uint64_t m_publishedRevision = 0;
    std::uint64_t m_snapshotCount = 0;
    std::vector<peer_address> m_regionLinks;
    time_point m_nextDigest;
};

} // namespace heatherdrift
