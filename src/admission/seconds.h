#pragma once

#include "base/clock.h"

namespace heatherdrift {

inline double inSeconds(duration value) { return std::chrono::duration<double>(value).count(); }

/// Rounds towards zero; clamps to one year in either direction.
duration fromSeconds(double);

} // namespace heatherdrift
