#include "standin/internal/restartable_listener.h"

namespace heatherdrift {

namespace {

    constexpr duration retryInterval = std::chrono::milliseconds(100);

} // namespace

restartable_listener::restartable_listener(event_base* base, const http_server_limits& limits, http_handler handler)
    : m_base(base)
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_retry(base, [this] { reopen(); })
{
}

result<void> restartable_listener::listen(const endpoint& address)
{
    auto server = http_server::listen(m_base, address, m_limits, m_handler);
    if (server.has_error())
        return server.error();
    m_server = std::move(server).value();
    m_address = m_server->address();
    return outcome::success();
}

void restartable_listener::close()
{
    m_retry.stop();
    m_server.reset();
}

void restartable_listener::reopen()
{
    if (!m_server && listen(m_address).has_error())
        m_retry.startOnce(retryInterval);
}

} // namespace heatherdrift
