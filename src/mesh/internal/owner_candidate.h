#pragma once

#include "base/identifiers.h"
#include "ranges/range_planner.h"

namespace heatherdrift {

/// A backend server of this node's service that keys can be assigned to.
struct owner_candidate {
    instance_id node;
    range_candidate range;
    bool hasRecentLoad = false;
};

} // namespace heatherdrift
