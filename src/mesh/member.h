#pragma once

#include "base/failure.h"
#include "base/identifiers.h"
#include "ranges/range_map.h"

#include <string>

namespace heatherdrift {

/// A node with its backend server, as its row in the store tells.
struct mesh_member {
    instance_id node;
    std::string zone;
    endpoint address; ///< Where the node takes requests from other nodes.
    std::string service;
    life_name life; ///< Of the backend server; empty before its first announcement.
    std::string backendId;
    int slots = 1;
    bool isDraining = false; ///< The backend server leaves; it gets no new work.

    bool operator==(const mesh_member&) const = default;
};

std::string toJson(const mesh_member&);
result<mesh_member> parseMember(std::string_view);

} // namespace heatherdrift
