#pragma once

#include "base/clock.h"

namespace heatherdrift {

/// Sum of values with exponential decay. The result does not depend on the order in which values are added.
class decaying_sum {
public:
    explicit decaying_sum(duration timeConstant);

    void add(double value, time_point now);
    double value(time_point now) const;
    /// Added value per second; accurate once values have been added for a few time constants.
    double rate(time_point now) const;

private:
    double decay(duration age) const;

    duration m_timeConstant;
    double m_value = 0;
    time_point m_at {};
};

/// Average of values weighted with exponential decay.
class decaying_average {
public:
    explicit decaying_average(duration timeConstant);

    void add(double value, time_point now);
    /// The average including the prior value at weight 1, so that it returns to the prior value when no values are
    /// added.
    double value(double prior, time_point now) const;
    /// Sum of the weights of the values.
    double weight(time_point now) const;

private:
    decaying_sum m_sum;
    decaying_sum m_weight;
};

} // namespace heatherdrift
