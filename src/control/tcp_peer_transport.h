#pragma once

#include "base/clock.h"
#include "base/failure.h"
#include "control/peer_transport.h"

#include <event2/event.h>
#include <memory>

namespace heatherdrift {

struct transport_limits {
    std::size_t outputBytes = 8 << 20; ///< Per connection; above that it is closed.
    int connections = 4096;
    duration idle = std::chrono::seconds(60); ///< A connection without messages for so long is closed.
    duration firstReconnect = std::chrono::milliseconds(100);
    duration longestReconnect = std::chrono::seconds(2);
    /// Sent in the hello; a peer with another value is refused. Holder and witness count a lease by their own settings,
    /// so nodes whose lease times differ must not exchange grants.
    std::int64_t agreement = 0;
};

struct transport_counts {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t rejected = 0; ///< Connections closed because of a message that could not be decoded.
};

/// Control messages as frames over TCP. Both directions of a pair share one connection where there is one.
class tcp_peer_transport : public peer_transport {
public:
    /// Listens at once; messages are sent and taken only after identify(). Fails with invalid_settings.
    static result<std::unique_ptr<tcp_peer_transport>> listen(event_base*, const endpoint&, const transport_limits&);

    /// Names the process that sends from now on; open connections are closed.
    virtual void identify(const instance_ref& self) = 0;
    virtual endpoint address() const = 0;
    virtual const transport_counts& counts() const = 0;
};

} // namespace heatherdrift
