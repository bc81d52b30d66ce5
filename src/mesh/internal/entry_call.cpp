#include "mesh/internal/entry_call.h"

#include "mesh/internal/answer_status.h"
#include "mesh/internal/message_memory.h"
#include "mesh/internal/retry_time.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// A gate responds at the deadline at the latest; this much later its node counts as unresponsive.
    constexpr auto gateSlack = std::chrono::milliseconds(100);
    /// A request that may crash backend servers is not sent to a third one before the other nodes know of the crashes.
    constexpr int maxLostAttempts = 2;
    constexpr int maxRefusals = 4; ///< Refusals by gates before the caller gets a Retry-After response.
    /// A node returns its range map within milliseconds; later responses are not awaited.
    constexpr auto mapWaitTimeout = std::chrono::milliseconds(300);
    constexpr auto mapPollInterval = std::chrono::milliseconds(5);
    constexpr auto minRetryAfter = std::chrono::milliseconds(20);
    constexpr auto retryAfterNoServer = std::chrono::milliseconds(300);
    /// All zones of a service are evacuated. Their return is known to all nodes within this time.
    constexpr auto retryAfterEvacuation = std::chrono::milliseconds(2500);
    constexpr int statusBadGateway = 502;
    constexpr int statusUnavailable = 503;
    constexpr int statusTimeout = 504;
    constexpr int minFailureStatus = 500;

    bool isConnectionFailure(error_code reason)
    {
        return reason == error_code::connection_failed || reason == error_code::connection_refused
            || reason == error_code::unreachable;
    }

    bool isServerFailure(const gate_answer& answer)
    {
        return answer.outcome == verdict::ran && answer.response.head.status >= 500;
    }

} // namespace

entry_call::entry_call(entry_service& service, http_exchange_ptr exchange, routed_request request, const route& route)
    : m_service(service)
    , m_context(service.m_context)
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_maxAttempts(std::max(1, route.maxAttempts))
    , m_receivedAt(boot_clock::now())
    , m_retry(m_context.base, [this] { sendNext(); })
{
}

void entry_call::begin()
{
    m_exchange->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->cancel();
    });
    sendNext();
}

std::optional<instance_id> entry_call::pickOwner(time_point now)
{
    const auto* map = m_context.map(m_request.service);
    if (!map)
        return std::nullopt;
    const auto& range = map->find(*m_request.key);
    // A previous owner serves the keys until it has released them.
    std::vector<life_name> lives = range.releasing;
    lives.push_back(range.owner);
    for (const auto& life : lives) {
        const auto* peer = m_context.directory.findLife(life);
        const bool wasTried = peer && std::ranges::find(m_tried, peer->member.node) != m_tried.end();
        if (!peer || (wasTried && life != range.owner))
            continue;
        if (!m_context.directory.mayServeKeys(peer->member, now))
            continue;
        if (!m_context.directory.isUnreachable(*peer, now))
            return peer->member.node;
        m_context.probe(peer->member.node);
    }
    m_context.refreshMap(m_request.service);
    return std::nullopt;
}

/// The keys may have moved, so that a newer map names an owner that can serve them.
bool entry_call::isOwnerEvacuated(time_point now)
{
    const auto* map = m_context.map(m_request.service);
    const auto* peer = map ? m_context.directory.findLife(map->find(*m_request.key).owner) : nullptr;
    return peer && !m_context.directory.mayServeKeys(peer->member, now);
}

std::optional<instance_id> entry_call::pickAny(time_point now)
{
    const pick_options options { m_tried, m_request.isIdempotent, urgencyLevel(m_request.priority),
        m_request.deadline };
    return m_context.directory.view(m_request.service).pick(options, now);
}

void entry_call::sendNext()
{
    if (m_isDone)
        return;
    const bool isRepeated = !m_tried.empty();
    if (isRepeated && m_exchange->hasClientLeft())
        return cancel();
    const auto now = boot_clock::now();
    if (!retry_time::isInTime(now, m_request.deadline)) {
        if (m_lastAnswer)
            return fail(*m_lastAnswer);
        return refuse(retryAfterNoServer);
    }
    if (m_context.directory.isWhollyEvacuated(m_request.service))
        return m_lastAnswer ? fail(*m_lastAnswer) : refuse(retryAfterEvacuation);
    // After a start, the first request for a key triggers the fetch of the range map from another node.
    if (m_request.key && !m_context.map(m_request.service) && now < m_receivedAt + mapWaitTimeout)
        return scheduleRetry(mapPollInterval);
    if (const auto start = startAfterDeadline(now)) {
        // Only a request that no backend server has run may be refused as not run.
        if (m_mayHaveRun || m_serverFailure)
            return fail(*m_lastAnswer);
        if (m_tried.empty()) {
            logEnd(log_event::refused_without_attempt, toString(error_code::overloaded));
            if (m_context.metrics)
                m_context.metrics->refusedWithoutAttempt();
        }
        return refuseOverloaded(*start);
    }
    const auto target = m_request.key ? pickOwner(now) : pickAny(now);
    if (target) {
        const auto self = shared_from_this(); // The gate beside this node may answer at once.
        const auto outlook = outlookForHedge(*target, now);
        sendTo(*target, m_attempt);
        return planHedge(outlook, now);
    }
    if (m_request.key && isOwnerEvacuated(now) && now < m_receivedAt + mapWaitTimeout)
        return scheduleRetry(retry_time::interval);
    if (m_lastAnswer)
        return fail(*m_lastAnswer);
    refuse(retryAfterNoServer);
}

std::optional<duration> entry_call::startAfterDeadline(time_point now) const
{
    if (!m_returnKind)
        return std::nullopt;
    const auto within = m_request.deadline - now - retry_time::minTimeLeft;
    return m_context.directory.view(m_request.service).earliestStart(urgencyLevel(m_request.priority), within, now);
}

void entry_call::sendTo(const instance_id& node, std::optional<attempt>& place)
{
    const auto now = boot_clock::now();
    const auto number = ++m_attempts;
    place = attempt { number, node, nullptr, 0, now, m_context.directory.question(node, now).identity };
    if (!m_request.key)
        m_context.directory.view(m_request.service).onCallStarted(node, now);
    const auto weak = weak_from_this();
    if (node == m_context.settings.node) {
        const auto id = m_context.gate.execute(
            m_request,
            [weak, number](gate_answer answer) {
                if (const auto self = weak.lock())
                    self->handleAnswer(number, std::move(answer));
            },
            {}, [exchange = m_exchange] { return exchange->hasClientLeft(); });
        if (place && place->number == number)
            place->local = id;
        return;
    }
    auto message = encodeForward(m_request, now);
    message.headers.add(targetNodeHeader, node);
    place->remote = fetchOwn(m_context.directory.client(node), std::move(message), m_request.deadline + gateSlack,
        answerMemory(m_context.gate.memory()), {}, [weak, number](result<http_response> response) {
            if (const auto self = weak.lock())
                self->handleResponse(number, std::move(response));
        });
}

void entry_call::handleResponse(unsigned number, result<http_response> response)
{
    const auto* found = findAttempt(number);
    if (!found)
        return;
    const auto current = **found;
    const auto now = boot_clock::now();
    if (response.has_error()) {
        if (m_context.directory.isAboutPresent({ current.node, current.identity, current.startedAt }))
            m_context.directory.recordFailure(current.node, response.error().code, now);
        // A second probe distinguishes a lost instance from a single lost packet.
        if (response.error().code == error_code::unreachable)
            m_context.probe(current.node);
        gate_answer answer;
        answer.outcome = response.error().outcome;
        answer.reason = response.error().code;
        answer.reachedBackend = answer.outcome != verdict::not_run;
        return handleAnswer(number, std::move(answer));
    }
    if (response.value().head.status == statusOtherNode
        && !response.value().head.headers.find("heatherdrift-verdict")) {
        m_context.onNodeReplaced({ current.node, current.identity, current.startedAt });
        gate_answer answer;
        answer.reason = error_code::not_found;
        return handleAnswer(number, std::move(answer));
    }
    auto answer = decodeAnswer(std::move(response).value());
    if (answer.has_error())
        return handleLost(number, answer.error().code);
    const auto& head = answer.value().response.head;
    // A gate passes on no such answer, so the other node has taken the request for a message of this one.
    if (answer.value().outcome == verdict::ran && needsSignature(head.status)
        && !m_context.port.decodeAnswer(head).isFromBackend)
        return handleLost(number, error_code::internal);
    m_context.directory.recordAnswer(current.node, answer.value().load, now);
    const auto learned = m_context.directory.statuses().learn(m_request.service, answer.value().others, now);
    if (m_context.metrics)
        m_context.metrics->statusesExchanged("learned", learned);
    m_context.onMapVersion(m_request.service, current.node, answer.value().load.mapVersion);
    if (const auto& tables = answer.value().load.tables)
        m_context.onTableStatements(current.node, *tables, current.startedAt);
    handleAnswer(number, std::move(answer).value());
}

void entry_call::handleLost(unsigned number, error_code reason)
{
    gate_answer lost;
    lost.outcome = verdict::may_have_run;
    lost.reason = reason;
    lost.reachedBackend = true;
    handleAnswer(number, std::move(lost));
}

void entry_call::observe(const attempt& current, const gate_answer& answer, time_point now)
{
    if (m_request.key)
        return;
    using kind = call_observation::kind;
    call_observation seen;
    if (answer.outcome == verdict::not_run)
        seen.outcome = isConnectionFailure(answer.reason) ? kind::failure : kind::refused;
    else if (answer.outcome == verdict::ran && answer.response.head.status < 500) {
        seen.outcome = kind::success;
        seen.latency = now - current.startedAt;
    } else
        seen.outcome = kind::failure;
    m_context.directory.view(m_request.service).onCallFinished(current.node, seen, now);
}

void entry_call::recordServed(const attempt& current, const gate_answer& answer, time_point now)
{
    if (!m_returnKind)
        return;
    if (answer.outcome == verdict::ran && answer.response.head.status < minFailureStatus)
        m_service.m_returns.recordServed(m_request.service, now - current.startedAt, now);
    if (answer.outcome == verdict::not_run && answer.reason == error_code::overloaded)
        m_leastRetryAfter = std::min(m_leastRetryAfter.value_or(answer.retryAfter), answer.retryAfter);
}

duration entry_call::retryDelay(const gate_answer& answer) const
{
    // Only the owner can run a request for a key. The first retry goes to the owner in a newer map at once.
    const bool needsDelay = m_request.key && answer.outcome == verdict::not_run && m_refusals > 1;
    return needsDelay ? duration(retry_time::interval) : duration();
}

bool entry_call::shouldRetry(const gate_answer& answer, time_point now)
{
    // Otherwise the caller's deadline would pass before it gets any answer.
    if (!retry_time::isInTime(now + retryDelay(answer), m_request.deadline))
        return false;
    // All nodes of the service refuse a request that crashes backend servers.
    if (answer.reason == error_code::quarantined || answer.isFinal || m_lostAttempts >= maxLostAttempts)
        return false;
    if (answer.outcome == verdict::not_run && !answer.reachedBackend) {
        // Only the owner of a key can run the request, so its overload refusal is final.
        const bool isFinal = m_request.key && answer.reason == error_code::overloaded;
        return !isFinal && m_refusals < maxRefusals;
    }
    if (answer.outcome != verdict::not_run && !m_request.isIdempotent)
        return false;
    return m_backendAttempts < m_maxAttempts && m_service.budget(m_request.service).tryRetry(now);
}

void entry_call::handleAnswer(unsigned number, gate_answer answer)
{
    auto* place = findAttempt(number);
    if (m_isDone || !place)
        return;
    const auto now = boot_clock::now();
    const bool isHedge = place == &m_hedge;
    const auto current = *std::exchange(*place, std::nullopt);
    observe(current, answer, now);
    recordForHedges(current, answer, isHedge, now);
    if (answer.nestedHeight)
        m_nestedHeight = answer.nestedHeight;
    recordServed(current, answer, now);
    const auto& node = current.node;
    m_attemptLog.append(m_attemptLog.empty() ? "" : " ").append(node).append(":");
    if (answer.outcome == verdict::ran)
        m_attemptLog.append(std::to_string(answer.response.head.status));
    else
        m_attemptLog.append(toString(answer.outcome)).append("/").append(toString(answer.reason));
    m_attemptLog.append(":").append(millisecondsText(now - current.startedAt));
    if (answer.timeAtGate > duration::zero())
        m_attemptLog.append(":").append(millisecondsText(answer.timeAtGate));
    if (answer.reachedBackend)
        ++m_backendAttempts;
    else if (!isHedge)
        ++m_refusals;
    if (answer.outcome == verdict::may_have_run && answer.reason == error_code::connection_lost)
        ++m_lostAttempts;
    m_mayHaveRun = m_mayHaveRun || answer.outcome != verdict::not_run;
    if (node == m_context.settings.node)
        m_context.directory.recordAnswer(node, answer.load, now);
    // A retry for a key would go to the same owner and fail again; without a key another server may succeed.
    const bool isRetryUseful = isServerFailure(answer) && m_request.isIdempotent && !m_request.key;
    if (answer.outcome == verdict::ran && !isRetryUseful) {
        endHedging(isHedge ? "hedge" : "first");
        return respond(std::move(answer.response));
    }
    if (answer.outcome == verdict::ran && !(isHedge && m_serverFailure))
        m_serverFailure = answer;
    m_tried.push_back(node);
    if (m_hedge) {
        m_failedFirst = std::move(answer);
        return;
    }
    if (isHedge) {
        if (m_attempt)
            return;
        // The caller gets what it would have got without the hedge.
        answer = *std::exchange(m_failedFirst, std::nullopt);
    }
    const bool isRetried = shouldRetry(answer, now);
    m_lastAnswer = std::move(answer);
    if (!isRetried)
        return fail(*m_lastAnswer);
    scheduleRetry(retryDelay(*m_lastAnswer));
}

void entry_call::scheduleRetry(duration delay) { m_retry.startOnce(delay); }

void entry_call::count(std::string_view outcome) const
{
    if (m_context.metrics)
        m_context.metrics->requestEnded(m_request.service, outcome, boot_clock::now() - m_receivedAt);
}

void entry_call::recordNested(call_outcome outcome)
{
    if (!m_possibleCall)
        return;
    const auto reason = m_lastAnswer ? m_lastAnswer->reason : error_code::overloaded;
    // While keys move or a node restarts, a refusal does not tell a lack of capacity.
    if (outcome == call_outcome::refused && reason != error_code::overloaded && reason != error_code::deadline_exceeded)
        outcome = call_outcome::unknown;
    m_context.gate.nestedCalls().onCallEnded(*m_possibleCall, outcome, m_nestedHeight, boot_clock::now());
}

void entry_call::respond(http_response response)
{
    const auto status = response.head.status;
    recordNested(status == statusUnavailable || status == statusTimeout ? call_outcome::refused
            : status < minFailureStatus                                 ? call_outcome::answered
                                                                        : call_outcome::unknown);
    count(std::to_string(response.head.status));
    m_exchange->respond(std::move(response));
    end();
}

void entry_call::fail(const gate_answer& answer)
{
    if (m_serverFailure)
        return respond(std::move(m_serverFailure->response));
    if (!m_mayHaveRun && m_leastRetryAfter && answer.reason == error_code::overloaded && !answer.isFinal)
        return refuseOverloaded(*m_leastRetryAfter);
    if (!m_mayHaveRun && answer.isReturnAssigned) {
        logEnd(log_event::request_refused, toString(answer.reason));
        return sendRefusal(answer.retryAfter);
    }
    if (!m_mayHaveRun)
        return refuse(answer.retryAfter);
    const bool isLate = answer.reason == error_code::deadline_exceeded;
    logEnd(log_event::request_failed, toString(answer.reason));
    respond({ { isLate ? statusTimeout : statusBadGateway, {} }, "" });
}

void entry_call::refuse(duration retryAfter)
{
    logEnd(log_event::request_refused, m_lastAnswer ? toString(m_lastAnswer->reason) : "no_backend_server");
    const auto least = std::max<duration>(retryAfter, minRetryAfter);
    const auto spread = m_service.withJitter(least);
    // A caller that returns before the time at which there is capacity would be refused again.
    sendRefusal(m_context.settings.scheduling.plansReturns ? std::max(spread, least) : spread);
}

void entry_call::sendRefusal(duration retryAfter)
{
    http_response response { { statusUnavailable, {} }, "" };
    m_context.port.addRetryAfter(response.head, retryAfter);
    respond(std::move(response));
}

/// Assigned times are spread already, so that jitter would only make the caller miss its place.
void entry_call::refuseOverloaded(duration retryAfter)
{
    const auto now = boot_clock::now();
    // Statuses may show free capacity earlier than the gates that were tried.
    const auto free = m_context.directory.view(m_request.service)
                          .earliestStart(urgencyLevel(m_request.priority), duration(-1), now);
    const auto backlog = std::min(retryAfter, free.value_or(retryAfter));
    const auto time = m_service.m_returns.refuse(m_request.service, returnOf(m_request), *m_returnKind, backlog, now);
    if (!time || !time->isAssigned) {
        if (*m_returnKind != return_kind::none)
            logEnd(log_event::return_refused, toString(error_code::overloaded));
        return refuse(time ? std::max(time->at - now, retryAfter) : retryAfter);
    }
    logEnd(log_event::request_refused, toString(error_code::overloaded));
    sendRefusal(time->at - now);
}

void entry_call::cancel()
{
    if (m_isDone)
        return;
    count("abandoned");
    // The backend server gave the call up, at its deadline or because the call is of no more use.
    const bool isLate = boot_clock::now() + retry_time::minTimeLeft >= m_request.deadline;
    recordNested(isLate ? call_outcome::refused : call_outcome::unknown);
    logEnd(log_event::request_abandoned, m_attempt ? m_attempt->node : "between_attempts");
    endHedging("none");
    cancelAttempt(m_attempt, call_observation::kind::cancelled);
    cancelAttempt(m_hedge, call_observation::kind::cancelled);
    end();
}

void entry_call::logEnd(log_event event, std::string_view reason) const
{
    const auto now = boot_clock::now();
    logEvent(event,
        { { "request", m_request.id }, { "reason", std::string(reason) }, { "route", m_request.route },
            { "service", m_request.service }, { "key", m_request.key ? std::to_string(*m_request.key) : "" },
            { "attempts", m_attemptLog }, { "age_ms", millisecondsText(now - m_receivedAt) },
            { "left_ms", millisecondsText(m_request.deadline - now) },
            { "configuration", std::to_string(m_context.routes.version()) } });
}

void entry_call::end()
{
    endHedging("none");
    m_isDone = true;
    m_retry.stop();
    m_service.m_calls.erase(shared_from_this());
}

} // namespace heatherdrift
