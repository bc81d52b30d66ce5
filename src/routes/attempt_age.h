#pragma once

#include "base/clock.h"

#include <string>
#include <unordered_map>

namespace heatherdrift {

/// Estimates how long the caller of a request has been waiting since its first attempt.
///
/// Each attempt carries the remaining time of its caller. Callers of a route have similar timeouts, so an attempt with
/// less remaining time than others is a retry after a refusal. Its latency objective counts from the first attempt.
/// Otherwise, retries would take the slots of requests that can still be served in time, and during a long overload all
/// answers would be late.
class attempt_age {
public:
    /// Returns the estimated time since the first attempt of a request to the route with the given remaining time.
    duration estimate(const std::string& route, duration remaining);

private:
    std::unordered_map<std::string, duration> m_initialTimeouts; ///< Estimated timeouts of first attempts, by route.
};

} // namespace heatherdrift
