#include "admission/random_function.h"

#include <memory>
#include <random>

namespace heatherdrift {

random_function seededRandom(std::uint64_t seed)
{
    const auto generator = std::make_shared<std::mt19937_64>(seed);
    // The upper 53 bits fill the mantissa of a double exactly, so that the result is below 1.
    return [generator] { return static_cast<double>((*generator)() >> 11) * 0x1.0p-53; };
}

} // namespace heatherdrift
