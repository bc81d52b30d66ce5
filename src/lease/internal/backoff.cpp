#include "lease/backoff.h"

#include <algorithm>

namespace heatherdrift {

backoff::backoff(const lease_settings& settings, std::uint64_t seed)
    : m_first(settings.retryFirst)
    , m_most(settings.retryMost)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

duration backoff::next()
{
    constexpr unsigned mostDoublings = 16;
    const auto pause = std::min(m_first * (1 << std::min(m_attempts, mostDoublings)), m_most);
    ++m_attempts;
    const auto half = pause / 2;
    return half + duration(std::uniform_int_distribution<duration::rep>(0, half.count())(m_random));
}

} // namespace heatherdrift
