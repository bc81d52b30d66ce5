#pragma once

#include "base/event_handle.h"
#include "mesh/internal/announcement_service.h"
#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/ownership.h"
#include "store/watched_store.h"

namespace heatherdrift {

/// The rows of the nodes in the store: writes the one of this node, takes in those of the others, and removes those of
/// lost ones.
class member_registry {
public:
    member_registry(event_base*, const mesh_settings&, watched_store&, mesh_directory&, gate_service&, ownership&,
        announcement_service&);

    void rowChanged(const row_change&);
    /// The whole table was read.
    void tableRead();
    bool isRead() const { return m_isRead; }

    /// Writes this node's row if it differs from the one that was written last.
    void publish();
    /// Nothing listens at the address of the backend server, which had the life that the row of an earlier process
    /// names.
    void presumedLifeEnded();
    /// Another node listens at the node's address, so that its instance and its backend server are gone.
    void nodeReplaced(const instance_id&);
    void removeLost(const instance_id&);

    static constexpr const char* table = "heatherdrift-members"; ///< Keys are instances.

private:
    void ownRowChanged(const row_change&);
    void presume(const row_change&);
    mesh_member ownMember() const;

    const mesh_settings& m_settings;
    watched_store& m_store;
    mesh_directory& m_directory;
    gate_service& m_gate;
    ownership& m_ownership;
    announcement_service& m_announcements;
    bool m_isRead = false;
    std::optional<mesh_member> m_published;
    bool m_isPublishing = false;
    time_point m_announcesAt {}; ///< From then on the row is written without a heartbeat.
    timer m_publishRetry;
};

} // namespace heatherdrift
