#pragma once

#include "control/control_node.h"
#include "http/http_server.h"
#include "telemetry/metrics.h"

namespace heatherdrift {

/// The administration API of one node; docs/administration.md describes it.
class admin_service {
public:
    admin_service(control_node&, const metrics_registry&);

    /// Handler of the admin listener.
    void handle(http_exchange_ptr);

private:
    void answerGet(const http_exchange_ptr&);
    void answerStatus(const http_exchange_ptr&);
    void answerMembers(const http_exchange_ptr&);
    void answerOwner(const http_exchange_ptr&);
    void answerPartitions(const http_exchange_ptr&);
    void answerConfiguration(const http_exchange_ptr&);
    void applyConfiguration(const http_exchange_ptr&);
    void announce(const http_exchange_ptr&);
    void declareLost(const http_exchange_ptr&, const instance_id&);

    control_node& m_node;
    const metrics_registry& m_metrics;
};

} // namespace heatherdrift
