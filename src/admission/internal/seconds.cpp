#include "admission/seconds.h"

#include <algorithm>

namespace heatherdrift {

duration fromSeconds(double value)
{
    // A quotient by nearly zero would overflow the conversion or a later sum with a time point.
    constexpr double year = 365.0 * 24 * 3600;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::clamp(value, -year, year)));
}

} // namespace heatherdrift
