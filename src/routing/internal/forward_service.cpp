#include "routing/forward_service.h"

#include "base/enum_names.h"
#include "base/json_reader.h"
#include "routing/answer_relay.h"

namespace heatherdrift {

namespace {

    constexpr std::string_view outcomePath = "/v1/outcomes/";
    constexpr std::string_view claimPath = "/v1/claims";

    constexpr name_table<claim_answer::kind, 3> kindNames { {
        { claim_answer::kind::granted, "granted" },
        { claim_answer::kind::repeated, "repeated" },
        { claim_answer::kind::unknown, "unknown" },
    } };

    constexpr name_table<run_state, 4> stateNames { {
        { run_state::claimed, "claimed" },
        { run_state::started, "started" },
        { run_state::answered, "answered" },
        { run_state::unknown, "unknown" },
    } };

    json toJson(const http_response& response)
    {
        return { { "status", response.head.status }, { "headers", response.head.headers.fields() },
            { "body", json::binary({ response.body.begin(), response.body.end() }) } };
    }

    http_response parseResponse(const json& document)
    {
        http_response response;
        response.head.status = document.at("status").get<int>();
        for (const auto& field : document.at("headers"))
            response.head.headers.add(field.at(0).get<std::string>(), field.at(1).get<std::string>());
        const auto& body = document.at("body").get_binary();
        response.body.assign(body.begin(), body.end());
        return response;
    }

    // CBOR, because the body of a kept response may be binary.
    std::string encode(const json& document)
    {
        const auto bytes = json::to_cbor(document);
        return { bytes.begin(), bytes.end() };
    }

    struct claim_request {
        std::string token;
        std::uint64_t fingerprint = 0;
        std::string claimant;
    };

    result<claim_request> parseClaimRequest(const std::string& body)
    {
        const auto document = json::from_cbor(body, true, false);
        if (document.is_discarded())
            return notRun(error_code::bad_request, "malformed claim request");
        json_reader reader(document, "", error_code::bad_request);
        claim_request request;
        std::string fingerprint;
        reader.readString("token", request.token);
        reader.readString("fingerprint", fingerprint);
        reader.readString("claimant", request.claimant);
        BOOST_OUTCOME_TRYV(reader.finish());
        request.fingerprint = std::strtoull(fingerprint.c_str(), nullptr, 10);
        return request;
    }

    json toJson(const claim_answer& answer)
    {
        json document = { { "kind", nameOf(kindNames, answer.what) }, { "claimant", answer.claimant },
            { "state", nameOf(stateNames, answer.state) } };
        if (answer.answer)
            document["answer"] = toJson(*answer.answer);
        return document;
    }

} // namespace

http_request toClaimRequest(
    const once_token& token, std::uint64_t fingerprint, const std::string& claimant, const instance_ref& issuer)
{
    http_request request { "POST", std::string(claimPath), { { header::target, toString(issuer) } }, "" };
    request.body = encode(
        { { "token", toString(token) }, { "fingerprint", std::to_string(fingerprint) }, { "claimant", claimant } });
    return request;
}

result<claim_answer> parseClaimAnswer(const http_response& response)
{
    if (const auto stated = parseFailure(response.head))
        return *stated;
    const auto document = json::from_cbor(response.body, true, false);
    if (!document.is_object())
        return mayHaveRun(error_code::token_stale, "malformed response to the claim");
    try {
        claim_answer answer;
        const auto kind = valueOf(kindNames, document.at("kind").get<std::string>());
        const auto state = valueOf(stateNames, document.at("state").get<std::string>());
        if (!kind || !state)
            return mayHaveRun(error_code::token_stale, "malformed response to the claim");
        answer.what = *kind;
        answer.state = *state;
        answer.claimant = document.at("claimant").get<std::string>();
        if (document.contains("answer"))
            answer.answer = parseResponse(document.at("answer"));
        return answer;
    } catch (const json::exception&) {
        return mayHaveRun(error_code::token_stale, "malformed response to the claim");
    }
}

forward_service::forward_service(
    instance_ref self, std::size_t streamBufferBytes, clock_function now, call_executor& executor, span_sink spans)
    : m_self(std::move(self))
    , m_streamBufferBytes(streamBufferBytes)
    , m_now(std::move(now))
    , m_executor(executor)
    , m_spans(std::move(spans))
{
}

void forward_service::setSnapshot(routing_snapshot_ptr snapshot) { m_snapshot = std::move(snapshot); }

bool forward_service::isForThisProcess(const http_request& request) const
{
    return request.headers.find(header::target) == toString(m_self);
}

void forward_service::handle(http_exchange_ptr exchange)
{
    const auto& request = exchange->request();
    const auto requestId = std::string(request.headers.find(header::requestId).value_or(""));
    if (!isForThisProcess(request)) {
        exchange->respond(
            toFailureResponse(notRun(error_code::not_owner, "the request is meant for another process"), requestId));
        return;
    }
    // Forwarded calls have an id, which callers cannot set, and the target that the caller chose.
    if (!requestId.empty())
        return run(std::move(exchange));
    if (request.target.starts_with(outcomePath))
        return answerInquiry(std::move(exchange));
    if (request.target == claimPath)
        return answerClaim(std::move(exchange));
    run(std::move(exchange));
}

void forward_service::run(http_exchange_ptr exchange)
{
    const auto& request = exchange->request();
    const auto requestId = std::string(request.headers.find(header::requestId).value_or(""));
    if (!m_snapshot || !m_snapshot->configuration) {
        exchange->respond(toFailureResponse(notRun(error_code::not_owner, "no configuration yet"), requestId));
        return;
    }
    auto parsed = parseForwardedCall(request, *m_snapshot->configuration, m_now());
    if (parsed.has_error()) {
        exchange->respond(toFailureResponse(parsed.error(), requestId));
        return;
    }
    auto [source, target] = std::move(parsed).value();
    const auto parentSpan = source.trace.spanId;
    source.trace = childOf(source.trace);
    const auto trace = source.trace;
    const auto startedAt = m_now();
    auto relay = std::make_shared<answer_relay>(exchange, m_streamBufferBytes);
    http_call_handlers handlers;
    handlers.onHead = [relay](const http_response_head& head) { relay->start(head); };
    handlers.onData = [relay](std::string_view data) { relay->sendData(data); };
    handlers.onDone = [=, this](const result<void>& how) {
        if (how.has_value())
            relay->finish();
        else if (relay->hasStarted())
            relay->abort();
        else
            exchange->respond(toFailureResponse(how.error(), requestId));
        if (m_spans && trace.isSampled) {
            const auto outcome = how.has_value() ? verdict::ran : how.error().outcome;
            m_spans({ trace, parentSpan, "owner", toString(m_self), startedAt, m_now(), std::string(toString(outcome)),
                how.has_value() ? "" : std::string(toString(how.error().code)) });
        }
    };
    const auto running = m_executor.run(std::move(source), std::move(target), std::move(handlers));
    relay->setSource(running);
    exchange->onClosed([running] { running->cancel(); });
}

void forward_service::answerInquiry(http_exchange_ptr exchange)
{
    const auto& request = exchange->request();
    const auto requestId = request.target.substr(outcomePath.size());
    const auto document = json::parse(request.body.text(), nullptr, false);
    if (requestId.empty() || !document.is_object() || !document.contains("sent_ago_us")
        || !document["sent_ago_us"].is_number_integer()) {
        exchange->respond(toFailureResponse(notRun(error_code::bad_request, "malformed outcome inquiry"), requestId));
        return;
    }
    // Adds 2% for the clock drift that leases allow for: the other node's clock may run slower than this one.
    const auto ago = document["sent_ago_us"].get<std::int64_t>();
    const auto sentAt = m_now() - duration(ago + ago / 50);
    const auto state = m_executor.inquire(requestId, sentAt);
    exchange->respond(
        { { 200, { { "Content-Type", "application/json" } } }, json { { "state", toString(state) } }.dump() });
}

void forward_service::answerClaim(http_exchange_ptr exchange)
{
    const auto parsed = parseClaimRequest(exchange->request().body.text());
    const auto token = parsed.has_value() ? parseToken(parsed.value().token) : result<once_token>(parsed.error());
    if (token.has_error()) {
        exchange->respond(toFailureResponse(token.error(), ""));
        return;
    }
    const auto answer = m_executor.claim(token.value(), parsed.value().fingerprint, parsed.value().claimant);
    if (answer.has_error()) {
        exchange->respond(toFailureResponse(answer.error(), ""));
        return;
    }
    exchange->respond({ { 200, { { "Content-Type", "application/cbor" } } }, encode(toJson(answer.value())) });
}

} // namespace heatherdrift
