#include "standin/internal/store_gate.h"

#include "standin/internal/responses.h"

#include <algorithm>

namespace heatherdrift {

rate_limiter::rate_limiter(double perSecond)
    : m_perSecond(perSecond)
    , m_most(std::max(1.0, perSecond / 10))
    , m_left(m_most)
    , m_last(boot_clock::now())
{
}

bool rate_limiter::take(double cost, time_point now)
{
    if (m_perSecond == 0)
        return true;
    const std::chrono::duration<double> elapsed = now - m_last;
    m_last = now;
    m_left = std::min(m_most, m_left + elapsed.count() * m_perSecond);
    if (m_left < 1)
        return false;
    m_left -= cost;
    return true;
}

store_gate::store_gate(
    event_base* base, const store_service_settings& settings, std::size_t bodyBytes, operation_parser parse)
    : m_parse(std::move(parse))
    , m_reads(settings.readsPerSecond)
    , m_writes(settings.writesPerSecond)
    , m_random(settings.seed)
    , m_service(base, { 16 * 1024, bodyBytes, 120 }, [this](const http_exchange_ptr& exchange) { handle(exchange); })
    , m_control(base, {}, [this](const http_exchange_ptr& exchange) { handleControl(exchange); })
    , m_later(base)
{
}

result<void> store_gate::listen(const store_service_settings& settings)
{
    BOOST_OUTCOME_TRY(m_service.listen(settings.listen));
    return m_control.listen(settings.control);
}

void store_gate::handleControl(const http_exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    if (request.method == "GET" && request.target == "/stats")
        return exchange->respond(jsonResponse(200, stats()));
    if (request.method != "PUT" || request.target != "/faults")
        return exchange->respond(refusal(404, "no such resource"));
    auto faults = parseStoreFaults(request.body);
    if (faults.has_error())
        return exchange->respond(refusal(400, faults.error().message));
    setFaults(std::move(faults).value());
    exchange->respond(jsonResponse(200, json::object()));
}

void store_gate::setFaults(store_faults faults)
{
    m_faults = std::move(faults);
    if (m_faults.outage == store_outage::hang) {
        m_service.reopen();
        return;
    }
    const auto held = std::exchange(m_held, {});
    if (m_faults.outage == store_outage::refuse) {
        m_service.close();
        return;
    }
    m_service.reopen();
    // Also requests whose clients gave up: a service that hangs takes them from its sockets when it goes on.
    for (const auto& exchange : held)
        serve(exchange);
}

void store_gate::handle(const http_exchange_ptr& exchange)
{
    if (m_faults.outage == store_outage::hang)
        m_held.push_back(exchange);
    else
        serve(exchange);
}

void store_gate::serve(const http_exchange_ptr& exchange)
{
    const auto parsed = m_parse(exchange->request());
    if (parsed.has_error()) {
        const bool isAbsent = parsed.error().code == error_code::not_found;
        return exchange->respond(refusal(isAbsent ? 404 : 400, parsed.error().message));
    }
    const auto& operation = parsed.value();
    auto& rule = ruleFor(operation);
    auto& limiter = operation.isWrite ? m_writes : m_reads;
    if (chance(rule.rejectShare) || !limiter.take(operation.cost, boot_clock::now())) {
        ++m_rejectedCount;
        return exchange->respond(refusal(503, "overloaded"));
    }
    const bool isLost = operation.isWrite && takeLoss(rule);
    const auto effectDelay = operation.isWrite ? rule.effectDelay : duration::zero();
    const auto answerDelay = rule.delay + (operation.isWrite ? rule.writeDelay : duration::zero());
    if (effectDelay == duration::zero())
        return run(exchange, operation, answerDelay, isLost);
    if (isLost)
        exchange->abort();
    m_later.after(effectDelay,
        [this, exchange, operation, answerDelay, isLost] { run(exchange, operation, answerDelay, isLost); });
}

void store_gate::run(
    const http_exchange_ptr& exchange, const store_operation& operation, duration answerDelay, bool isLost)
{
    auto response = operation.run();
    if (!operation.isWrite)
        ++m_readCount;
    else if (response.head.status == 409)
        ++m_conflictCount;
    else
        ++m_writeCount;
    if (isLost) {
        ++m_lostCount;
        return exchange->abort();
    }
    if (answerDelay == duration::zero())
        return exchange->respond(std::move(response));
    m_later.after(answerDelay, [exchange, response = std::move(response)] { exchange->respond(response); });
}

store_fault_rule& store_gate::ruleFor(const store_operation& operation)
{
    const auto found = std::ranges::find_if(
        m_faults.rules, [&](const store_fault_rule& rule) { return rule.matches(operation.tables); });
    return found == m_faults.rules.end() ? m_noFault : *found;
}

bool store_gate::takeLoss(store_fault_rule& rule)
{
    if (rule.loseAnswers == 0)
        return chance(rule.loseShare);
    --rule.loseAnswers;
    return true;
}

bool store_gate::chance(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

json store_gate::stats() const
{
    return { { "reads", m_readCount }, { "writes", m_writeCount }, { "conflicts", m_conflictCount },
        { "rejected", m_rejectedCount }, { "lost_answers", m_lostCount } };
}

} // namespace heatherdrift
