#pragma once

#include "base/clock.h"

namespace heatherdrift {

/// What an entry node knows about a backend server.
struct server_outlook {
    duration wait {}; ///< Expected time until it starts a request that is sent now.
    duration service {}; ///< Expected service time.
    bool isInService = true; ///< Neither ejected nor reported as broken.
    bool isCold = false; ///< Or may be cold, since nothing recent is known.

    bool operator==(const server_outlook&) const = default;
};

} // namespace heatherdrift
