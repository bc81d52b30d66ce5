#pragma once

#include "base/clock.h"

namespace heatherdrift::retry_time {

inline constexpr auto interval = std::chrono::milliseconds(60); ///< While an owner's node restarts or keys move.
inline constexpr auto minTimeLeft = std::chrono::milliseconds(20); ///< For another attempt and its answer.

/// Whether an attempt at this time can be answered before the deadline.
constexpr bool isInTime(time_point at, time_point deadline) { return at + minTimeLeft < deadline; }

} // namespace heatherdrift::retry_time
