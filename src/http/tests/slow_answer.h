#pragma once

#include "base/event_handle.h"
#include "http/http_server.h"

namespace heatherdrift {

/// Sends an answer in equal parts, one at a time with a pause before each, as it arrives over a slow link.
class slow_answer {
public:
    slow_answer(event_base* base, http_exchange_ptr exchange, std::string body, std::size_t parts, duration pause)
        : m_exchange(std::move(exchange))
        , m_body(std::move(body))
        , m_partBytes((m_body.size() + parts - 1) / parts)
        , m_timer(base, [this] { sendNext(); })
    {
        m_exchange->start({ 200, { { "Content-Length", std::to_string(m_body.size()) } } });
        m_timer.startRepeating(pause);
    }

private:
    void sendNext()
    {
        m_exchange->sendData(std::string_view(m_body).substr(m_sent, m_partBytes));
        m_sent = std::min(m_body.size(), m_sent + m_partBytes);
        if (m_sent < m_body.size())
            return;
        m_exchange->finish();
        m_timer.stop();
    }

    http_exchange_ptr m_exchange;
    std::string m_body;
    std::size_t m_partBytes;
    std::size_t m_sent = 0;
    timer m_timer;
};

} // namespace heatherdrift
