#pragma once

#include "control/control_node.h"
#include "control/tcp_peer_transport.h"
#include "telemetry/metrics.h"

namespace heatherdrift {

/// Metrics of the control task, brought up to date once a second on that task.
class node_metrics {
public:
    explicit node_metrics(metrics_registry&);

    void update(const control_node&, const transport_counts&);

private:
    void setOwned(const routing_snapshot&);
    void setMembers(const control_node&);

    metrics_registry& m_registry;
    prometheus::Gauge& m_hasLease;
    prometheus::Gauge& m_leaseRemaining;
    prometheus::Gauge& m_witnesses;
    prometheus::Gauge& m_configurationVersion;
    prometheus::Gauge& m_moves;
    prometheus::Gauge& m_takeovers;
    prometheus::Gauge& m_unresolvedWrites;
    prometheus::Gauge& m_storeAvailable;
    prometheus::Gauge& m_replicaBytes;
    prometheus::Gauge& m_bytesSent;
    prometheus::Gauge& m_bytesReceived;
    prometheus::Gauge& m_messagesSent;
    prometheus::Gauge& m_messagesReceived;
    prometheus::Gauge& m_rejected;
    prometheus::Gauge& m_processorSeconds;
};

} // namespace heatherdrift
