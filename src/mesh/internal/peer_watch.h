#pragma once

#include "base/event_handle.h"
#include "mesh/internal/mesh_directory.h"

#include <set>

namespace heatherdrift {

struct peer_watch_hooks {
    /// Another node responded at the node's address, so that its instance is gone.
    std::function<void(const peer_question&)> onReplaced;
    /// The node has not responded for long enough to be removed from the member table.
    std::function<void(const instance_id&)> onLost;
    /// Whether this node currently needs the loads of the service's other nodes.
    std::function<bool()> needsLoads;
    /// A node reported the state of its store tables in response to a request sent at this time.
    std::function<void(const instance_id&, const table_statements&, time_point askedAt)> onTableStatements;
    /// The event loop ran its timer so much later than it was due.
    std::function<void(duration)> onLag {};
};

/// Health checks of other nodes. Nodes of the own service are pinged regularly, so that the loss of an owner is
/// detected without requests for its keys; unreachable nodes are probed when a request needs them.
class peer_watch {
public:
    peer_watch(event_base*, const mesh_settings&, mesh_directory&, peer_watch_hooks);

    void start();
    /// Pings a node, unless it was probed within the last interval.
    void probe(const instance_id&);

    static constexpr const char* target = "/heatherdrift/ping";

private:
    void tick();
    bool isWatcher(time_point now) const;
    void ping(const instance_id&);

    const mesh_settings& m_settings;
    mesh_directory& m_directory;
    peer_watch_hooks m_hooks;
    std::set<instance_id> m_pendingPings; ///< Nodes whose response is pending.
    std::map<instance_id, time_point> m_mayProbeAt;
    time_point m_tickDueAt = time_point::max();
    timer m_tick;
};

} // namespace heatherdrift
