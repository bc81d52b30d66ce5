#pragma once

#include "base/identifiers.h"
#include "ranges/range_planner.h"

namespace heatherdrift {

/// A backend server of this node's service, for the assignment of keys.
struct owner_candidate {
    instance_id node;
    range_candidate range;
    bool hasRecentLoad = false;
};

} // namespace heatherdrift
