#include "routing/internal/backend_monitor.h"

namespace heatherdrift {

namespace {

    constexpr duration checkInterval = std::chrono::milliseconds(250);
    /// A frozen server accepts connections but does not respond, so this timeout determines how soon it is detected.
    constexpr duration checkTimeout = std::chrono::milliseconds(250);
    constexpr int failuresUntilDown = 3;
    constexpr int successesUntilUp = 8;
    constexpr std::size_t bodyLimit = 64 * 1024;

} // namespace

backend_monitor::backend_monitor(event_base* base, const endpoint& address, clock_function now, hooks callbacks)
    : m_client(http_client::create(base, address, 2))
    , m_now(std::move(now))
    , m_hooks(std::move(callbacks))
    , m_timer(base, [this] { check(); })
{
    m_timer.startOnce({});
}

void backend_monitor::checkNow()
{
    if (!m_isChecking)
        m_timer.startOnce({});
}

void backend_monitor::check()
{
    if (m_isChecking)
        return;
    m_isChecking = true;
    fetch(*m_client, { "GET", "/health", {}, "" }, m_now() + checkTimeout, bodyLimit,
        [this](const result<http_response>& response) {
            m_isChecking = false;
            m_timer.startOnce(checkInterval);
            m_hooks.onChecked(response.has_error() && response.error().code != error_code::deadline_exceeded);
            handleResult(response.has_value() && response.value().head.status < 500);
        });
}

void backend_monitor::handleResult(bool isAnswer)
{
    if (isAnswer == m_isAnswering) {
        m_differingResults = 0;
        return;
    }
    const int needed = m_isAnswering ? failuresUntilDown : successesUntilUp;
    if (++m_differingResults < needed)
        return;
    m_differingResults = 0;
    m_isAnswering = isAnswer;
    m_hooks.onChanged(isAnswer);
}

} // namespace heatherdrift
