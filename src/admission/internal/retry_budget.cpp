#include "admission/retry_budget.h"

#include "admission/seconds.h"

#include <algorithm>

namespace heatherdrift {

retry_budget::retry_budget(time_point now, const retry_budget_settings& settings)
    : m_settings(settings)
    , m_tokens(std::min(settings.floorPerSecond, settings.maxBalance))
    , m_filledAt(now)
{
}

void retry_budget::recordFirstAttempt(time_point now) { refill(now, m_settings.share); }

bool retry_budget::tryRetry(time_point now)
{
    refill(now, 0);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

double retry_budget::balance(time_point now) const
{
    const double sinceFilled = std::max(0.0, inSeconds(now - m_filledAt));
    return std::min(m_settings.maxBalance, m_tokens + sinceFilled * m_settings.floorPerSecond);
}

void retry_budget::refill(time_point now, double tokens)
{
    m_tokens = std::min(m_settings.maxBalance, balance(now) + tokens);
    m_filledAt = std::max(m_filledAt, now);
}

} // namespace heatherdrift
