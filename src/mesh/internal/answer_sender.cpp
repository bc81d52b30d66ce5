#include "mesh/internal/answer_sender.h"

namespace heatherdrift {

answer_sender::answer_sender(event_base* base, double linkBytesPerSecond)
    : m_queue({ linkBytesPerSecond })
    , m_next(base, [this] { sendNext(); })
{
}

request_number answer_sender::expect(const std::string& kind)
{
    m_queue.expect(++m_lastNumber, kind);
    return m_lastNumber;
}

duration answer_sender::deliveryTime(const std::string& kind) const
{
    return m_queue.deliveryTime(kind, boot_clock::now());
}

void answer_sender::send(request_number id, const http_exchange_ptr& exchange, http_response response)
{
    if (m_queue.submit(id, response.body.size(), boot_clock::now()))
        return exchange->respond(std::move(response));
    m_waiting[id] = { exchange, std::move(response) };
    sendNext();
}

void answer_sender::drop(request_number id)
{
    m_queue.drop(id);
    m_waiting.erase(id);
}

void answer_sender::sendNext()
{
    while (const auto next = m_queue.takeNext(boot_clock::now())) {
        auto answer = m_waiting.extract(*next);
        answer.mapped().exchange->respond(std::move(answer.mapped().response));
    }
    if (const auto at = m_queue.nextAt())
        m_next.startAt(*at);
}

} // namespace heatherdrift
