#include "mesh/internal/gate_service.h"

#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    constexpr auto retryAfterKeyMove = std::chrono::milliseconds(300); ///< A move takes about a heartbeat interval.
    constexpr auto minRetryAfter = std::chrono::milliseconds(50);

} // namespace

gate_answer gate_service::refusal(error_code reason) const
{
    gate_answer answer;
    answer.reason = reason;
    // Slots that become free before that go to queued requests, so an earlier retry would be refused again.
    const auto wait = m_queue.expectedWait();
    const auto room = m_health.isLimiting() ? wait : wait + m_queue.meanServiceTime();
    answer.retryAfter = reason == error_code::not_owner ? retryAfterKeyMove : std::max<duration>(minRetryAfter, room);
    answer.load = load();
    return answer;
}

return_request gate_service::returnOf(const gate_request& entry) const
{
    const auto& request = entry.request;
    return { request.route, request.callerZone, priorityOf(entry),
        request.key ? std::optional<std::uint64_t>(*request.key) : std::nullopt, request.deadline };
}

bool gate_service::plansReturnOf(const gate_request& entry) const
{
    return m_settings.scheduling.plansReturns && !entry.isNested;
}

/// The return of a request without a key is recognised by the entry node, since its caller may return to another gate.
void gate_service::recordArrival(gate_request& entry, time_point now)
{
    // A request that has waited for its key was recorded before.
    if (!plansReturnOf(entry) || entry.returnKind)
        return;
    const auto work = m_queue.serviceTime(entry.request.route);
    if (entry.request.key) {
        entry.returnKind = m_returns.recordArrival(returnOf(entry), work, now);
        return;
    }
    entry.returnKind = entry.request.isReturn ? return_kind::on_time : return_kind::none;
    m_returns.recordArrival(returnOf(entry), *entry.returnKind, work, now);
}

gate_answer gate_service::overloadRefusal(const gate_request& entry, time_point now)
{
    auto refused = refusal(error_code::overloaded);
    if (!plansReturnOf(entry) || !entry.request.key || !entry.returnKind)
        return refused;
    const auto cold = m_health.status(now);
    const auto limitedRate = cold ? std::optional(cold->requestsPerSecond) : std::nullopt;
    const auto time = m_returns.refuse(returnOf(entry), *entry.returnKind, m_queue, limitedRate, now);
    if (!time) {
        logEvent(log_event::return_refused,
            { { "request", entry.request.id }, { "route", entry.request.route },
                { "on_time", *entry.returnKind == return_kind::on_time ? "yes" : "no" } });
        return refused;
    }
    refused.isReturnAssigned = time->isAssigned;
    refused.retryAfter = time->isAssigned ? time->at - now : std::max(refused.retryAfter, time->at - now);
    return refused;
}

gate_answer gate_service::crashRefusal(time_point until, time_point now) const
{
    auto answer = refusal(error_code::quarantined);
    answer.retryAfter = until - now;
    return answer;
}

std::optional<gate_answer> gate_service::refusalForCalls(gate_request& entry, time_point now)
{
    // A request that has waited for its key was let through before.
    if (!m_settings.scheduling.limitsCalls || entry.calls)
        return std::nullopt;
    entry.calls = m_nested.admit(entry.request.route, priorityOf(entry), now);
    if (entry.calls->isAdmitted)
        return std::nullopt;
    auto refused = refusal(error_code::overloaded);
    refused.retryAfter = std::max(refused.retryAfter, entry.calls->retryAfter);
    refused.isFinal = true;
    logEvent(log_event::request_refused_for_calls,
        { { "request", entry.request.id }, { "route", entry.request.route }, { "called", entry.calls->service },
            { "retry_after_ms", millisecondsText(refused.retryAfter) } });
    return refused;
}

/// Free slots of this backend server are of no use to the request; another one may get the key soon.
gate_answer gate_service::evacuationRefusal() const
{
    auto answer = refusal(error_code::draining);
    answer.retryAfter = retryAfterKeyMove;
    return answer;
}

} // namespace heatherdrift
