#pragma once

#include "base/delayed_calls.h"
#include "http/http_server.h"

#include <memory>

namespace heatherdrift {

/// HTTP server that can vanish from its address and come back, like a process that ends and starts again.
class restartable_listener {
public:
    restartable_listener(event_base*, const http_server_limits&, http_handler);

    /// Port 0 binds a free port, which later openings use again.
    result<void> listen(const endpoint&);
    /// Closes the listening socket and all connections. Must not be called from the handler.
    void close();
    /// Listens again; tries until the address is free.
    void reopen();

    bool isOpen() const { return m_server != nullptr; }
    const endpoint& address() const { return m_address; }

private:
    event_base* m_base;
    http_server_limits m_limits;
    http_handler m_handler;
    endpoint m_address;
    std::unique_ptr<http_server> m_server;
    timer m_retry;
};

} // namespace heatherdrift
