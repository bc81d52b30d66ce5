#pragma once

#include <cstdint>
#include <functional>

namespace heatherdrift {

/// Source of uniform random numbers in [0, 1).
using random_function = std::function<double()>;

/// Repeats the same sequence for the same seed.
random_function seededRandom(std::uint64_t seed);

} // namespace heatherdrift
