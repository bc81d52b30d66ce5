#pragma once

#include "lease/lease_settings.h"

#include <cstdint>
#include <random>

namespace heatherdrift {

/// Exponential backoff with jitter for the retries of one step.
class backoff {
public:
    backoff(const lease_settings&, std::uint64_t seed);

    /// A random delay between half of the current delay and all of it; the current delay doubles with each call, from
    /// initialRetryDelay up to maxRetryDelay.
    duration next();
    void reset() { m_attempts = 0; }

private:
    duration m_initialDelay;
    duration m_maxDelay;
    unsigned m_attempts = 0;
    std::minstd_rand m_random;
};

} // namespace heatherdrift
