#pragma once

#include "base/identifiers.h"
#include "mesh/internal/mesh_directory.h"
#include "ranges/range_planner.h"

namespace heatherdrift {

/// A backend server of this node's service that keys can be assigned to.
struct owner_candidate {
    instance_id node;
    range_candidate range;
    bool hasRecentLoad = false;
};

/// The reachable backend servers of this node's service that keys may be assigned to, in the order of their nodes.
/// Those of evacuated zones are left out, unless no zone remains. The demand is that for the keys of this node's
/// server.
std::vector<owner_candidate> ownerCandidates(
    const mesh_directory&, const mesh_settings&, double ownDemand, time_point now);

} // namespace heatherdrift
