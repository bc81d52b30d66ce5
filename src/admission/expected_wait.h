#pragma once

#include "base/clock.h"

#include <cstddef>

namespace heatherdrift {

/// What the wait of a call that arrives now depends on.
struct wait_factors {
    std::size_t ahead = 0; ///< Waiting calls that run before it.
    double slots = 1; ///< Slots that its class can use.
    double demandAbove = 0; ///< Slots kept busy by higher priorities of the same class, which will overtake it.
    duration serviceTime {}; ///< Mean of the class.
};

/// Expected wait of a call that finds no free slot.
duration expectedWait(const wait_factors&);

} // namespace heatherdrift
