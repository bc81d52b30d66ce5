#include "routing/internal/executed_call.h"

#include "base/hash.h"

namespace heatherdrift {

namespace {

    constexpr int minFailureStatus = 500;

    /// Response head for the caller, made from the backend server's.
    http_response_head answeredHead(const http_response_head& source, const call& of, const instance_ref& self)
    {
        http_response_head head { source.status, {} };
        for (const auto& [name, value] : source.headers.fields()) {
            const bool isOwn = isSameHeaderName(name, header::verdict) || isSameHeaderName(name, header::requestId)
                || isSameHeaderName(name, header::error) || isSameHeaderName(name, header::owner);
            if (!isOwn && !isHopByHopHeader(name))
                head.headers.add(name, value);
        }
        head.headers.add(header::verdict, std::string(toString(verdict::ran)));
        head.headers.add(header::requestId, of.requestId);
        head.headers.add(header::owner, toString(self));
        return head;
    }

    /// A backend server can state with the verdict header and an error status that it did not run the request.
    bool statesNotRun(const http_response_head& head)
    {
        return head.status >= 400 && head.headers.find(header::verdict) == toString(verdict::not_run);
    }

    admission_end admissionEndOf(const result<void>& how, bool hasFailureStatus)
    {
        if (how.has_value())
            return hasFailureStatus ? admission_end::answered_with_failure : admission_end::answered;
        switch (how.error().code) {
        case error_code::refused_by_backend:
            return admission_end::shed;
        case error_code::connection_lost:
        case error_code::connection_failed:
        case error_code::connection_refused:
        case error_code::unreachable:
            return admission_end::failed;
        default:
            return admission_end::cancelled;
        }
    }

    bool isForeign(const http_response_head& head, const call& of)
    {
        const auto echoed = head.headers.find(header::requestId);
        return echoed && *echoed != of.requestId;
    }

    /// Only a refusal has to name its call: a backend server may leave the id out of other answers, and one with the id
    /// of another call ends the call in onHead().
    answer_origin originOf(const http_response_head& head)
    {
        const bool isUnstated = statesNotRun(head) && !head.headers.find(header::requestId);
        return isUnstated ? answer_origin::unstated : answer_origin::this_request;
    }

} // namespace

request_fingerprint fingerprintOf(const call& source)
{
    const auto& request = source.request;
    return fingerprintOf(
        request_content { source.pool, request.method, request.target, source.key, request.body, source.token });
}

executed_call::executed_call(
    call_executor& executor, std::uint64_t id, call source, call_target target, http_call_handlers handlers)
    : m_executor(&executor)
    , m_id(id)
    , m_call(std::move(source))
    , m_target(std::move(target))
    , m_handlers(std::move(handlers))
    , m_begin(executor.m_base, [this] { begin(); })
    , m_claimDeadline(executor.m_base, [this] { onDeadline(); })
{
}

void executed_call::scheduleBegin()
{
    m_begin.startOnce({});
    m_claimDeadline.startAt(m_call.deadline);
}

void executed_call::onDeadline()
{
    if (m_stage == stage::created || m_stage == stage::claiming)
        end(notRun(error_code::deadline_exceeded, "the deadline passed before the call was allowed to run"));
}

time_point executed_call::now() const { return m_executor->m_hooks.now(); }

void executed_call::begin()
{
    const auto keepAlive = shared_from_this();
    if (m_stage != stage::created)
        return;
    if (const auto grant = m_executor->authorize(m_call, m_target); grant.has_error())
        return end(grant.error());
    if (!m_executor->m_requests.begin(m_call.requestId, now())) {
        return end(
            notRun(error_code::cancelled, "the request id was refused by an earlier inquiry or was used before"));
    }
    m_isRegistered = true;
    m_stage = stage::claiming;
    switch (m_call.policy.once) {
    case once_mode::none:
    case once_mode::backend_server:
        return submit();
    case once_mode::token:
        return claimToken();
    case once_mode::intent_row:
        return insertIntent();
    }
}

void executed_call::claimToken()
{
    if (m_call.token.empty())
        return respondWithNewToken();
    const auto parsed = parseToken(m_call.token);
    if (parsed.has_error())
        return end(parsed.error());
    const auto& token = parsed.value();
    const auto fingerprint = fingerprintOf(m_call);
    auto& ledger = m_executor->m_once;
    if (ledger.isOwn(token)) {
        m_token = token;
        return handleClaimAnswer(ledger.claim(token, fingerprint, m_call.requestId, now()));
    }
    auto remote = ledger.findRemoteClaim(token, fingerprint, m_call.requestId);
    if (remote.has_error())
        return end(remote.error());
    if (remote.value()) {
        m_token = token;
        return handleClaimAnswer(*remote.value());
    }
    m_executor->m_hooks.claimAtIssuer(token, fingerprint, m_call.requestId, m_call.deadline,
        [weak = weak_from_this(), token](const result<claim_answer>& answer) {
            if (const auto self = weak.lock())
                self->onIssuerAnswer(token, answer);
        });
}

void executed_call::onIssuerAnswer(const once_token& token, const result<claim_answer>& answer)
{
    if (m_stage != stage::claiming)
        return;
    if (answer.has_value() && answer.value().what == claim_answer::kind::granted) {
        m_executor->m_once.addRemoteClaim(token, fingerprintOf(m_call), m_call.requestId, now());
        m_token = token;
    }
    handleClaimAnswer(answer);
}

void executed_call::handleClaimAnswer(const result<claim_answer>& answer)
{
    if (answer.has_error()) {
        m_token.reset();
        return end(answer.error());
    }
    switch (answer.value().what) {
    case claim_answer::kind::granted:
        return submit();
    case claim_answer::kind::repeated:
        m_token.reset();
        return respondFromClaim(answer.value());
    case claim_answer::kind::unknown:
        m_token.reset();
        return end(mayHaveRun(
            error_code::token_stale, "the token's issuer is unreachable or no longer has a record of the token"));
    }
}

void executed_call::insertIntent()
{
    if (m_call.token.empty()) {
        return end(
            notRun(error_code::token_required, "the caller must choose a unique heatherdrift-token for this call"));
    }
    const auto key = std::to_string(hashBytes(m_call.pool, hashBytes(m_call.key))) + "~" + m_call.token;
    m_executor->m_hooks.insertIntent(
        key, m_call.requestId, m_call.deadline, [weak = weak_from_this()](const result<void>& inserted) {
            const auto self = weak.lock();
            if (!self || self->m_stage != stage::claiming)
                return;
            if (inserted.has_error())
                return self->end(inserted.error());
            self->submit();
        });
}

void executed_call::submit()
{
    m_stage = stage::queued;
    m_executor->submit(*this);
}

void executed_call::respondWithNewToken()
{
    auto issued = m_executor->m_once.issue(now());
    if (issued.has_error())
        return end(issued.error());
    const auto reason = notRun(error_code::token_required, "send the request again with the token of this answer");
    auto response = toFailureResponse(reason, m_call.requestId);
    response.head.headers.add(header::token, std::move(issued).value());
    respond(std::move(response.head), std::move(response.body), request_state::refused);
}

void executed_call::respondFromClaim(const claim_answer& claim)
{
    if (claim.answer) {
        auto head = claim.answer->head;
        head.headers.set(header::requestId, m_call.requestId);
        return respond(std::move(head), claim.answer->body, request_state::answered);
    }
    if (claim.state == run_state::answered) {
        return end(failure { verdict::ran, error_code::token_spent, "the call ran, but its response was not kept" });
    }
    end(mayHaveRun(error_code::token_spent, "an earlier request with this token was started and may have run"));
}

void executed_call::respond(http_response_head head, std::string body, request_state state)
{
    const auto keepAlive = shared_from_this();
    if (m_handlers.onHead)
        m_handlers.onHead(head);
    if (m_handlers.onData && m_stage != stage::ended)
        m_handlers.onData(body);
    end(state, outcome::success());
}

void executed_call::start()
{
    const auto keepAlive = shared_from_this();
    m_stage = stage::running;
    // Checked again because ownership may have changed in the queue and the call cannot be withdrawn after this point.
    const auto grant = m_executor->authorize(m_call, m_target);
    if (grant.has_error())
        return end(grant.error());
    if (now() >= m_call.deadline)
        return end(notRun(error_code::deadline_exceeded, "the deadline passed in the queue"));
    if (grant.value())
        m_partition = partition_id { grant.value()->pool, grant.value()->partition };
    if (m_token)
        m_executor->m_once.setStarted(*m_token);
    m_startedAt = now();
    http_call_handlers handlers;
    handlers.matching = { originOf, m_call.requestId };
    handlers.onHead = [this](const http_response_head& head) { onHead(head); };
    handlers.onData = [this](std::string_view data) { onData(data); };
    handlers.onDone = [this](const result<void>& how) { onDone(how); };
    m_upstream = m_executor->m_backend->start(
        m_call.policy.length, toBackendRequest(m_call, grant.value(), now()), m_call.deadline, std::move(handlers));
}

void executed_call::onHead(const http_response_head& head)
{
    const auto keepAlive = shared_from_this();
    if (isForeign(head, m_call)) {
        m_upstream->cancel();
        return end(mayHaveRun(error_code::connection_lost, "the answer belongs to another request"));
    }
    if (statesNotRun(head)) {
        m_refusal = notRun(error_code::refused_by_backend, "the backend server did not run the request");
        return;
    }
    m_hasFailureStatus = head.status >= minFailureStatus;
    const auto answered = answeredHead(head, m_call, m_executor->m_settings.self);
    if (m_token)
        m_replay.head = answered;
    if (m_handlers.onHead)
        m_handlers.onHead(answered);
}

void executed_call::onData(std::string_view data)
{
    const auto keepAlive = shared_from_this();
    if (m_refusal || m_stage == stage::ended)
        return;
    if (m_token)
        recordForReplay(data);
    if (m_handlers.onData)
        m_handlers.onData(data);
}

void executed_call::recordForReplay(std::string_view data)
{
    // One byte above the limit lets the ledger detect that the response is too large to keep.
    const auto maxBytes = m_executor->m_settings.once.answerBytes + 1;
    if (m_replay.body.size() < maxBytes)
        m_replay.body.append(data.substr(0, maxBytes - m_replay.body.size()));
}

void executed_call::onDone(const result<void>& how)
{
    if (m_stage == stage::ended)
        return;
    if (m_refusal)
        return end(*m_refusal);
    if (how.has_value()) {
        if (m_token)
            m_executor->m_once.setAnswered(*m_token, std::move(m_replay));
        return end(outcome::success());
    }
    end(how);
}

void executed_call::refuse(failure reason) { end(std::move(reason)); }

void executed_call::onLeaseEnd()
{
    const bool hadWritten = hasWritten();
    if (m_upstream)
        m_upstream->cancel();
    const std::string message = "the lease ended while the call was running";
    end(hadWritten ? mayHaveRun(error_code::lease_expired, message) : notRun(error_code::lease_expired, message));
}

void executed_call::cancel()
{
    m_handlers = {};
    if (m_stage == stage::ended)
        return;
    const bool hadWritten = hasWritten();
    if (m_upstream)
        m_upstream->cancel();
    end(hadWritten ? mayHaveRun(error_code::cancelled, "cancelled") : notRun(error_code::cancelled, "cancelled"));
}

void executed_call::detach()
{
    m_handlers = {};
    m_begin.stop();
    m_claimDeadline.stop();
    if (m_upstream)
        m_upstream->cancel();
    m_stage = stage::ended;
}

void executed_call::pause()
{
    if (m_upstream)
        m_upstream->pause();
}

void executed_call::resume()
{
    if (m_upstream)
        m_upstream->resume();
}

std::optional<partition_id> executed_call::heldPartition() const
{
    const bool needsOwnership = m_call.policy.ownership == ownership_need::run;
    return m_stage == stage::running && needsOwnership ? m_partition : std::nullopt;
}

void executed_call::end(const result<void>& how)
{
    if (how.has_value() || how.error().outcome == verdict::ran)
        return end(request_state::answered, how);
    end(how.error().outcome == verdict::not_run ? request_state::refused : request_state::unknown, how);
}

void executed_call::end(request_state state, const result<void>& how)
{
    if (m_stage == stage::ended)
        return;
    const auto keepAlive = shared_from_this();
    const bool heldSlot = m_stage == stage::running;
    m_stage = stage::ended;
    m_begin.stop();
    m_claimDeadline.stop();
    if (m_isRegistered)
        m_executor->m_requests.finish(m_call.requestId, state, now());
    if (m_token && state == request_state::refused)
        m_executor->m_once.release(*m_token);
    if (m_token && state == request_state::unknown)
        m_executor->m_once.setUnknown(*m_token);
    const auto handlers = std::exchange(m_handlers, {});
    if (heldSlot)
        m_executor->m_load.add(m_partition, m_call.key, now() - m_startedAt);
    m_executor->onCallEnded(*this, heldSlot ? std::optional(admissionEndOf(how, m_hasFailureStatus)) : std::nullopt);
    if (handlers.onDone)
        handlers.onDone(how);
}

} // namespace heatherdrift
