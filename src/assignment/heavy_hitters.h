#pragma once

#include "base/clock.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdrift {

/// A key with its estimated recent load. The true load lies between load - error and load.
struct heavy_hitter {
    std::string key;
    double load = 0;
    double error = 0;

    double guaranteedLoad() const { return load - error; }
    bool operator==(const heavy_hitter&) const = default;
};

/// Finds the keys with the highest recent load in a stream of requests, with a fixed number of counters. Every key with
/// more than 1/counters of the recent load is found. A load is an exponentially decayed mean of the weight per second,
/// in which the last half-life has half of the influence; with weight 1 per request it is in requests/s.
class heavy_hitters {
public:
    heavy_hitters(std::size_t counters, duration halfLife);
    ~heavy_hitters();
    heavy_hitters(heavy_hitters&&) noexcept;
    heavy_hitters& operator=(heavy_hitters&&) noexcept;

    /// Empty keys and keys longer than maximumHotKeyBytes are ignored, since they cannot have a hot partition.
    void add(std::string_view key, double weight, time_point now);
    /// The `count` keys with the highest load, in descending order.
    std::vector<heavy_hitter> top(std::size_t count, time_point now) const;

private:
    struct counters;

    /// Half-lives since the landmark; new weights are multiplied by 2 to this power.
    double growthExponent(time_point now) const;
    void rescale(time_point now);

    std::size_t m_size;
    double m_halfLife; ///< In seconds.
    time_point m_landmark; ///< Reference time of the forward decay.
    std::unique_ptr<counters> m_counters;
};

} // namespace heatherdrift
