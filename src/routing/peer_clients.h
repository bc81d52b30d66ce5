#pragma once

#include "http/http_client.h"
#include "routing/routing_snapshot.h"

#include <map>
#include <memory>

namespace heatherdrift {

/// Connections to the forward listeners of other nodes, made when first needed.
class peer_clients {
public:
    peer_clients(event_base*, int maximumConnectionsPerPeer);

    /// Null if the member is not known. The client is valid until the next call of forgetExcept().
    http_client* find(const routing_snapshot&, const instance_ref&);

    /// Drops the connections to processes that are no longer members. Not to be called from within a handler of a call.
    void forgetExcept(const routing_snapshot&);

private:
    event_base* m_base;
    int m_maximumConnections;
    std::map<instance_ref, std::unique_ptr<http_client>> m_clients;
};

} // namespace heatherdrift
