#include "lease/backoff.h"

#include <algorithm>

namespace heatherdrift {

backoff::backoff(const lease_settings& settings, std::uint64_t seed)
    : m_initialDelay(settings.initialRetryDelay)
    , m_maxDelay(settings.maxRetryDelay)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

duration backoff::next()
{
    constexpr unsigned maxDoublings = 16;
    const auto delay = std::min(m_initialDelay * (1 << std::min(m_attempts, maxDoublings)), m_maxDelay);
    ++m_attempts;
    const auto half = delay / 2;
    return half + duration(std::uniform_int_distribution<duration::rep>(0, half.count())(m_random));
}

} // namespace heatherdrift
