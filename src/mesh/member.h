#pragma once

#include "base/failure.h"
#include "base/identifiers.h"
#include "ranges/range_map.h"

#include <optional>
#include <string>

namespace heatherdrift {

constexpr int maxSlots = 1 << 20;

/// A node and its backend server, as stored in the member table.
struct mesh_member {
    instance_id node;
    std::string zone;
    endpoint address; ///< Listener for requests from other nodes.
    std::string service;
    /// Life of the backend server; empty before its first announcement. Later lives have later starts in their names.
    life_name life;
    std::string backendId;
    int slots = 1;
    bool isDraining = false; ///< The backend server is shutting down and gets no new requests.
    /// Start that the backend server states, if its clock was stepped and the name has a later one.
    std::optional<std::int64_t> statedStart {};

    bool operator==(const mesh_member&) const = default;
};

std::string toJson(const mesh_member&);
result<mesh_member> parseMember(std::string_view);

} // namespace heatherdrift
