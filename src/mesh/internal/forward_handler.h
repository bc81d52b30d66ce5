#pragma once

#include "http/http_server.h"
#include "mesh/internal/answer_sender.h"
#include "mesh/internal/gate_service.h"
#include "mesh/internal/mesh_metrics.h"

namespace heatherdrift {

/// Runs the requests that other nodes forward through the gate of this one and returns its answers.
class forward_handler {
public:
    forward_handler(gate_service&, answer_sender&, mesh_metrics&);

    void handle(const http_exchange_ptr&);
    /// Answer to a node that only wants to know whether this one responds, with the load of the gate.
    http_response pingAnswer() const;

private:
    void execute(const http_exchange_ptr&, routed_request);

    gate_service& m_gate;
    answer_sender& m_sender;
    mesh_metrics& m_metrics;
};

} // namespace heatherdrift
