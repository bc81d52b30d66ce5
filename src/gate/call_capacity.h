#pragma once

#include "admission/server_status.h"
#include "base/clock.h"

#include <optional>
#include <vector>

namespace heatherdrift {

/// Status of a backend server as this node last received it.
struct reported_status {
    server_status status;
    duration age {};

    bool operator==(const reported_status&) const = default;
};

/// Capacity of a service for a call, from the reported statuses of its backend servers.
struct call_capacity {
    /// Mean wait of a call as a share of the wait that its deadline allows; above 1 if it is bound to be refused.
    double pressure = 0;
    duration shortestWait {};
    /// Every known backend server will refuse the call, even if it has worked off its queue since the report.
    bool isExhausted = false;

    bool operator==(const call_capacity&) const = default;
};

/// timeLeft: from the call to its deadline. Empty without any status that is recent enough.
std::optional<call_capacity> assessCapacity(const std::vector<reported_status>&, int priority, duration timeLeft);

} // namespace heatherdrift
