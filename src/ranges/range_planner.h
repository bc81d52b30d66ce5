#pragma once

#include "ranges/key_load.h"
#include "ranges/range_map.h"

#include <map>

namespace heatherdrift {

/// A backend server that can own keys.
struct range_candidate {
    life_name life;
    double load = 0; ///< Share of its slots in use or waited for; above 1 requests wait.

    bool operator==(const range_candidate&) const = default;
};

/// Gives keys without an owner, and those of owners that are not candidates, to the candidates: evenly at first, later
/// more to the less loaded ones. Owners that left are kept as releasing. No candidates: the map stays as it is.
range_map assignUnowned(const range_map&, const std::vector<range_candidate>&, fencing_token);

/// Gives all keys of an owner that leaves to the other candidates.
range_map assignFrom(
    const range_map&, const life_name& leaving, const std::vector<range_candidate>&, fencing_token);

/// When an owner gives keys away because of its load.
struct shed_terms {
    double leastLoad = 0.7; ///< Load from which on it does.
    double leastGap = 0.35; ///< Least difference to the load of the receiver.
    double hardGap = 0.2; ///< The same once requests wait.

    bool operator==(const shed_terms&) const = default;
};

/// Moves the fewest keys that even out the load between an overloaded owner and the least loaded candidate; the map
/// itself if nothing is to be moved. Loads per key and of the candidates are in the same unit.
range_map shedLoad(const range_map&, const range_candidate& self, const key_load&,
    const std::vector<range_candidate>& others, const shed_terms&, fencing_token, time_point now);

} // namespace heatherdrift
