#include "admission/seconds.h"

#include <algorithm>

namespace heatherdrift {

duration fromSeconds(double value)
{
    // The bound keeps a quotient by nearly zero from overflowing the conversion and sums with a time point.
    constexpr double year = 365.0 * 24 * 3600;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::clamp(value, -year, year)));
}

} // namespace heatherdrift
