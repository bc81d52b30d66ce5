#pragma once

#include "base/event_handle.h"
#include "http/http_client.h"
#include "standin/backend_server.h"

namespace heatherdrift {

/// Tells the process beside the backend server about it, every second.
class announcer {
public:
    announcer(event_base*, const backend_server_settings&, const endpoint& address);

    void setPaused(bool isPaused) { m_isPaused = isPaused; }

private:
    void announce();

    std::string m_body;
    bool m_isPaused = false;
    std::unique_ptr<http_client> m_client;
    timer m_timer;
};

} // namespace heatherdrift
