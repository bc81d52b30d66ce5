#pragma once

#include "admission/lru_map.h"
#include "admission/windowed_quantiles.h"
#include "admission/work_kind.h"
#include "configuration/configuration.h"

#include <array>

namespace heatherdrift {

/// Service times assumed for a class without observations.
struct service_time_defaults {
    service_quantiles shortCalls { std::chrono::milliseconds(3), std::chrono::milliseconds(2),
        std::chrono::milliseconds(6), std::chrono::milliseconds(10) };
    service_quantiles longCalls { std::chrono::seconds(1), std::chrono::milliseconds(800), std::chrono::seconds(2),
        std::chrono::seconds(3) };
    std::size_t maxKinds = 256; ///< Maximum number of kinds kept; the least recently observed one is evicted.

    bool operator==(const service_time_defaults&) const = default;
};

/// Estimates service times by kind of work; falls back to the class while the kind has too few observations, and to the
/// defaults while the class has too few.
class service_time_estimate {
public:
    explicit service_time_estimate(const service_time_defaults& = {});

    /// A call ended after this service time.
    void observe(const work_kind&, call_length, duration, time_point now);
    /// A call was cancelled after this service time, which is a lower bound of its duration. Counted only above the
    /// mean; without such calls the estimate would stay too low when every call is cancelled before it finishes.
    void observeCancelled(const work_kind&, call_length, duration, time_point now);
    service_quantiles estimate(const work_kind&, call_length, time_point now) const;

private:
    service_time_defaults m_defaults;
    lru_map<work_kind, windowed_quantiles> m_kinds;
    std::array<windowed_quantiles, 2> m_classes;
};

} // namespace heatherdrift
