#pragma once

#include "ranges/key_load.h"
#include "ranges/range_map.h"

#include <map>

namespace heatherdrift {

/// A backend server that can own keys.
struct range_candidate {
    life_name life;
    double load = 0; ///< Demand for its keys relative to its slots; above 1, requests wait.

    bool operator==(const range_candidate&) const = default;
};

/// Assigns keys without an owner, and those of owners that are not candidates, to the candidates in proportion to their
/// spare capacity. Previous owners are kept as releasing. Without candidates the map is unchanged.
range_map assignUnowned(
    const range_map&, const std::vector<range_candidate>&, fencing_token, std::int64_t silenceMs = 0);

/// Assigns all keys of a leaving owner to the other candidates.
range_map assignFrom(const range_map&, const life_name& leaving, const std::vector<range_candidate>&, fencing_token);

/// Limits for moving keys away from overloaded owners.
struct rebalance_settings {
    double minLoad = 0.75; ///< Lowest load of a donor; below it, requests rarely wait for a slot.
    double minLoadGap = 0.3; ///< Between donor and receiver; below it, a move costs more than it gains.
    int maxMovesPerDonor = 8; ///< Moved ranges per plan; the loads are only as recent as the last reports.
    /// Donors per plan, the most loaded first. Each donor has to record its release in the map, and too many such
    /// changes would delay those of other owners.
    std::size_t maxDonors = 6;

    bool operator==(const rebalance_settings&) const = default;
};

/// Demand for the keys of an owner, with its distribution over the keys if that is available.
struct owner_demand {
    range_candidate owner;
    const key_load* keys = nullptr; ///< Null: none of its keys can be moved, but it can receive some.
};

/// Moves keys from overloaded owners to those with spare capacity, in a single change of the map: with many overloaded
/// owners, a change by each of them would conflict with the others. Moves as few keys as possible to balance the load,
/// one donor after the other, each based on the loads after the moves before it. Returns the map unchanged if there is
/// nothing to move.
range_map balanceLoad(
    const range_map&, std::vector<owner_demand>, const rebalance_settings&, fencing_token, time_point now);

} // namespace heatherdrift
