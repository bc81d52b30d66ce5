#pragma once

#include "base/failure.h"
#include "settings/node_settings.h"

#include <memory>

namespace heatherdrift {

/// A running heatherdriftd: the control task on the calling thread, the request task on its own.
class node {
public:
    virtual ~node() = default;

    /// Checks what the settings module cannot: whether the lease times fit together. Fails with invalid_settings.
    static result<void> check(const node_settings&);

    /// Binds all listeners. Fails with invalid_settings; nothing is started then.
    static result<std::unique_ptr<node>> create(const node_settings&);

    /// Runs until the node has left: SIGTERM or SIGINT starts a drain, a second one ends the process at once.
    /// Unblocks both once their handlers are installed.
    virtual void run() = 0;
};

} // namespace heatherdrift
