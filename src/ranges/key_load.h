#pragma once

#include "base/clock.h"
#include "ranges/range_map.h"

#include <map>

namespace heatherdrift {

/// Exponentially decaying load of single keys. Keys whose load falls below a threshold are evicted.
class key_load {
public:
    explicit key_load(duration timeConstant);

    void add(key_number, double amount, time_point now);
    double total(time_point now) const;
    double of(key_range, time_point now) const;
    /// Shortest range within the given one whose load is at least the amount; the given range if its load is lower.
    key_range densest(key_range within, double amount, time_point now) const;
    /// Loads of the keys with the highest load, at most maxCount of them, unordered.
    std::vector<std::pair<key_number, double>> heaviest(std::size_t maxCount, time_point now) const;
    std::size_t size() const { return m_loads.size(); }

private:
    void decay(time_point now);
    double decayFactor(time_point now) const;

    duration m_timeConstant;
    time_point m_decayedAt {};
    std::map<key_number, double> m_loads;
};

} // namespace heatherdrift
