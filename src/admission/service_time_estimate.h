#pragma once

#include "admission/ageing_quantiles.h"
#include "admission/recent_map.h"
#include "admission/work_kind.h"
#include "configuration/configuration.h"

#include <array>

namespace heatherdrift {

/// What is assumed about a class of which nothing was observed yet.
struct service_time_defaults {
    service_quantiles shortCalls { std::chrono::milliseconds(3), std::chrono::milliseconds(2),
        std::chrono::milliseconds(6), std::chrono::milliseconds(10) };
    service_quantiles longCalls { std::chrono::seconds(1), std::chrono::milliseconds(800), std::chrono::seconds(2),
        std::chrono::seconds(3) };
    std::size_t mostKinds = 256; ///< Kinds remembered; the least recently observed one is forgotten.

    bool operator==(const service_time_defaults&) const = default;
};

/// Estimates service times by kind of work, by class while the kind is unknown, by default while the class is.
class service_time_estimate {
public:
    explicit service_time_estimate(const service_time_defaults& = {});

    /// A call ended after this service time.
    void observe(const work_kind&, call_length, duration, time_point now);
    /// A call was cancelled after this service time, so that it would have taken longer. Counts only above the mean:
    /// otherwise the estimate would stay too low when no call finishes any more.
    void observeCancelled(const work_kind&, call_length, duration, time_point now);
    service_quantiles estimate(const work_kind&, call_length, time_point now) const;

private:
    service_time_defaults m_defaults;
    recent_map<work_kind, ageing_quantiles> m_kinds;
    std::array<ageing_quantiles, 2> m_classes;
};

} // namespace heatherdrift
