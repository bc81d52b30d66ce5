#pragma once

#include "base/clock.h"

namespace heatherdrift {

inline double inSeconds(duration value) { return std::chrono::duration<double>(value).count(); }

/// Rounds towards zero; values beyond a year in either direction are cut to a year.
duration fromSeconds(double);

} // namespace heatherdrift
