#pragma once

#include "base/event_handle.h"
#include "mesh/internal/mesh_directory.h"

#include <set>

namespace heatherdrift {

struct peer_watch_hooks {
    /// Another node answers at the node's address, so that its instance is gone.
    std::function<void(const instance_id&)> onReplaced;
    /// The node has not answered for a long time.
    std::function<void(const instance_id&)> onLost;
    /// Whether the loads of the service's other nodes matter now.
    std::function<bool()> needsLoads;
    /// What a node told of the store's tables, in answer to a request that was sent at this time.
    std::function<void(const instance_id&, const known_tables&, time_point askedAt)> noticeTables;
};

/// Asks other nodes whether they are there: those of the own service regularly, so that the keys of a lost one are
/// noticed without requests, and unreachable ones when a request would need them.
class peer_watch {
public:
    peer_watch(event_base*, const mesh_settings&, mesh_directory&, peer_watch_hooks);

    void start();
    /// Asks an unreachable node, unless it was asked shortly before.
    void probe(const instance_id&);

    static constexpr const char* target = "/heatherdrift/ping";

private:
    void tick();
    bool isWatcher(time_point now) const;
    void ping(const instance_id&);

    const mesh_settings& m_settings;
    mesh_directory& m_directory;
    peer_watch_hooks m_hooks;
    std::set<instance_id> m_asked; ///< Nodes whose answer is awaited.
    std::map<instance_id, time_point> m_mayProbeAt;
    timer m_tick;
};

} // namespace heatherdrift
