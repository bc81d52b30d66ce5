#pragma once

#include "base/clock.h"
#include "ranges/range_map.h"

#include <map>

namespace heatherdrift {

/// Load of single keys, which fades with age. Keys that fall below a bound are forgotten.
class key_load {
public:
    explicit key_load(duration timeConstant);

    void add(key_number, double amount, time_point now);
    double total(time_point now) const;
    double of(key_range, time_point now) const;
    /// Shortest range inside the given one whose load is at least the amount; the range itself if it has less.
    key_range densest(key_range within, double amount, time_point now) const;
    /// Loads of the keys with the most load, at most so many, in no order.
    std::vector<std::pair<key_number, double>> heaviest(std::size_t most, time_point now) const;
    std::size_t size() const { return m_loads.size(); }

private:
    void fade(time_point now);
    double fadeFactor(time_point now) const;

    duration m_timeConstant;
    time_point m_fadedAt {};
    std::map<key_number, double> m_loads;
};

} // namespace heatherdrift
