#pragma once

#include "ranges/key_load.h"
#include "ranges/range_map.h"

#include <map>

namespace heatherdrift {

/// A backend server that can own keys.
struct range_candidate {
    life_name life;
    double load = 0; ///< Demand for its keys as a share of its slots; above 1 requests wait.

    bool operator==(const range_candidate&) const = default;
};

/// Gives keys without an owner, and those of owners that are not candidates, to the candidates: evenly at first, later
/// more to the less loaded ones. Owners that left are kept as releasing. No candidates: the map stays as it is.
range_map assignUnowned(
    const range_map&, const std::vector<range_candidate>&, fencing_token, std::int64_t silenceMs = 0);

/// Gives all keys of an owner that leaves to the other candidates.
range_map assignFrom(const range_map&, const life_name& leaving, const std::vector<range_candidate>&, fencing_token);

/// When an owner gives keys away because of its load.
struct shed_terms {
    double leastLoad = 0.75; ///< Load from which on it does; below it, requests rarely wait for a slot.
    double leastGap = 0.3; ///< Least difference to the load of the receiver; moves for less cost more than they gain.
    int mostMoves = 8; ///< Windows of keys of one owner at a time; their loads are as old as the last reports.
    /// Owners that give keys at a time, the busiest first. Each of them has to record its release in the map, and
    /// these changes must not keep the others waiting.
    std::size_t mostGivers = 6;

    bool operator==(const shed_terms&) const = default;
};

/// An owner's demand and, if it is known, how its keys share in it.
struct owner_demand {
    range_candidate owner;
    const key_load* keys = nullptr; ///< Null: none of its keys can be moved, but it can take some.
};

/// Pattern "many hot owners": moves keys from all overloaded owners to those with room, so that one change of the map
/// does what the owners, each for itself, would need many conflicting changes for. The fewest keys are moved that even
/// out the load; what one owner gives is counted before the next one's turn. The map itself if nothing is to be moved.
range_map balanceLoad(const range_map&, std::vector<owner_demand>, const shed_terms&, fencing_token, time_point now);

} // namespace heatherdrift
