#include "mesh/internal/gate_service.h"

#include "mesh/internal/answer_status.h"
#include "mesh/internal/message_memory.h"
#include "telemetry/log_event.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// Maximum delay before a request that cannot meet its deadline is refused.
    constexpr auto sweepInterval = std::chrono::milliseconds(20);
    constexpr auto keyLoadTimeConstant = std::chrono::milliseconds(1500); ///< Hot keys change within seconds.
    constexpr auto maxIdleTime = std::chrono::seconds(8); ///< Unless the backend server's Keep-Alive header is shorter.
    /// Shorter delivery times are not counted as a delay caused by the link.
    constexpr auto minLinkDelay = std::chrono::milliseconds(100);

    http_client_options clientOptions(int connections)
    {
        http_client_options options;
        options.maximumConnections = connections;
        options.acceptsUnframedAnswers = true;
        options.idleConnectionTimeout = maxIdleTime;
        return options;
    }

    constexpr int statusMisdirected = 421;
    constexpr int minFailureStatus = 500;

    /// Whether the process of the backend server may have ended.
    bool isLoss(error_code reason)
    {
        return reason == error_code::connection_lost || reason == error_code::connection_failed
            || reason == error_code::unreachable;
    }

    /// Whether the request does not count against the rate that a cold backend server tolerates.
    bool isUncounted(const result<http_response>& response)
    {
        return response.has_error() ? response.error().outcome == verdict::not_run
                                    : response.value().head.status == statusMisdirected;
    }

    request_fingerprint fingerprintOf(const routed_request& request)
    {
        const auto key = request.key ? std::to_string(*request.key) : std::string();
        return heatherdrift::fingerprintOf(
            { request.service, request.message.method, request.message.target, key, request.message.body, {} });
    }

} // namespace

gate_service::gate_service(event_base* base, const mesh_settings& settings, const platform_port& port, gate_hooks hooks)
    : m_settings(settings)
    , m_port(port)
    , m_memory(createMessageMemory(settings.memoryBytes))
    , m_hooks(std::move(hooks))
    , m_evacuationTimer(base, [this] { refuseEvacuated(); })
    , m_client(http_client::create(base, settings.backend, clientOptions(64)))
    , m_health(base, *m_client, port, settings.service,
          { [this](const backend_answer& info) { recordLoad(info, boot_clock::now()); }, [this] { sweep(); } })
    , m_queue({ .ranksByCaller = settings.scheduling.ranksByCaller })
    , m_nested(settings.scheduling.ranksByCaller, m_hooks.statuses)
    , m_keyLoad(keyLoadTimeConstant)
    , m_sweep(base, [this] { sweep(); })
    , m_nextStart(base, [this] { runNext(); })
{
    m_queue.limitStarts([this](std::size_t ahead) { return m_health.startDelay(ahead); });
    if (settings.scheduling.plansReturns)
        m_queue.expectReturns([this](int priority, time_point until) {
            return m_returns.schedule().dueBefore(priority, until, boot_clock::now());
        });
}

gate_service::~gate_service() = default;

void gate_service::setBackend(const gate_backend& backend)
{
    if (backend == m_backend)
        return;
    const bool isNewLife = backend.life != m_backend.life;
    if (isNewLife) {
        recordEndOfLife();
        m_closesAt = time_point::max();
        m_queue.setSlots(backend.slots);
        m_statedLoad.clear();
    }
    m_backend = backend;
    m_queue.setSlots(backend.slots);
    if (isNewLife)
        m_health.setBackend(backend.id);
    runNext();
}

/// The end of a backend server that was draining is no crash.
void gate_service::recordEndOfLife()
{
    auto atWork = m_crashes.takeAtWork();
    if (m_backend.life.empty() || atWork.empty())
        return;
    if (m_closesAt != time_point::max())
        return logEvent(log_event::backend_crashed,
            { { "backend_server", m_backend.life }, { "counted", "no" }, { "reason", "draining" },
                { "at_work", fingerprintText(atWork) } });
    if (m_hooks.onCrashed)
        m_hooks.onCrashed({ m_backend.life, std::move(atWork) });
}

std::optional<time_point> gate_service::refusedUntil(request_fingerprint request, time_point now) const
{
    return m_hooks.refusedUntil ? m_hooks.refusedUntil(request, now) : std::nullopt;
}

void gate_service::recordOutcome(request_fingerprint request, const gate_answer& answer, time_point now)
{
    if (answer.outcome == verdict::may_have_run && answer.reason == error_code::connection_lost)
        return m_crashes.recordLoss(request, now);
    if (answer.outcome != verdict::ran)
        return;
    m_crashes.recordAnswer(now);
    // A failure may have ended the run before the point at which it would have crashed the backend server.
    if (answer.response.head.status < minFailureStatus && m_hooks.onAnswered)
        m_hooks.onAnswered(request);
}

void gate_service::setMaximumConnections(int count) { m_client->setMaximumConnections(count); }

void gate_service::configure(const service_definition& service)
{
    if (service.maximumConnections > 0)
        setMaximumConnections(service.maximumConnections);
    m_health.configure(service);
}

void gate_service::closeAt(time_point at) { m_closesAt = std::min(m_closesAt, at); }

gate_load gate_service::load() const
{
    gate_load load { m_backend.life, m_queue.load(), 0, m_hooks.mapVersion(), isDraining(), m_hooks.tableStatements(),
        status(boot_clock::now()) };
    if (load.mapVersion == 0)
        return load;
    const double perSecond
        = m_keyLoad.total(boot_clock::now()) / std::chrono::duration<double>(keyLoadTimeConstant).count();
    load.demand = perSecond * std::chrono::duration<double>(m_queue.meanServiceTime()).count() / m_queue.slots();
    return load;
}

/// Other nodes need it only if their deployment uses it to pick backend servers or to admit requests.
std::optional<server_status> gate_service::status(time_point now) const
{
    const auto& scheduling = m_settings.scheduling;
    const bool isUsed = m_statedLoad.last() || m_health.hasLimit() || scheduling.limitsCalls
        || scheduling.usesCompletionTime || scheduling.hedgeShare > 0;
    if (!isUsed)
        return std::nullopt;
    server_status status;
    for (std::size_t level = 0; level < urgencyLevels; ++level)
        status.expectedWaits[level]
            = m_queue.expectedWait(static_cast<int>(level)) + m_statedLoad.wait(m_queue.running());
    const auto recent = m_queue.meanServiceTime();
    status.serviceTime = m_statedLoad.usualServiceTime().value_or(duration::zero());
    status.slowdown = m_statedLoad.slowdown(recent, now);
    status.cold = m_health.status(now);
    return status;
}

void gate_service::recordServiceTime(const gate_request& entry, time_point now)
{
    const bool wasPlausible = m_statedLoad.isPlausible();
    m_statedLoad.observe(entry.request.route, entry.startedAt, now);
    if (m_statedLoad.isPlausible() != wasPlausible)
        logEvent(wasPlausible ? log_event::server_load_implausible : log_event::server_load_plausible,
            { { "backend_server", m_backend.id }, { "service_ms", millisecondsText(now - entry.startedAt) },
                { "stated_slowdown", std::to_string(m_statedLoad.last()->slowdown) } });
}

void gate_service::recordLoad(const backend_answer& info, time_point now)
{
    if (info.load) {
        m_statedLoad.record(*info.load, now);
        return m_health.recordSlowdown(m_statedLoad.last()->slowdown);
    }
    if (info.hasMalformedLoad)
        logEvent(log_event::server_load_rejected, { { "backend_server", m_backend.id } });
}

request_number gate_service::execute(
    routed_request request, answer_function onAnswer, duration deliveryTime, caller_check hasCallerLeft)
{
    const request_number id = ++m_lastNumber;
    if (m_isStopping || request.deadline > m_endsAt) {
        onAnswer(refusal(error_code::draining));
        return id;
    }
    const auto now = boot_clock::now();
    const auto fingerprint = fingerprintOf(request);
    if (const auto until = refusedUntil(fingerprint, now)) {
        logEvent(log_event::request_quarantined,
            { { "request", request.id }, { "route", request.route }, { "fingerprint", fingerprintText(fingerprint) } });
        onAnswer(crashRefusal(*until, now));
        return id;
    }
    m_origins.record(request.route, request.callerService);
    m_requests[id] = { std::move(request), std::move(onAnswer), false, deliveryTime, std::move(hasCallerLeft), now, {},
        nullptr, fingerprint, false, std::nullopt, std::nullopt };
    submit(id);
    return id;
}

duration gate_service::deliveryLateness(const gate_request& entry, time_point now) const
{
    if (entry.deliveryTime < minLinkDelay)
        return {};
    const auto end = now + m_queue.serviceTime(entry.request.route) + entry.deliveryTime;
    return std::max(end - entry.request.objective, duration());
}

void gate_service::submit(request_number id)
{
    auto& entry = m_requests.at(id);
    const auto now = boot_clock::now();
    entry.isAwaitingKey = false;
    if (m_backend.life.empty())
        return answer(id, refusal(error_code::connection_failed));
    if (entry.request.service != m_settings.service)
        return answer(id, refusal(error_code::not_owner));
    if (now >= m_closesAt)
        return answer(id, refusal(error_code::draining));
    if (isEvacuated(entry, now))
        return answer(id, evacuationRefusal());
    if (const auto late = deliveryLateness(entry, now); late > duration()) {
        auto refused = refusal(error_code::overloaded);
        refused.retryAfter = std::max(refused.retryAfter, late);
        return answer(id, std::move(refused));
    }
    if (entry.request.key) {
        const auto access = m_hooks.keyAccess(*entry.request.key);
        if (access == key_access::refuse)
            return answer(id, refusal(error_code::not_owner));
        if (access == key_access::wait) {
            entry.isAwaitingKey = true;
            ++m_awaitingKeys;
            return scheduleSweep();
        }
        m_keyLoad.add(*entry.request.key, 1, now);
    }
    m_health.postponeUnwritten();
    const auto& request = entry.request;
    entry.isNested = request.isFromOwnHost && m_origins.isNested(request.route);
    if (auto refused = refusalForCalls(entry, now))
        return answer(id, std::move(*refused));
    recordArrival(entry, now);
    if (entry.returnKind && m_returns.isHeldBack(returnOf(entry), *entry.returnKind, m_queue, now))
        return answer(id, overloadRefusal(entry, now));
    const auto decision = m_queue.submit(
        { id, entry.isNested, priorityOf(entry), request.route, request.objective, request.deadline,
            m_nested.callHeight(request.route, depthOf(entry)), entry.returnKind == return_kind::on_time },
        now);
    if (decision == queue_decision::run)
        return run(id);
    if (decision == queue_decision::refuse)
        return answer(id, overloadRefusal(entry, now));
    scheduleSweep();
    scheduleStart();
}

int gate_service::priorityOf(const gate_request& entry) const
{
    const bool ranksByCaller = m_settings.scheduling.ranksByCaller && entry.isNested && entry.request.outer;
    return ranksByCaller ? entry.request.outer->priority : entry.request.priority;
}

int gate_service::depthOf(const gate_request& entry) const
{
    return entry.isNested && entry.request.outer ? entry.request.outer->depth : 0;
}

void gate_service::recordEnd(request_number id, const gate_request& entry, const gate_answer& answer, time_point now)
{
    const bool isGood = answer.outcome == verdict::ran && answer.response.head.status < minFailureStatus;
    if (m_nested.onEnded(id, answer.outcome == verdict::ran, isGood, now))
        logEvent(log_event::execution_lost_call,
            { { "request", entry.request.id }, { "route", entry.request.route },
                { "status", answer.outcome == verdict::ran ? std::to_string(answer.response.head.status) : "" },
                { "ran_ms", millisecondsText(now - entry.startedAt) } });
}

void gate_service::run(request_number id)
{
    auto& entry = m_requests.at(id);
    const auto now = boot_clock::now();
    if (now >= m_closesAt || now >= entry.request.deadline) {
        m_queue.finish(id, std::nullopt);
        return answer(id, refusal(now >= m_closesAt ? error_code::draining : error_code::deadline_exceeded));
    }
    if (isEvacuated(entry, now)) {
        m_queue.finish(id, std::nullopt);
        return answer(id, evacuationRefusal());
    }
    if (entry.request.key && m_hooks.keyAccess(*entry.request.key) != key_access::serve) {
        m_queue.finish(id, std::nullopt);
        return submit(id);
    }
    if (const auto until = refusedUntil(entry.fingerprint, now)) {
        m_queue.finish(id, std::nullopt);
        return answer(id, crashRefusal(*until, now));
    }
    if (m_hooks.onRun)
        m_hooks.onRun(entry.fingerprint, m_backend.life);
    entry.startedAt = now;
    entry.life = m_backend.life;
    if (entry.returnKind)
        m_returns.recordStart(returnOf(entry), m_queue.serviceTime(entry.request.route), now);
    m_nested.onStarted(id,
        { entry.request.route, priorityOf(entry), depthOf(entry), entry.request.deadline,
            entry.calls ? entry.calls->rate : 0 });
    http_request message = entry.request.message;
    m_port.addBackendHeaders(
        message.headers, { m_backend.id, entry.request.callerService, entry.request.deadline - now });
    const auto originOf = [this, requestId = entry.request.id](const http_response_head& head) {
        const auto answeredId = m_port.decodeAnswer(head).requestId;
        if (answeredId.empty())
            return answer_origin::unstated;
        if (answeredId == requestId)
            return answer_origin::this_request;
        logEvent(log_event::foreign_answer_dropped, { { "request", requestId }, { "answer_of", answeredId } });
        return answer_origin::other_request;
    };
    entry.call = fetchOwn(*m_client, std::move(message), entry.request.deadline, answerMemory(m_memory),
        { originOf, entry.request.id },
        [this, id](result<http_response> response) { handleResponse(id, std::move(response)); });
    m_health.recordStart(id, entry.call);
    if (!entry.request.message.body.empty())
        m_mostBytesAtBackend = std::max(m_mostBytesAtBackend, bytesAtBackend());
}

bool gate_service::isConnected() const
{
    return m_client->idleCount() > 0 || std::ranges::any_of(m_requests, [](const auto& entry) {
        return entry.second.call && entry.second.call->hasWritten();
    });
}

std::size_t gate_service::bytesAtBackend() const
{
    std::size_t bytes = 0;
    for (const auto& [id, entry] : m_requests)
        bytes += entry.call ? entry.request.message.body.size() : 0;
    return bytes;
}

void gate_service::handleResponse(request_number id, result<http_response> response)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    const auto now = boot_clock::now();
    const std::string detail = response.has_error() ? response.error().message : "";
    const bool isOfPresentLife = found->second.life == m_backend.life;
    const bool mayHaveEnded = response.has_error() && isLoss(response.error().code) && isOfPresentLife;
    if (isUncounted(response))
        m_health.withdrawStart(id);
    const auto fingerprint = found->second.fingerprint;
    if (response.has_error() && response.error().code == error_code::connection_refused)
        m_hooks.onConnectionRefused({ found->second.life, found->second.startedAt, isConnected() });
    auto classified = classify(std::move(response));
    if (classified.outcome != verdict::may_have_run || isOfPresentLife)
        recordOutcome(fingerprint, classified, now);
    const bool isUsual = classified.outcome == verdict::ran && isSuccess(classified.response.head.status);
    const auto serviceTime = now - found->second.startedAt;
    if (isUsual) {
        m_health.recordServiceTime(serviceTime, m_queue.serviceTime(found->second.request.route));
        recordServiceTime(found->second, now);
    }
    m_queue.finish(id, isUsual ? std::optional(serviceTime) : std::nullopt);
    recordEnd(id, found->second, classified, now);
    classified.load = load();
    if (classified.outcome == verdict::may_have_run) {
        logEvent(log_event::request_lost,
            { { "request", found->second.request.id }, { "reason", std::string(toString(classified.reason)) },
                { "fingerprint", fingerprintText(fingerprint) }, { "detail", detail },
                { "backend_server", m_backend.id }, { "route", found->second.request.route },
                { "waited_ms", millisecondsText(found->second.startedAt - found->second.receivedAt) },
                { "ran_ms", millisecondsText(serviceTime) }, { "running", std::to_string(m_queue.running()) },
                { "waiting", std::to_string(m_queue.waiting()) } });
    }
    answer(id, std::move(classified));
    if (mayHaveEnded)
        m_health.suspect();
    runNext();
}

gate_answer gate_service::classify(result<http_response> response)
{
    if (response.has_error()) {
        const auto& reason = response.error();
        auto answer = refusal(reason.code);
        answer.outcome = reason.outcome;
        answer.reachedBackend = reason.outcome != verdict::not_run;
        return answer;
    }
    const auto& head = response.value().head;
    const auto info = m_port.decodeAnswer(head);
    recordLoad(info, boot_clock::now());
    gate_answer answer;
    answer.reachedBackend = true;
    if (info.isNotExecuted || head.status == statusMisdirected) {
        answer = refusal(error_code::refused_by_backend);
        answer.reachedBackend = true;
        return answer;
    }
    if (needsSignature(head.status) && !info.isFromBackend) {
        answer.outcome = verdict::may_have_run;
        answer.reason = error_code::connection_lost;
        return answer;
    }
    answer.outcome = verdict::ran;
    answer.response = std::move(response).value();
    return answer;
}

void gate_service::answer(request_number id, gate_answer result)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    const auto call = std::move(found->second.answer);
    result.timeAtGate = boot_clock::now() - found->second.receivedAt;
    if (found->second.isNested && m_settings.scheduling.ranksByCaller)
        result.nestedHeight = m_nested.callHeight(found->second.request.route, 0);
    if (found->second.isAwaitingKey)
        --m_awaitingKeys;
    m_requests.erase(found);
    call(std::move(result));
}

void gate_service::cancel(request_number id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    m_queue.cancel(id);
    m_queue.finish(id, std::nullopt);
    m_nested.onCancelled(id);
    if (found->second.isAwaitingKey)
        --m_awaitingKeys;
    if (const auto call = found->second.call) {
        if (!call->hasWritten())
            m_health.withdrawStart(id);
        call->cancel();
    }
    m_requests.erase(found);
    runNext();
}

void gate_service::runNext()
{
    m_health.postponeUnwritten();
    while (const auto next = m_queue.takeNext(boot_clock::now())) {
        if (!hasCallerLeft(*next)) {
            run(*next);
            continue;
        }
        // The end of the caller's connection is reported in this turn of the event loop or the next one.
        m_queue.finish(*next, std::nullopt);
        m_requests.erase(*next);
    }
    scheduleStart();
}

void gate_service::scheduleStart()
{
    const auto delay = m_queue.waiting() > 0 ? m_health.startDelay(0) : duration();
    if (delay > duration::zero())
        m_nextStart.startOnce(delay);
}

bool gate_service::hasCallerLeft(request_number id) const
{
    const auto& check = m_requests.at(id).hasCallerLeft;
    return check && check();
}

void gate_service::onKeysChanged()
{
    if (m_awaitingKeys == 0)
        return;
    std::vector<request_number> waiting;
    for (const auto& [id, entry] : m_requests) {
        if (entry.isAwaitingKey)
            waiting.push_back(id);
    }
    for (const auto id : waiting) {
        if (!m_requests.contains(id))
            continue;
        --m_awaitingKeys;
        submit(id);
    }
}

void gate_service::startEvacuation(time_point keysUntil)
{
    m_evacuation.begin(keysUntil);
    refuseEvacuated();
}

void gate_service::endEvacuation()
{
    const bool isReopened = m_evacuation.hasBegun();
    m_evacuation.end();
    m_evacuationTimer.stop();
    if (isReopened && m_hooks.onEvacuationEnded)
        m_hooks.onEvacuationEnded();
}

bool gate_service::isEvacuated(const gate_request& entry, time_point now) const
{
    return m_evacuation.refuses(entry.request.key.has_value(), now);
}

void gate_service::refuseEvacuated()
{
    const auto now = boot_clock::now();
    // A timer may run a few milliseconds early.
    if (m_evacuation.hasBegun() && now < m_evacuation.keysUntil())
        m_evacuationTimer.startAt(m_evacuation.keysUntil());
    std::vector<request_number> refused;
    for (const auto& [id, entry] : m_requests) {
        if (entry.startedAt == time_point() && isEvacuated(entry, now))
            refused.push_back(id);
    }
    for (const auto id : refused) {
        m_queue.cancel(id);
        answer(id, evacuationRefusal());
    }
}

void gate_service::scheduleSweep()
{
    if (!m_sweep.isPending())
        m_sweep.startOnce(sweepInterval);
}

void gate_service::sweep()
{
    const auto now = boot_clock::now();
    for (const auto id : m_queue.takeUnservable(now)) {
        // The answer to another one may have cancelled it.
        if (const auto found = m_requests.find(id); found != m_requests.end())
            answer(id, overloadRefusal(found->second, now));
    }
    std::vector<request_number> late;
    for (const auto& [id, entry] : m_requests) {
        if (entry.isAwaitingKey && now + m_queue.serviceTime(entry.request.route) > entry.request.deadline)
            late.push_back(id);
    }
    for (const auto id : late)
        answer(id, refusal(error_code::not_owner));
    runNext();
    if (m_queue.waiting() > 0 || m_awaitingKeys > 0)
        scheduleSweep();
}

} // namespace heatherdrift
