#pragma once

#include "configuration/configuration.h"
#include "http/http_client.h"

#include <functional>
#include <memory>
#include <string>

namespace heatherdrift {

/// Announcement of this instance's backend server.
struct backend_description {
    endpoint address;
    label_set labels;
    int slots = 0; ///< 0 to use the number in the pool's configuration.
    bool checksGrants = false;

    bool operator==(const backend_description&) const = default;
};

/// Connections to this instance's backend server. Short and long calls use separate connections, so that a short call
/// never waits for a connection behind a long one.
class backend_link {
public:
    backend_link(event_base*, const endpoint&, int maximumConnections);

    http_call_ptr start(call_length, http_request, time_point deadline, http_call_handlers);

    /// Opens connections for short calls up to the number, each with a health request.
    void warm(int connections, time_point deadline);
    int openConnections() const;
    const endpoint& address() const { return m_short->server(); }

private:
    std::unique_ptr<http_client> m_short;
    std::unique_ptr<http_client> m_long;
};

} // namespace heatherdrift
