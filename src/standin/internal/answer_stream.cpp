#include "standin/internal/answer_stream.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr std::size_t partBytes = 16 * 1024;
    /// Sent ahead of the client's reading.
    constexpr std::size_t bufferedBytes = 128 * 1024;
    constexpr duration paceInterval = std::chrono::milliseconds(10);

} // namespace

answer_stream::answer_stream(event_base* base, http_exchange_ptr exchange, answer_content content,
    std::int64_t bytesPerSecond, std::function<void()> onSent)
    : m_exchange(std::move(exchange))
    , m_content(std::move(content))
    , m_bytesPerSecond(bytesPerSecond)
    , m_onSent(std::move(onSent))
    , m_startedAt(boot_clock::now())
    , m_pace(base, [this] { sendMore(); })
{
}

answer_stream::~answer_stream() { m_exchange->onDrained(nullptr); }

void answer_stream::start(http_response_head head)
{
    head.headers.set("Content-Length", std::to_string(m_content.size()));
    m_exchange->onDrained([this] { sendMore(); });
    m_exchange->start(std::move(head));
    // The caller keeps this object only after start() returns.
    m_pace.startOnce({});
}

std::size_t answer_stream::allowedBytes() const
{
    if (m_bytesPerSecond == 0)
        return m_content.size();
    const std::chrono::duration<double> elapsed = boot_clock::now() - m_startedAt;
    const auto allowed = static_cast<std::size_t>(elapsed.count() * static_cast<double>(m_bytesPerSecond));
    return std::min(m_content.size(), allowed);
}

void answer_stream::sendMore()
{
    const auto allowed = allowedBytes();
    while (m_sent < allowed && m_exchange->bufferedBytes() < bufferedBytes) {
        m_exchange->sendData(m_content.part(m_sent, std::min(partBytes, allowed - m_sent)));
        m_sent += std::min(partBytes, allowed - m_sent);
    }
    if (m_sent < m_content.size()) {
        // With data in the buffer, onDrained continues; without, only time does.
        if (m_sent == allowed)
            m_pace.startOnce(paceInterval);
        return;
    }
    m_pace.stop();
    m_exchange->onDrained(nullptr);
    m_exchange->finish();
    const auto call = m_onSent;
    call();
}

} // namespace heatherdrift
