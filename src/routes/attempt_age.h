#pragma once

#include "base/clock.h"

#include <string>
#include <unordered_map>

namespace heatherdrift {

/// Estimates how long callers have been waiting when they come back after a refusal.
///
/// Pattern "refused callers come back": each attempt carries the time that its caller still has, and callers of a route
/// have about the same patience, so that an attempt with less than the others is a repetition. Its objective counts
/// from the first attempt. Without this, repetitions take the slots of callers that can still be served in time, and
/// under a long overload every answer comes late.
class attempt_age {
public:
    /// Time since the first attempt of a caller of the route that will wait for the given time from now on.
    duration estimate(const std::string& route, duration patience);

private:
    std::unordered_map<std::string, duration> m_longest; ///< Patience of first attempts, by route.
};

} // namespace heatherdrift
