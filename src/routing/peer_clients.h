#pragma once

#include "http/http_client.h"
#include "routing/routing_snapshot.h"

#include <map>
#include <memory>

namespace heatherdrift {

/// Connections to the forward listeners of other nodes, opened on first use.
class peer_clients {
public:
    peer_clients(event_base*, int maximumConnectionsPerPeer);

    /// Null if the snapshot does not contain the member. The client is valid until the next call of closeExcept().
    http_client* find(const routing_snapshot&, const instance_ref&);

    /// Closes the connections to processes that are no longer members. Must not be called from a call's handler.
    void closeExcept(const routing_snapshot&);

private:
    event_base* m_base;
    int m_maximumConnections;
    std::map<instance_ref, std::unique_ptr<http_client>> m_clients;
};

} // namespace heatherdrift
