#pragma once

#include "base/clock.h"
#include "base/failure.h"
#include "control/peer_transport.h"

#include <event2/event.h>
#include <memory>

namespace heatherdrift {

struct transport_limits {
    std::size_t outputBytes = 8 << 20; ///< Output buffer per connection; a connection that exceeds it is closed.
    int connections = 4096;
    duration idle = std::chrono::seconds(60); ///< A connection without messages for this time is closed.
    duration initialReconnectDelay = std::chrono::milliseconds(100);
    duration maxReconnectDelay = std::chrono::seconds(2);
    /// Sent in the hello; a peer with another value is rejected. Holder and witness each compute the lease end from
    /// their own settings, so nodes with different lease times must not exchange grants.
    std::int64_t agreement = 0;
};

struct transport_counts {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t rejected = 0; ///< Connections closed because of a message that could not be decoded.
};

/// Sends control messages as frames over TCP. The two nodes of a pair share one connection where possible.
class tcp_peer_transport : public peer_transport {
public:
    /// Listens immediately, but sends and accepts messages only after identify(). Fails with invalid_settings.
    static result<std::unique_ptr<tcp_peer_transport>> listen(event_base*, const endpoint&, const transport_limits&);

    /// Sets the identity of the sending process and closes all open connections.
    virtual void identify(const instance_ref& self) = 0;
    virtual endpoint address() const = 0;
    virtual const transport_counts& counts() const = 0;
};

} // namespace heatherdrift
