#include "mesh/internal/entry_call.h"

namespace heatherdrift {

namespace {

    constexpr int minFailureStatus = 500;

} // namespace

std::optional<entry_call::attempt>* entry_call::findAttempt(unsigned number)
{
    for (auto* place : { &m_attempt, &m_hedge }) {
        if (*place && (*place)->number == number)
            return place;
    }
    return nullptr;
}

void entry_call::cancelAttempt(std::optional<attempt>& place, call_observation::kind kind)
{
    if (!place)
        return;
    const auto cancelled = *std::exchange(place, std::nullopt);
    const auto now = boot_clock::now();
    const auto age = now - cancelled.startedAt;
    if (!m_request.key) {
        const bool isOvertaken = kind == call_observation::kind::overtaken;
        m_context.directory.view(m_request.service)
            .onCallFinished(cancelled.node, { kind, isOvertaken ? std::optional(age) : std::nullopt }, now);
    }
    if (cancelled.remote)
        cancelled.remote->cancel();
    if (cancelled.local)
        m_context.gate.cancel(cancelled.local);
}

// A nested call comes from the own host. Whether the request that makes it is a repeat is known only at another entry
// node, so no request from the own host is hedged.
hedge_request entry_call::hedgeRequest() const
{
    hedge_request request;
    request.route = m_request.route;
    request.isEligible = m_request.isIdempotent && !m_request.key && !m_request.isFromOwnHost && m_hedgedNodes.empty()
        && m_lostAttempts == 0; // The request may crash backend servers; see maxLostAttempts.
    request.attempts = m_backendAttempts + 1;
    request.maxAttempts = m_maxAttempts;
    request.sentAt = m_attempt ? m_attempt->startedAt : time_point();
    request.objective = m_request.objective;
    request.deadline = m_request.deadline;
    request.objectiveTime = std::max(m_request.objective - m_receivedAt, duration::zero());
    return request;
}

std::optional<server_outlook> entry_call::outlookForHedge(const instance_id& node, time_point now)
{
    if (!m_service.hedges(m_request.service) || !hedgeRequest().isEligible)
        return std::nullopt;
    return m_context.directory.view(m_request.service).outlook(node, urgencyLevel(m_request.priority), now);
}

void entry_call::planHedge(const std::optional<server_outlook>& first, time_point now)
{
    const auto* policy = m_service.hedges(m_request.service);
    if (!policy || m_isDone || !m_attempt)
        return;
    if (const auto at = policy->checkAt(hedgeRequest(), first, now))
        decideHedgeAt(*at);
}

void entry_call::decideHedgeAt(time_point at)
{
    if (!m_hedgeTimer)
        m_hedgeTimer.emplace(m_context.base, [this] { decideHedge(); });
    m_hedgeDueAt = at;
    m_hedgeTimer->startAt(at);
}

std::optional<instance_id> entry_call::pickForHedge(time_point now)
{
    auto excluded = m_tried;
    excluded.push_back(m_attempt->node);
    const auto picked
        = m_context.directory.view(m_request.service)
              .pick({ std::move(excluded), false, urgencyLevel(m_request.priority), m_request.deadline, true }, now);
    const auto* peer = picked ? m_context.directory.find(*picked) : nullptr;
    const bool isUsable = peer && !peer->load.isDraining && !m_context.directory.isUnreachable(*peer, now);
    return isUsable ? picked : std::nullopt;
}

void entry_call::decideHedge()
{
    auto* policy = m_service.hedges(m_request.service);
    if (!policy || m_isDone || !m_attempt || m_hedge)
        return;
    const auto self = shared_from_this(); // The gate beside this node may answer at once.
    if (m_exchange->hasClientLeft())
        return cancel();
    const auto now = boot_clock::now();
    const auto level = urgencyLevel(m_request.priority);
    auto& view = m_context.directory.view(m_request.service);
    const auto second = pickForHedge(now);
    const hedge_situation situation { m_hedgeDueAt, view.usualWait(level, now),
        view.outlook(m_attempt->node, level, now), second ? view.outlook(*second, level, now) : std::nullopt };
    const auto request = hedgeRequest();
    const auto decision = policy->decide(request, situation, m_service.budget(m_request.service), now);
    if (m_context.metrics)
        m_context.metrics->hedgeDecided(m_request.service, toString(decision));
    if (const auto at = hedge_policy::checkAgainAt(request, situation, decision, now))
        return decideHedgeAt(*at);
    if (decision != hedge_decision::send)
        return;
    m_hedgedNodes = m_attempt->node + " " + *second;
    sendTo(*second, m_hedge);
}

void entry_call::recordForHedges(const attempt& ended, const gate_answer& answer, bool isHedge, time_point now)
{
    auto* policy = m_service.hedges(m_request.service);
    if (!policy || m_request.key)
        return;
    if (answer.outcome == verdict::not_run && answer.reason == error_code::overloaded)
        policy->recordOverload(now);
    // Hedges go to servers that are expected to be fast, so their times are not those of the route.
    if (!isHedge && answer.outcome == verdict::ran && answer.response.head.status < minFailureStatus)
        policy->recordAnswer(m_request.route, now - ended.startedAt, now);
    if (!isHedge && m_hedgeTimer)
        m_hedgeTimer->stop();
}

void entry_call::endHedging(std::string_view winner)
{
    if (m_hedgeTimer)
        m_hedgeTimer->stop();
    if (m_hedgedNodes.empty() || m_isHedgeLogged)
        return;
    m_isHedgeLogged = true;
    const auto now = boot_clock::now();
    const bool isWon = winner == "hedge";
    if (isWon && m_context.metrics)
        m_context.metrics->hedgeDecided(m_request.service, "won");
    // The time of an attempt that is cancelled is a lower bound, without which the slow answers would be missing.
    if (auto* policy = m_service.hedges(m_request.service); policy && isWon && m_attempt)
        policy->recordAnswer(m_request.route, now - m_attempt->startedAt, now);
    logEvent(log_event::request_hedged,
        { { "request", m_request.id }, { "route", m_request.route }, { "service", m_request.service },
            { "nodes", m_hedgedNodes }, { "winner", std::string(winner) },
            { "age_ms", millisecondsText(now - m_receivedAt) } });
    if (winner == "none")
        return;
    cancelAttempt(m_attempt, call_observation::kind::overtaken);
    cancelAttempt(m_hedge, call_observation::kind::overtaken);
}

} // namespace heatherdrift
