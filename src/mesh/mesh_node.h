#pragma once

#include "mesh/platform_port.h"
#include "settings/mesh_settings.h"
#include "store/watched_store.h"

#include <event2/event.h>
#include <memory>

namespace heatherdrift {

/// The node beside one backend server: accepts requests from callers and from other nodes, and manages the ownership
/// of the backend server's keys.
class mesh_node {
public:
    virtual ~mesh_node() = default;

    /// Binds all addresses. Fails with `invalid_settings`.
    static result<std::unique_ptr<mesh_node>> create(
        event_base*, const mesh_settings&, platform_port, std::unique_ptr<watched_store>);

    /// Begins to follow the store and the other nodes; the event loop must run.
    virtual void start() = 0;
    /// Starts, then runs the event loop until stop() has completed.
    virtual void run() = 0;
    /// Settings in use, with the ports that were bound.
    virtual const mesh_settings& settings() const = 0;
    /// Applies changed timeouts and ratios; addresses and names change only at a restart.
    virtual void reload(const mesh_settings&) = 0;
    /// Accepts no new callers, completes the requests in progress, then makes run() return.
    virtual void stop() = 0;
};

} // namespace heatherdrift
