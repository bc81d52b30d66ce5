#pragma once

#include "base/event_handle.h"
#include "mesh/internal/announcement_service.h"
#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/ownership.h"
#include "store/watched_store.h"

namespace heatherdrift {

/// Maintains the member table in the store: writes the row of this node, applies the rows of other nodes to the
/// directory, and removes the rows of lost nodes.
class member_registry {
public:
    /// The function asks a node for an answer of its own, which proves whether it is still at its address.
    member_registry(event_base*, const mesh_settings&, watched_store&, mesh_directory&, gate_service&, ownership&,
        announcement_service&, std::function<void(const instance_id&)> probe);

    void onRowChanged(const row_change&);
    /// The restored table does not contain the row any more.
    void onRowMissing(const row_change&);
    /// The rows of a later era of the store have replaced the known ones.
    void onTableReplaced(store_era);
    /// The whole table was read.
    void onTableRead(store_era);
    bool isRead() const { return m_isRead; }
    /// Whether another reachable node has announced the backend server of this id.
    bool isOfOtherNode(const std::string& backendId) const;

    /// This node's row as it should be.
    mesh_member ownMember() const;
    /// Writes this node's row if it differs from the one that was written last.
    void publish();
    /// Called when the backend server refused a connection before its first heartbeat, so that the life in the row of
    /// an earlier node process has ended.
    void onPresumedLifeEnded(const backend_question&);
    /// Called when another node listens at the node's address, so that its instance and backend server are gone.
    void onNodeReplaced(const peer_question&);
    /// Forgets a node and removes its row from the store, unless another node removes it first.
    void removeLost(const instance_id&);

    static constexpr const char* table = "heatherdrift-members"; ///< Keyed by instance.

private:
    struct row_removal {
        time_point dueAt {};
        row_version version = 0; ///< Last known one.
    };

    void ownRowChanged(const row_change&);
    void adoptEarlierRow(const row_change&);
    void publishAgain();
    void checkAddress(const mesh_member&);
    void logOutdated(const row_change&) const;
    void scheduleRemovals();
    void writeDueRemovals();
    /// Removes the row if it still has this version.
    void writeRemoval(const instance_id&, row_version);

    const mesh_settings& m_settings;
    watched_store& m_store;
    mesh_directory& m_directory;
    gate_service& m_gate;
    ownership& m_ownership;
    announcement_service& m_announcements;
    std::function<void(const instance_id&)> m_probe;
    store_era m_era = 0; ///< Era of the table, as of the last replacement of all rows.
    row_version m_ownRowVersion = 0; ///< Last known version of this node's row.
    /// Versions of the rows of a restored table that were not applied because they may be older than what is known.
    std::map<instance_id, row_version> m_outdatedRows;
    /// Versions of the rows of nodes at whose address another node has responded.
    std::map<instance_id, row_version> m_replacedAt;
    bool m_isRead = false;
    std::optional<mesh_member> m_published;
    bool m_hasPublished = false; ///< The row of an earlier process has been replaced.
    bool m_isPublishing = false;
    time_point m_publishDueAt {}; ///< From this time on the row is written even without a heartbeat.
    timer m_publishRetry;
    std::map<instance_id, row_removal> m_removals; ///< Rows of lost nodes that this node is going to remove.
    random_function m_random;
    timer m_removalTimer;
};

/// Delay before a node removes the row of a lost one, for a random number in [0, 1). All nodes miss a lost one within
/// moments; only the first of them should write, and the others see its write before their own is due.
duration removalDelay(std::size_t nodes, double random);

} // namespace heatherdrift
