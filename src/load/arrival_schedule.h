#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace heatherdrift {

/// From `at` on (since the start of the run), requests arrive at this rate.
struct rate_step {
    duration at {};
    double perSecond = 0;

    bool operator==(const rate_step&) const = default;
};

enum class arrival_kind {
    poisson, ///< Independent arrivals.
    regular, ///< Equal distances while the rate is the same.
};

/// Uniform numbers that are the same with every standard library for the same seed.
class seeded_random {
public:
    explicit seeded_random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// In [0, 1).
    double unit() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }
    /// In [0, bound).
    std::uint64_t below(std::uint64_t bound);

private:
    std::mt19937_64 m_engine;
};

/// Intended send times of one kind of request; does not depend on answers (open loop).
class arrival_schedule {
public:
    /// The steps are in order of time. No arrivals at or after `end`.
    arrival_schedule(arrival_kind, std::vector<rate_step>, duration end, std::uint64_t seed);

    /// Next arrival since the start of the run.
    std::optional<duration> next();

private:
    arrival_kind m_kind;
    std::vector<rate_step> m_steps;
    double m_end; ///< Seconds.
    seeded_random m_random;
    double m_now = 0; ///< Seconds.
    std::size_t m_step = 0;
};

} // namespace heatherdrift
