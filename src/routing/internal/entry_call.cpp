#include "routing/internal/entry_call.h"

#include "base/json_reader.h"
#include "telemetry/log_event.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr duration inquiryTimeout = std::chrono::seconds(1);
    constexpr std::size_t inquiryBodyLimit = 4096;
    /// Maximum delay after a new snapshot, randomised so that waiting calls do not all start in the same millisecond.
    constexpr duration maxWakeDelay = std::chrono::milliseconds(5);

    /// Errors after which another attempt can succeed once the owner or its state has changed.
    bool dependsOnRoute(error_code code)
    {
        switch (code) {
        case error_code::not_owner:
        case error_code::no_owner:
        case error_code::lease_expired:
        case error_code::draining:
        case error_code::connection_failed:
        case error_code::connection_lost:
        case error_code::connection_refused:
        case error_code::refused_by_backend:
        case error_code::unreachable:
            return true;
        default:
            return false;
        }
    }

    /// Errors after which a call without key ownership may be sent to another member.
    bool dependsOnMember(error_code code) { return dependsOnRoute(code) || code == error_code::overloaded; }

} // namespace

entry_call::entry_call(entry_router& router, http_exchange_ptr exchange, std::string requestId)
    : m_router(&router)
    , m_exchange(std::move(exchange))
    , m_requestId(std::move(requestId))
    , m_relay(std::make_shared<answer_relay>(m_exchange, router.m_limits.streamBufferBytes))
    , m_retry(router.m_base, [this] { attempt(); })
    , m_startedAt(router.m_hooks.now())
{
}

void entry_call::begin()
{
    m_exchange->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerClosed();
    });
    const auto& snapshot = m_router->m_snapshot;
    if (!snapshot || !snapshot->configuration)
        return fail(notRun(error_code::no_selector, "this node has no configuration yet"));
    auto parsed = parseCall(m_exchange->request(), m_requestId, *snapshot->configuration, m_startedAt);
    if (parsed.has_error())
        return fail(parsed.error());
    m_call = std::move(parsed).value();
    m_parentSpan = m_exchange->request().headers.find(header::traceparent) ? m_call->trace.spanId : "";
    m_call->trace = childOf(m_call->trace);
    m_router->m_hooks.onFirstAttempt();
    attempt();
}

std::optional<instance_ref> entry_call::chooseOwner() const
{
    const auto& snapshot = *m_router->m_snapshot;
    if (m_call->policy.ownership == ownership_need::none)
        return m_router->m_hooks.memberSelection.pick(snapshot, m_call->pool, m_lastFailed);
    const auto* pool = snapshot.configuration->findPool(m_call->pool);
    const auto found = pool ? snapshot.partitions.find(*pool, m_call->key) : std::nullopt;
    if (!found || !found->owner)
        return std::nullopt;
    return *found->owner;
}

void entry_call::attempt()
{
    if (m_isOver)
        return;
    m_isWaitingForRoute = false;
    m_retry.stop();
    if (m_router->m_hooks.now() >= m_call->deadline)
        return fail(notRun(error_code::deadline_exceeded, "the deadline passed before the request could be sent"));
    const auto owner = chooseOwner();
    if (!owner)
        return waitForRoute(notRun(error_code::no_owner, "no instance owns the key or serves the pool"));
    send(*owner);
}

void entry_call::send(const instance_ref& owner)
{
    ++m_attempts;
    m_target = owner;
    m_attemptAt = m_router->m_hooks.now();
    m_headFailure.reset();
    if (m_call->policy.ownership == ownership_need::none)
        m_router->m_hooks.memberSelection.onStarted(owner);
    http_call_handlers handlers;
    handlers.onHead = [this](const http_response_head& head) { onHead(head); };
    handlers.onData = [this](std::string_view data) { onData(data); };
    handlers.onDone = [this](const result<void>& how) { onDone(how); };
    auto attempted = *m_call;
    attempted.requestId = attemptId();
    m_running = owner == m_router->m_self
        ? m_router->m_executor.run(std::move(attempted), { owner }, std::move(handlers))
        : forward(attempted, owner, std::move(handlers));
    if (m_running)
        m_relay->setSource(m_running);
    else
        attemptFailed(notRun(error_code::connection_failed, "the owner's address is not known"));
}

http_call_ptr entry_call::forward(const call& attempted, const instance_ref& owner, http_call_handlers handlers)
{
    auto* client = m_router->m_peers.find(*m_router->m_snapshot, owner);
    if (!client)
        return nullptr;
    return client->start(toForwardedRequest(attempted, { owner }, m_router->m_hooks.now()),
        attempted.deadline + m_router->m_limits.ownerSlack, std::move(handlers));
}

std::optional<failure> entry_call::readFailure(const http_response_head& head) const
{
    const auto stated = parseFailure(head);
    if (stated)
        return stated;
    if (head.headers.find(header::verdict))
        return std::nullopt;
    // Whatever has answered, it states nothing of the request.
    return mayHaveRun(error_code::internal, "the owner's node answered without a verdict");
}

void entry_call::onHead(const http_response_head& head)
{
    const auto keepAlive = shared_from_this();
    const auto echoed = head.headers.find(header::requestId);
    if (echoed && *echoed != attemptId()) {
        logEvent(
            log_event::foreign_answer_dropped, { { "request", attemptId() }, { "answer_of", std::string(*echoed) } });
        m_running->cancel();
        return attemptFailed(mayHaveRun(error_code::connection_lost, "the answer belongs to another request"));
    }
    m_headFailure = readFailure(head);
    if (m_headFailure && m_headFailure->code != error_code::token_required)
        return;
    relay(head);
}

void entry_call::relay(const http_response_head& head)
{
    http_response_head passed = head;
    passed.headers.set(header::requestId, m_requestId);
    m_answeredError.clear();
    m_answered = verdict::ran;
    if (m_headFailure) {
        m_answered = m_headFailure->outcome;
        m_answeredError = toString(m_headFailure->code);
    }
    m_headFailure.reset();
    m_relay->start(passed);
}

void entry_call::onData(std::string_view data)
{
    const auto keepAlive = shared_from_this();
    if (!m_headFailure && !m_isOver)
        m_relay->sendData(data);
}

void entry_call::onDone(const result<void>& how)
{
    const auto keepAlive = shared_from_this();
    if (m_isOver)
        return;
    if (m_relay->hasStarted()) {
        recordAttemptEnd(how.has_error() ? call_observation::kind::failure : call_observation::kind::success);
        if (how.has_value())
            m_relay->finish();
        else
            m_relay->abort();
        return finish(m_answered, how.has_value() ? m_answeredError : toString(how.error().code));
    }
    if (m_headFailure)
        return attemptFailed(*m_headFailure);
    attemptFailed(
        how.has_error() ? how.error() : mayHaveRun(error_code::internal, "the response ended without a head"));
}

void entry_call::recordAttemptEnd(call_observation::kind how)
{
    m_running = nullptr;
    m_relay->setSource(nullptr);
    if (m_call->policy.ownership != ownership_need::none || !m_target)
        return;
    call_observation observation { how, std::nullopt };
    if (m_call->policy.length == call_length::short_call)
        observation.latency = m_router->m_hooks.now() - m_attemptAt;
    m_router->m_hooks.memberSelection.onEnded(*m_target, observation);
}

void entry_call::attemptFailed(failure reason)
{
    const bool isRefusal = reason.code == error_code::overloaded || reason.code == error_code::draining;
    recordAttemptEnd(isRefusal ? call_observation::kind::refused : call_observation::kind::failure);
    m_lastFailed = m_target->id;
    const bool isRemote = *m_target != m_router->m_self;
    const bool isConnectionLoss = reason.code == error_code::connection_lost || reason.code == error_code::unreachable;
    if (isRemote && isConnectionLoss && reason.outcome == verdict::may_have_run)
        return inquire(reason);
    retryOrFail(reason);
}

void entry_call::inquire(const failure& reason)
{
    auto* client = m_router->m_peers.find(*m_router->m_snapshot, *m_target);
    const auto now = m_router->m_hooks.now();
    if (!client || now >= m_call->deadline)
        return retryOrFail(reason);
    const auto ago = now - m_attemptAt;
    http_request request { "POST", "/v1/outcomes/" + attemptId(), {}, "" };
    request.headers.add(header::target, toString(*m_target));
    request.body = json { { "sent_ago_us", ago.count() } }.dump();
    m_inquiry = fetch(*client, std::move(request), std::min(now + inquiryTimeout, m_call->deadline), inquiryBodyLimit,
        [weak = weak_from_this(), reason](const result<http_response>& answer) {
            if (const auto self = weak.lock())
                self->onInquiryAnswer(reason, answer);
        });
}

void entry_call::onInquiryAnswer(const failure& reason, const result<http_response>& answer)
{
    m_inquiry = nullptr;
    if (m_isOver)
        return;
    if (answer.has_error() || answer.value().head.status != 200)
        return retryOrFail(reason);
    switch (parseInquiryAnswer(answer.value().body)) {
    case request_state::refused:
        return retryOrFail(notRun(reason.code, "the owner's node will not run the request"));
    case request_state::answered:
        // A resend with the same token returns the kept response, or an error if it was not kept.
        if (m_call->policy.once == once_mode::token) {
            m_mayHaveRun = true;
            return attempt();
        }
        return retryOrFail(reason);
    default:
        return retryOrFail(reason);
    }
}

void entry_call::retryOrFail(const failure& reason)
{
    m_mayHaveRun = m_mayHaveRun || reason.outcome == verdict::may_have_run;
    if (!mayRetry(reason, m_call->policy))
        return fail(reason);
    const bool isOwned = m_call->policy.ownership != ownership_need::none;
    if (isOwned && dependsOnRoute(reason.code))
        return waitForRoute(reason);
    if (!isOwned && dependsOnMember(reason.code) && m_router->m_hooks.tryRetry()) {
        m_retry.startOnce(nextBackoff());
        return;
    }
    fail(reason);
}

void entry_call::waitForRoute(const failure& reason)
{
    const auto now = m_router->m_hooks.now();
    if (now >= m_call->deadline)
        return fail({ reason.outcome, error_code::deadline_exceeded, "the deadline passed: " + reason.message });
    m_isWaitingForRoute = true;
    // A new snapshot wakes the call immediately. The timer covers changes without a new snapshot, such as a lease that
    // is valid again; retries by timer spend the retry budget.
    const auto backoff = nextBackoff();
    if (m_attempts == 0 || m_router->m_hooks.tryRetry())
        m_retry.startAt(std::min(now + backoff, m_call->deadline));
    else
        m_retry.startAt(std::min(now + m_router->m_limits.maxBackoff, m_call->deadline));
}

duration entry_call::nextBackoff()
{
    const auto doublings = std::clamp(m_attempts, 0, 10);
    const auto maxDelay = std::min(m_router->m_limits.initialBackoff * (1 << doublings), m_router->m_limits.maxBackoff);
    return std::chrono::duration_cast<duration>(maxDelay * (0.5 + 0.5 * m_router->m_hooks.jitter()));
}

void entry_call::wake()
{
    if (!m_isWaitingForRoute || m_isOver)
        return;
    const auto owner = chooseOwner();
    // The backoff timer keeps running if the snapshot did not change this call's owner.
    if (owner && owner != m_target)
        m_retry.startOnce(std::chrono::duration_cast<duration>(maxWakeDelay * m_router->m_hooks.jitter()));
}

void entry_call::fail(failure reason)
{
    if (m_mayHaveRun && reason.outcome == verdict::not_run)
        reason.outcome = verdict::may_have_run;
    const auto keepAlive = shared_from_this();
    m_exchange->respond(toFailureResponse(reason, m_requestId));
    finish(reason.outcome, toString(reason.code));
}

void entry_call::finish(verdict outcome, std::string_view error)
{
    if (std::exchange(m_isOver, true))
        return;
    m_retry.stop();
    m_exchange->onClosed(nullptr);
    auto& hooks = m_router->m_hooks;
    const auto now = hooks.now();
    hooks.onFinished(m_call ? m_call->selector : "", outcome, error, now - m_startedAt);
    if (hooks.spans && m_call && m_call->trace.isSampled) {
        hooks.spans({ m_call->trace, m_parentSpan, "entry", toString(m_router->m_self), m_startedAt, now,
            std::string(toString(outcome)), std::string(error) });
    }
    m_router->removeCall(*this);
}

void entry_call::onCallerClosed()
{
    if (m_isOver)
        return;
    const auto keepAlive = shared_from_this();
    if (m_running) {
        m_running->cancel();
        recordAttemptEnd(call_observation::kind::cancelled);
    }
    if (m_inquiry)
        m_inquiry->cancel();
    finish(m_attempts > 0 ? verdict::may_have_run : verdict::not_run, toString(error_code::cancelled));
}

void entry_call::detach()
{
    m_isOver = true;
    m_retry.stop();
    m_exchange->onClosed(nullptr);
    if (m_running)
        m_running->cancel();
    if (m_inquiry)
        m_inquiry->cancel();
}

} // namespace heatherdrift
