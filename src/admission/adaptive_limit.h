#pragma once

#include "admission/windowed_quantiles.h"

#include <optional>

namespace heatherdrift {

/// Settings of adaptive_limit; see docs/admission.md.
struct adaptive_limit_settings {
    int minLimit = 2; ///< The limit never falls below this number of slots.
    duration interval = std::chrono::seconds(1); ///< Time between changes.
    int minCalls = 16; ///< An interval is extended until it has this many calls, unless the server shed one.
    double tolerance = 2; ///< A median latency above the baseline by this factor counts as overload.
    double decrease = 0.8; ///< Lower bound of the factor that one decrease applies to the limit.
    double increase = 0.5; ///< Slots added after an interval without overload.

    bool operator==(const adaptive_limit_settings&) const = default;
};

/// Lowers the concurrency limit while the backend server sheds calls or slows down, and raises it slowly again up to
/// the configured slots. Only short calls may be observed: the latency of long calls depends on their size.
class adaptive_limit {
public:
    explicit adaptive_limit(int slots, const adaptive_limit_settings& = {});

    /// A short call ended after this service time.
    void observe(duration latency, time_point now);
    /// The backend server refused a call because of its load.
    void observeShed(time_point now);
    void setSlots(int slots);
    /// Current concurrency limit, from 1 to the configured number of slots.
    int limit() const;

private:
    void startInterval(time_point now);
    void evaluate(time_point now);
    double factorFor(duration median);

    adaptive_limit_settings m_settings;
    int m_slots;
    double m_limit;
    std::optional<duration> m_baseline;
    boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>
        m_latencies;
    time_point m_intervalEnd = time_point::min();
    bool m_shed = false;
};

} // namespace heatherdrift
