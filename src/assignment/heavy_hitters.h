#pragma once

#include "base/clock.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdrift {

/// A key with its recent load. The true load lies between load - error and load.
struct heavy_hitter {
    std::string key;
    double load = 0;
    double error = 0;

    double proven() const { return load - error; }
    bool operator==(const heavy_hitter&) const = default;
};

/// Finds the keys with the highest recent load in a stream of requests, with a fixed number of counters. Every key with
/// more than 1/counters of the recent load is found. Loads are means, weighted so that half of the weight lies on the
/// last half-life: weight per second, with weight 1 per request the requests/s.
class heavy_hitters {
public:
    heavy_hitters(std::size_t counters, duration halfLife);
    ~heavy_hitters();
    heavy_hitters(heavy_hitters&&) noexcept;
    heavy_hitters& operator=(heavy_hitters&&) noexcept;

    /// Keys longer than maximumHotKeyBytes are ignored, since they cannot have a hot partition.
    void add(std::string_view key, double weight, time_point now);
    /// At most `count` keys, those with the highest load first.
    std::vector<heavy_hitter> top(std::size_t count, time_point now) const;

private:
    struct counters;

    double growth(time_point now) const;
    void rescale(time_point now);

    std::size_t m_size;
    double m_halfLife; ///< In seconds.
    time_point m_landmark;
    std::unique_ptr<counters> m_counters;
};

} // namespace heatherdrift
