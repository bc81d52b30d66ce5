#pragma once

#include "base/clock.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <optional>

namespace heatherdrift {

/// Distribution of a service time.
struct service_quantiles {
    duration mean {};
    duration p50 {};
    duration p90 {};
    duration p99 {};

    bool operator==(const service_quantiles&) const = default;
};

/// Quantiles over the current and the previous window, in constant memory. A window ends after 1024 values or 10 s.
class windowed_quantiles {
public:
    windowed_quantiles();

    void add(duration, time_point now);
    /// Empty with fewer than 16 values in the two windows, or if the newest value is more than 10 minutes old.
    std::optional<service_quantiles> quantiles(time_point now) const;

private:
    using accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::extended_p_square, boost::accumulators::tag::mean>>;

    static accumulator makeAccumulator();
    static service_quantiles quantilesOf(const accumulator&);

    accumulator m_current;
    accumulator m_previous;
    time_point m_windowStart {};
    time_point m_newest {};
};

} // namespace heatherdrift
