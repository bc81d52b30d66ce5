#include "routing/backend_link.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr std::size_t healthBodyLimit = 64 * 1024;

} // namespace

backend_link::backend_link(event_base* base, const endpoint& address, int maximumConnections)
    : m_short(http_client::create(base, address, std::max(maximumConnections - maximumConnections / 2, 1)))
    , m_long(http_client::create(base, address, std::max(maximumConnections / 2, 1)))
{
}

http_call_ptr backend_link::start(
    call_length length, http_request request, time_point deadline, http_call_handlers handlers)
{
    auto& client = length == call_length::short_call ? *m_short : *m_long;
    return client.start(std::move(request), deadline, std::move(handlers));
}

void backend_link::warm(int connections, time_point deadline)
{
    for (int i = m_short->connectionCount(); i < connections; ++i)
        fetch(*m_short, { "GET", "/health", {}, "" }, deadline, healthBodyLimit, [](const result<http_response>&) {});
}

int backend_link::openConnections() const { return m_short->connectionCount() + m_long->connectionCount(); }

} // namespace heatherdrift
