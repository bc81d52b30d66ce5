#pragma once

#include "base/clock.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

namespace heatherdrift {

/// Levels of urgency for which waits are reported: priorities 0, 1, 2, and 3 or more.
constexpr std::size_t urgencyLevels = 4;

constexpr std::size_t urgencyLevel(int priority)
{
    return static_cast<std::size_t>(std::clamp(priority, 0, static_cast<int>(urgencyLevels) - 1));
}

/// State of a backend server that was started recently and tolerates only few requests until it is warm.
struct cold_status {
    duration remaining {}; ///< Expected time until it is warm.
    duration nextStartIn {}; ///< Time until the next request may be sent to it.
    double requestsPerSecond = 0;

    bool operator==(const cold_status&) const = default;
};

/// State of a backend server as the node beside it reports it to other nodes.
struct server_status {
    /// By urgency level: expected time until a request that arrives now gets a slot.
    std::array<duration, urgencyLevels> expectedWaits {};
    duration serviceTime {}; ///< Usual service time of requests; zero while none has been answered.
    double slowdown = 1; ///< How long work takes now, relative to the usual time.
    std::optional<cold_status> cold {}; ///< Empty if the backend server is warm.

    bool operator==(const server_status&) const = default;
};

} // namespace heatherdrift
