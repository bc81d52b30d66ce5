#pragma once

#include "base/delayed_calls.h"
#include "control/control_node.h"
#include "http/http_server.h"
#include "telemetry/metrics.h"

namespace heatherdrift {

/// Largest body of a request: a configuration as indented JSON.
constexpr std::size_t administrationBodyBytes = 512 * 1024;

/// A change of the configuration is answered within this time, if need be with an unknown outcome. It covers two calls
/// to the table service of 2 s each.
constexpr duration configurationAnswerTime = std::chrono::seconds(5);

/// The administration API of one node; docs/administration.md describes it.
class admin_service {
public:
    /// The node and the metrics must outlive this object.
    admin_service(control_node&, const metrics_registry&, delay_function after);

    /// Handler of the admin listener.
    void handle(http_exchange_ptr);

private:
    struct resource;
    static const std::vector<resource>& resources();

    void handleInstance(const http_exchange_ptr&, std::string_view path);
    void answerMetrics(const http_exchange_ptr&);
    void answerStatus(const http_exchange_ptr&);
    void answerMembers(const http_exchange_ptr&);
    void answerOwner(const http_exchange_ptr&);
    void answerPartitions(const http_exchange_ptr&);
    void answerHotKeys(const http_exchange_ptr&);
    void answerEvents(const http_exchange_ptr&);
    void answerConfiguration(const http_exchange_ptr&);
    void putConfiguration(const http_exchange_ptr&);
    void announce(const http_exchange_ptr&);
    void drainNode(const http_exchange_ptr&);
    void declareLost(const http_exchange_ptr&, const instance_id&);
    void setDrainLabel(const http_exchange_ptr&, const instance_id&, bool isDrained);
    void apply(const http_exchange_ptr&, configuration next, std::int64_t baseVersion);

    control_node& m_node;
    const metrics_registry& m_metrics;
    delay_function m_after;
};

} // namespace heatherdrift
