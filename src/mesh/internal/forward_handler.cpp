#include "mesh/internal/forward_handler.h"

#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    constexpr int statusBadRequest = 400;

} // namespace

forward_handler::forward_handler(const forward_context& context)
    : m_context(context)
{
}

void forward_handler::handle(const http_exchange_ptr& exchange)
{
    auto request = decodeForward(exchange->request(), boot_clock::now());
    if (request.has_error())
        return exchange->respond({ { statusBadRequest, rejectionHeaders() }, "" });
    // The entry node cancels a request by closing the connection.
    if (exchange->hasClientLeft())
        return logEvent(log_event::request_abandoned,
            { { "request", request.value().id }, { "reason", "cancelled_before_it_was_read" },
                { "route", request.value().route }, { "service", request.value().service } });
    execute(exchange, std::move(request).value());
}

void forward_handler::execute(const http_exchange_ptr& exchange, routed_request request)
{
    const auto isDone = std::make_shared<bool>(false);
    const std::string route = request.route;
    const auto deliveryTime = m_context.sender.deliveryTime(route);
    const auto answerNumber = m_context.sender.expect(route);
    const bool isChoosable = !request.key;
    const auto id = m_context.gate.execute(
        std::move(request),
        [this, exchange, isDone, route, answerNumber, isChoosable](gate_answer answer) {
            *isDone = true;
            m_context.metrics.gateEnded(answer.outcome, answer.outcome == verdict::ran ? "" : toString(answer.reason));
            if (answer.outcome == verdict::ran)
                m_context.sender.recordSize(route, answer.response.body.size());
            if (isChoosable)
                m_context.metrics.statusesExchanged("passed",
                    m_context.directory.statuses().addTo(answer, m_context.settings.service, boot_clock::now()));
            m_context.sender.send(answerNumber, exchange, encodeAnswer(std::move(answer)));
        },
        deliveryTime, [exchange] { return exchange->hasClientLeft(); });
    exchange->onClosed([this, id, isDone, answerNumber] {
        if (!*isDone)
            m_context.gate.cancel(id);
        m_context.sender.drop(answerNumber);
    });
}

http_response forward_handler::pingAnswer() const
{
    gate_answer answer;
    answer.outcome = verdict::ran;
    answer.load = m_context.gate.load();
    return encodeAnswer(answer);
}

} // namespace heatherdrift
