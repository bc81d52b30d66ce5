#pragma once

#include "assignment/partition_map.h"
#include "configuration/configuration.h"

#include <map>
#include <memory>
#include <string>

namespace heatherdrift {

/// Routing data of one member.
struct member_route {
    instance_ref self;
    endpoint forward;
    std::string pool; ///< Empty if its labels match no pool.
    std::string region;
    std::string availabilityZone;
    bool isServing = false; ///< Active, with a backend server.

    bool operator==(const member_route&) const = default;
};

/// Routing state of this node at one point in time. Immutable; a new one is posted to the request task after each
/// change.
struct routing_snapshot {
    std::uint64_t sequence = 0; ///< Increases with each snapshot of this process.
    instance_ref self;
    configuration_ptr configuration;
    partition_map partitions;
    std::map<instance_id, member_route> members;
};

using routing_snapshot_ptr = std::shared_ptr<const routing_snapshot>;

} // namespace heatherdrift
