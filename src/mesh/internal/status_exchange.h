#pragma once

#include "base/identifiers.h"
#include "mesh/forward_protocol.h"

#include <string>
#include <vector>

namespace heatherdrift {

class mesh_directory;

/// Passes statuses of backend servers on between nodes, so that an entry node with few requests knows servers that it
/// has not called recently. At most 40 messages per second carry them, which costs 4 KB/s; with more requests than that
/// the nodes know the servers from their own calls.
class status_exchange {
public:
    status_exchange(mesh_directory&, instance_id self);

    /// Adds statuses of other backend servers to an answer of this node's gate, if the gate states its own. Returns
    /// their number.
    std::size_t addTo(gate_answer&, const std::string& service, time_point now);
    /// Statuses to send with the answer to a request for this service, which this node's gate has answered with the
    /// given status; empty if too many have been sent recently.
    std::vector<passed_status> take(const std::string& service, const server_status& own, time_point now);
    /// Records what another node has passed on. Returns the number of statuses that were newer than the known ones.
    std::size_t learn(const std::string& service, const std::vector<passed_status>&, time_point now);

private:
    bool mayPass(time_point now);

    mesh_directory& m_directory;
    instance_id m_self;
    double m_credit;
    time_point m_creditAt = time_point::min();
};

} // namespace heatherdrift
