#pragma once

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace heatherdrift {

using metric_labels = prometheus::Labels;

/// The metrics of one process, safe to use from every task. Metrics live as long as this object.
class metrics_registry {
public:
    metrics_registry();

    prometheus::Counter& counter(const std::string& name, const std::string& help, const metric_labels& = {});
    prometheus::Gauge& gauge(const std::string& name, const std::string& help, const metric_labels& = {});
    /// Buckets suit latencies in seconds from 0.1 ms to 60 s.
    prometheus::Histogram& latency(const std::string& name, const std::string& help, const metric_labels& = {});

    /// The text exposition format of Prometheus.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace heatherdrift
