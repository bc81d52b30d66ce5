#include "load/internal/load_call.h"

#include "routing/call.h"

namespace heatherdrift {

namespace {

    /// The answer of a node at the deadline should arrive before this caller gives up.
    constexpr duration answerGrace = std::chrono::seconds(1);
    /// Answers differ in size by request number, so that an answer to another request for the same key is noticed even
    /// if the request has no body. The number is a prime, so that no pattern of kinds and entry nodes repeats with it.
    constexpr std::uint64_t sizeSpread = 61;

    std::string formatLabels(const std::map<std::string, std::string>& labels)
    {
        std::string text;
        for (const auto& [name, value] : labels)
            text.append(text.empty() ? "" : ",").append(name).append("=").append(value);
        return text;
    }

    std::string toBody(const request_kind& kind, std::uint64_t number)
    {
        if (kind.bodyBytes == 0)
            return "";
        std::string body = "request " + std::to_string(number) + "\n";
        body.resize(std::max(body.size(), kind.bodyBytes), '.');
        return body;
    }

    std::optional<failure> readFailure(const http_response_head& head, bool isDirect)
    {
        const auto error = head.headers.find(header::error);
        if (error) {
            const auto outcome = parseVerdict(head.headers.find(header::verdict).value_or(""));
            return failure { outcome.value_or(verdict::may_have_run),
                parseErrorCode(*error).value_or(error_code::internal), std::string(*error) };
        }
        const bool isSuccess = head.status >= 200 && head.status < 300;
        const bool hasVerdict = head.headers.find(header::verdict).has_value();
        if (isSuccess && (isDirect || hasVerdict))
            return std::nullopt;
        const auto outcome = hasVerdict ? verdict::ran : verdict::may_have_run;
        return failure { outcome, error_code::internal, "status_" + std::to_string(head.status) };
    }

} // namespace

load_call::load_call(load_context& context, const request_kind& kind, http_client& client, std::uint64_t number,
    std::string key, duration intended, end_function onEnd)
    : m_context(context)
    , m_kind(kind)
    , m_client(client)
    , m_number(number)
    , m_responseBytes(kind.responseBytes + number % sizeSpread)
    , m_body(toBody(kind, number))
    , m_onEnd(std::move(onEnd))
    , m_resend(context.base, [this] { send(); })
{
    m_outcome.key = std::move(key);
    m_outcome.intended = intended;
}

http_request load_call::toRequest() const
{
    http_request request { m_kind.method, m_kind.target, {}, m_body };
    auto& headers = request.headers;
    const auto milliseconds = [](duration value) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
    };
    headers.add(header::labels, formatLabels(m_kind.labels));
    headers.add(header::timeoutMilliseconds, milliseconds(m_kind.timeout));
    headers.add("standin-service-ms", milliseconds(m_kind.serviceTime));
    headers.add("standin-response-bytes", std::to_string(m_responseBytes));
    if (m_kind.bytesPerSecond > 0)
        headers.add("standin-rate-bytes-per-s", std::to_string(m_kind.bytesPerSecond));
    if (!m_outcome.key.empty())
        headers.add(header::key, m_outcome.key);
    if (!m_kind.customer.empty())
        headers.add(header::customer, m_kind.customer);
    if (!m_token.empty())
        headers.add(header::token, m_token);
    if (m_context.settings.isDirect)
        headers.add(header::requestId, "load-" + std::to_string(m_number));
    return request;
}

asked_answer load_call::toAskedAnswer() const
{
    asked_answer asked { m_outcome.key, m_body, m_responseBytes, "", m_outcome.resends > 0 };
    asked.requestId = m_context.settings.isDirect ? "load-" + std::to_string(m_number)
                                                  : std::string(m_head.headers.find(header::requestId).value_or(""));
    return asked;
}

void load_call::send()
{
    m_head = {};
    m_check = nullptr;
    http_call_handlers handlers;
    handlers.onHead = [this](const http_response_head& head) { onHead(head); };
    handlers.onData = [this](std::string_view part) {
        if (m_check)
            m_check->add(part);
    };
    // The function keeps the call alive; it is released when the HTTP call has ended.
    handlers.onDone = [self = shared_from_this()](const result<void>& how) { self->onDone(how); };
    m_client.start(toRequest(), boot_clock::now() + m_kind.timeout + answerGrace, std::move(handlers));
}

void load_call::onHead(const http_response_head& head)
{
    m_head = head;
    if (!readFailure(head, m_context.settings.isDirect))
        m_check = std::make_unique<answer_check>(toAskedAnswer());
}

void load_call::onDone(const result<void>& how)
{
    if (how.has_error()) {
        m_outcome.isCut = m_check != nullptr;
        auto reason = how.error();
        reason.message = "caller_" + std::string(toString(reason.code));
        m_context.counts.withoutConnection += reason.code == error_code::overloaded;
        return resendOrEnd(reason);
    }
    if (const auto reason = readFailure(m_head, m_context.settings.isDirect))
        return failed(*reason);
    answered();
}

void load_call::failed(const failure& reason)
{
    const auto token = m_head.headers.find(header::token);
    if (m_kind.isOnce && reason.code == error_code::token_required && token && m_token.empty()) {
        m_token = *token;
        m_outcome.hasToken = true;
        return send();
    }
    resendOrEnd(reason);
}

void load_call::answered()
{
    m_outcome.outcome = verdict::ran;
    m_outcome.isCut = false;
    m_outcome.error.clear();
    m_outcome.finding = m_check->finish();
    if (m_outcome.finding == answer_finding::right && !m_context.answers.add(m_check->id(), m_number))
        m_outcome.finding = answer_finding::duplicate;
    m_outcome.isAnswered = m_outcome.finding == answer_finding::right;
    if (!m_outcome.isAnswered)
        m_outcome.error = "bad_answer";
    end();
}

void load_call::resendOrEnd(const failure& reason)
{
    m_outcome.error = reason.message;
    m_mayHaveRun = m_mayHaveRun || reason.outcome == verdict::may_have_run;
    // A resend that was not run says nothing about the sending before it.
    m_outcome.outcome = m_mayHaveRun && reason.outcome == verdict::not_run ? verdict::may_have_run : reason.outcome;
    const bool isUnknown = m_outcome.outcome == verdict::may_have_run;
    // With a spent token no resend will say more.
    const bool isFinal = reason.code == error_code::token_stale;
    if (isUnknown && !isFinal && !m_token.empty() && m_outcome.resends < m_context.settings.resends) {
        ++m_outcome.resends;
        m_resend.startOnce(m_context.settings.resendDelay);
        return;
    }
    end();
}

void load_call::end()
{
    m_outcome.latency
        = std::chrono::duration_cast<duration>(boot_clock::now() - m_context.startedAt) - m_outcome.intended;
    const auto keepAlive = shared_from_this();
    m_onEnd(*this, m_outcome);
}

} // namespace heatherdrift
