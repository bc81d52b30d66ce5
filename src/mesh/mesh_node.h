#pragma once

#include "mesh/platform_port.h"
#include "settings/mesh_settings.h"
#include "store/watched_store.h"

#include <event2/event.h>
#include <memory>

namespace heatherdrift {

/// A node beside a backend server: takes requests of callers and of other nodes, and keeps the backend server's keys.
class mesh_node {
public:
    virtual ~mesh_node() = default;

    /// Binds all addresses. Fails with `invalid_settings`.
    static result<std::unique_ptr<mesh_node>> create(
        event_base*, const mesh_settings&, platform_port, std::unique_ptr<watched_store>);

    /// Runs until a stop has finished.
    virtual void run() = 0;
    /// Applies changed times and shares; addresses and names stay until a restart.
    virtual void reload(const mesh_settings&) = 0;
    /// Takes no new callers, finishes what is in progress, then ends run().
    virtual void stop() = 0;
};

} // namespace heatherdrift
