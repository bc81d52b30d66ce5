#include "telemetry/metrics.h"

#include <prometheus/text_serializer.h>

namespace heatherdrift {

namespace {

    prometheus::Histogram::BucketBoundaries latencyBuckets()
    {
        return { 0.0001, 0.00025, 0.0005, 0.001, 0.002, 0.003, 0.005, 0.008, 0.011, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5,
            5, 10, 30, 60 };
    }

} // namespace

metrics_registry::metrics_registry()
    : m_registry(std::make_shared<prometheus::Registry>())
{
}

prometheus::Counter& metrics_registry::counter(
    const std::string& name, const std::string& help, const metric_labels& labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry).Add(labels);
}

prometheus::Gauge& metrics_registry::gauge(
    const std::string& name, const std::string& help, const metric_labels& labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add(labels);
}

prometheus::Histogram& metrics_registry::latency(
    const std::string& name, const std::string& help, const metric_labels& labels)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(*m_registry).Add(labels, latencyBuckets());
}

std::string metrics_registry::text() const { return prometheus::TextSerializer().Serialize(m_registry->Collect()); }

} // namespace heatherdrift
