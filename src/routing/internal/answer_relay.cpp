#include "routing/answer_relay.h"

namespace heatherdrift {

answer_relay::answer_relay(http_exchange_ptr exchange, std::size_t bufferLimit)
    : m_exchange(std::move(exchange))
    , m_bufferLimit(bufferLimit)
{
}

void answer_relay::setSource(http_call_ptr source) { m_source = std::move(source); }

void answer_relay::start(const http_response_head& head)
{
    m_hasStarted = true;
    m_exchange->onDrained([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->resumeSource();
    });
    m_exchange->start(head);
}

void answer_relay::sendData(std::string_view data)
{
    m_exchange->sendData(data);
    if (m_isPaused || m_exchange->bufferedBytes() < m_bufferLimit || !m_source)
        return;
    m_isPaused = true;
    m_source->pause();
}

void answer_relay::finish()
{
    m_source = nullptr;
    m_exchange->finish();
}

void answer_relay::abort()
{
    m_source = nullptr;
    m_exchange->abort();
}

void answer_relay::resumeSource()
{
    if (!m_isPaused || !m_source)
        return;
    m_isPaused = false;
    m_source->resume();
}

} // namespace heatherdrift
