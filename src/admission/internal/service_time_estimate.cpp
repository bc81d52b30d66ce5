#include "admission/service_time_estimate.h"

namespace heatherdrift {

service_time_estimate::service_time_estimate(const service_time_defaults& defaults)
    : m_defaults(defaults)
    , m_kinds(defaults.maxKinds)
{
}

void service_time_estimate::observe(const work_kind& kind, call_length length, duration used, time_point now)
{
    m_kinds.getOrInsert(kind).add(used, now);
    m_classes[static_cast<std::size_t>(length)].add(used, now);
}

void service_time_estimate::observeCancelled(const work_kind& kind, call_length length, duration used, time_point now)
{
    if (used > estimate(kind, length, now).mean)
        observe(kind, length, used, now);
}

service_quantiles service_time_estimate::estimate(const work_kind& kind, call_length length, time_point now) const
{
    if (const auto* found = m_kinds.find(kind)) {
        if (const auto quantiles = found->quantiles(now))
            return *quantiles;
    }
    const auto& defaults = length == call_length::long_call ? m_defaults.longCalls : m_defaults.shortCalls;
    return m_classes[static_cast<std::size_t>(length)].quantiles(now).value_or(defaults);
}

} // namespace heatherdrift
