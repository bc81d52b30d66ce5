#pragma once

namespace heatherdrift {

/// Load that a backend server states about itself. It may be outdated or wrong.
struct server_load {
    int running = 0; ///< Requests at work.
    int waiting = 0; ///< Requests in the backend server's own queue.
    int slots = 0;
    double slowdown = 1; ///< How long work takes now, relative to the usual time.

    bool operator==(const server_load&) const = default;
};

} // namespace heatherdrift
