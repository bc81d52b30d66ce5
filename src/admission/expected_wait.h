#pragma once

#include "base/clock.h"

#include <cstddef>

namespace heatherdrift {

/// Inputs of the expected wait of a call that arrives now.
struct wait_factors {
    std::size_t ahead = 0; ///< Waiting calls that will run before it.
    double slots = 1; ///< Slots available to its class.
    double demandAbove = 0; ///< Demand, in slots, of higher priorities of the same class, which run before it.
    duration serviceTime {}; ///< Mean service time of the class.
};

/// Expected wait of a call that finds no free slot.
duration expectedWait(const wait_factors&);

} // namespace heatherdrift
