#pragma once

#include "base/clock.h"

namespace heatherdrift {

/// Settings of retry_budget; see docs/admission.md.
struct retry_budget_settings {
    double share = 0.1; ///< Retries allowed per first attempt.
    double floorPerSecond = 1; ///< Retries allowed per second independently of first attempts.
    double maxBalance = 100; ///< Capacity of the token bucket, in retries.

    bool operator==(const retry_budget_settings&) const = default;
};

/// Token bucket that bounds retries to a share of the first attempts, so that retries cannot multiply an overload.
class retry_budget {
public:
    explicit retry_budget(time_point now, const retry_budget_settings& = {});

    void recordFirstAttempt(time_point now);
    /// Takes one token; returns false if the budget is exhausted.
    bool tryRetry(time_point now);
    /// Retries allowed now.
    double balance(time_point now) const;

private:
    void refill(time_point now, double tokens);

    retry_budget_settings m_settings;
    double m_tokens;
    time_point m_filledAt;
};

} // namespace heatherdrift
