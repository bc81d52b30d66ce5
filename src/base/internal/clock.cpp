#include "base/clock.h"

#include <ctime>

namespace heatherdrift {

boot_clock::time_point boot_clock::now()
{
    timespec value {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec)
        + std::chrono::duration_cast<duration>(std::chrono::nanoseconds(value.tv_nsec)));
}

std::string millisecondsText(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace heatherdrift
