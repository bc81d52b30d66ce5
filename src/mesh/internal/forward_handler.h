#pragma once

#include "http/http_server.h"
#include "mesh/internal/answer_sender.h"
#include "mesh/internal/gate_service.h"
#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/mesh_metrics.h"

namespace heatherdrift {

/// The parts of the node that forwarded requests depend on.
struct forward_context {
    const mesh_settings& settings;
    mesh_directory& directory;
    gate_service& gate;
    answer_sender& sender;
    mesh_metrics& metrics;
};

/// Runs the requests that other nodes forward through the gate of this one and returns its answers.
class forward_handler {
public:
    explicit forward_handler(const forward_context&);

    void handle(const http_exchange_ptr&);
    /// Answer to a node that only wants to know whether this one responds, with the load of the gate.
    http_response pingAnswer() const;

private:
    void execute(const http_exchange_ptr&, routed_request);

    forward_context m_context;
};

} // namespace heatherdrift
