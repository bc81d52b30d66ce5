#pragma once

#include "lease/lease_settings.h"

#include <cstdint>
#include <random>

namespace heatherdrift {

/// Jittered exponential pauses between repetitions of a step.
class backoff {
public:
    backoff(const lease_settings&, std::uint64_t seed);

    /// From half of the pause to all of it; the pause doubles from retryFirst to retryMost.
    duration next();
    void reset() { m_attempts = 0; }

private:
    duration m_first;
    duration m_most;
    unsigned m_attempts = 0;
    std::minstd_rand m_random;
};

} // namespace heatherdrift
