#pragma once

#include "base/clock.h"

namespace heatherdrift {

/// Sum of values that lose weight exponentially with age. The order in which values are added does not matter.
class decaying_sum {
public:
    explicit decaying_sum(duration timeConstant);

    void add(double value, time_point now);
    double value(time_point now) const;
    /// Value per second, once it has been fed for a few time constants.
    double rate(time_point now) const;

private:
    double decay(duration age) const;

    duration m_timeConstant;
    double m_value = 0;
    time_point m_at {};
};

/// Average of values that lose weight exponentially with age.
class decaying_average {
public:
    explicit decaying_average(duration timeConstant);

    void add(double value, time_point now);
    /// The average with the prior value mixed in at weight 1, so that it returns to the prior value without new values.
    double value(double prior, time_point now) const;
    /// Number of values, each counted by its weight.
    double weight(time_point now) const;

private:
    decaying_sum m_sum;
    decaying_sum m_weight;
};

} // namespace heatherdrift
