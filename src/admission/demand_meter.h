#pragma once

#include "admission/admission_level.h"

#include <array>

namespace heatherdrift {

/// Measures the work that arrives at each level, in slots: 3.0 is enough work to keep three slots busy.
class demand_meter {
public:
    /// Work decays with this time constant.
    explicit demand_meter(duration timeConstant);

    void add(admission_level, duration work, time_point now);
    /// Demand of all priorities of a class.
    double demand(call_length, time_point now) const;
    /// Demand of the higher priorities of the same class.
    double demandAbove(admission_level, time_point now) const;

private:
    double sum(std::size_t first, std::size_t end, time_point now) const;
    double decay(time_point now) const;

    duration m_timeConstant;
    std::array<double, levelCount> m_work {};
    time_point m_at {};
};

} // namespace heatherdrift
