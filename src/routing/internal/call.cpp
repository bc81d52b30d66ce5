#include "routing/call.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace heatherdrift {

namespace {

    constexpr std::size_t maxKeyBytes = 1024;
    constexpr std::size_t maxTokenBytes = 256;
    constexpr std::size_t maxWorkspaceBytes = 64;
    constexpr std::string_view reservedPrefix = "heatherdrift-";

    std::string textOf(const http_headers& headers, const char* name)
    {
        return std::string(headers.find(name).value_or(""));
    }

    result<time_point> parseDeadline(const http_headers& headers, duration maxTimeout, time_point now)
    {
        const auto text = headers.find(header::timeoutMilliseconds);
        if (!text)
            return now + maxTimeout;
        std::int64_t milliseconds = 0;
        const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), milliseconds);
        if (error != std::errc() || end != text->data() + text->size() || milliseconds < 0)
            return notRun(error_code::bad_request, std::string(header::timeoutMilliseconds) + " is not a number");
        const auto maxMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(maxTimeout).count();
        return now + std::chrono::milliseconds(std::min<std::int64_t>(milliseconds, maxMilliseconds));
    }

    result<void> checkLength(const http_headers& headers, const char* name, std::size_t maxBytes)
    {
        if (headers.find(name).value_or("").size() > maxBytes)
            return notRun(
                error_code::bad_request, std::string(name) + " is longer than " + std::to_string(maxBytes) + " bytes");
        return outcome::success();
    }

    bool startsWithReservedPrefix(std::string_view name)
    {
        return name.size() > reservedPrefix.size()
            && isSameHeaderName(name.substr(0, reservedPrefix.size()), reservedPrefix);
    }

    /// Caller's headers that are passed to the backend server. This system's own headers are dropped, so that a caller
    /// cannot impersonate a node.
    http_headers passedHeaders(const http_headers& headers)
    {
        http_headers passed;
        for (const auto& [name, value] : headers.fields()) {
            const bool isOwn = startsWithReservedPrefix(name) || isSameHeaderName(name, header::traceparent);
            const bool isRewritten = isSameHeaderName(name, "host") || isSameHeaderName(name, "content-length");
            if (!isOwn && !isRewritten && !isHopByHopHeader(name))
                passed.add(name, value);
        }
        return passed;
    }

    result<call> readCall(
        const http_request& request, std::string requestId, const configuration& current, time_point now)
    {
        BOOST_OUTCOME_TRYV(checkLength(request.headers, header::key, maxKeyBytes));
        BOOST_OUTCOME_TRYV(checkLength(request.headers, header::token, maxTokenBytes));
        BOOST_OUTCOME_TRYV(checkLength(request.headers, header::customer, maxWorkspaceBytes));
        call parsed;
        parsed.requestId = std::move(requestId);
        BOOST_OUTCOME_TRY(labels, parseLabelHeader(textOf(request.headers, header::labels)));
        parsed.labels = std::move(labels);
        const auto* selector = current.findSelector(parsed.labels);
        if (!selector)
            return notRun(error_code::no_selector, "no selector matches the labels of the request");
        const auto* pool = current.findPool(selector->pool);
        if (!pool)
            return notRun(error_code::no_selector, "the pool of the selector does not exist");
        if (request.body.size() > pool->maximumBodyBytes)
            return notRun(error_code::too_large, "body above " + std::to_string(pool->maximumBodyBytes) + " bytes");
        parsed.pool = selector->pool;
        parsed.selector = selector->name;
        parsed.policy = selector->policy;
        parsed.key = textOf(request.headers, header::key);
        if (parsed.key.empty() && parsed.policy.ownership != ownership_need::none)
            return notRun(error_code::bad_request, std::string(header::key) + " is missing");
        parsed.workspace = textOf(request.headers, header::customer);
        parsed.token = textOf(request.headers, header::token);
        BOOST_OUTCOME_TRY(deadline, parseDeadline(request.headers, parsed.policy.timeout, now));
        parsed.deadline = deadline;
        const auto parent = parseTraceparent(request.headers.find(header::traceparent).value_or(""));
        parsed.trace = parent ? *parent : startTrace(false);
        parsed.request = { request.method, request.target, passedHeaders(request.headers), request.body };
        return parsed;
    }

    std::string formatLabels(const label_set& labels)
    {
        std::string text;
        for (const auto& [name, value] : labels)
            text.append(text.empty() ? "" : ",").append(name).append("=").append(value);
        return text;
    }

    /// Rounded up, so that the next hop does not time out before this one.
    std::string remainingMilliseconds(time_point deadline, time_point now)
    {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - now).count();
        return std::to_string(std::max<std::int64_t>(left, 0));
    }

    http_request withCommonHeaders(const call& source, time_point now)
    {
        auto request = source.request;
        request.headers.set(header::requestId, source.requestId);
        request.headers.set(header::timeoutMilliseconds, remainingMilliseconds(source.deadline, now));
        request.headers.set(header::traceparent, toTraceparent(source.trace));
        if (!source.key.empty())
            request.headers.set(header::key, source.key);
        if (!source.token.empty())
            request.headers.set(header::token, source.token);
        if (!source.workspace.empty())
            request.headers.set(header::customer, source.workspace);
        return request;
    }

    std::optional<instance_ref> parseInstance(std::string_view text)
    {
        const auto mark = text.rfind('#');
        if (mark == std::string_view::npos)
            return std::nullopt;
        instance_ref value { std::string(text.substr(0, mark)), 0 };
        const auto digits = text.substr(mark + 1);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value.number);
        if (error != std::errc() || end != digits.data() + digits.size() || value.id.empty())
            return std::nullopt;
        return value;
    }

    struct error_status {
        error_code code;
        int status;
    };

    constexpr std::array<error_status, 13> statuses { {
        { error_code::bad_request, 400 },
        { error_code::no_selector, 404 },
        { error_code::not_found, 404 },
        { error_code::conflict, 409 },
        { error_code::token_required, 409 },
        { error_code::token_spent, 409 },
        { error_code::token_stale, 409 },
        { error_code::too_large, 413 },
        { error_code::internal, 500 },
        { error_code::connection_lost, 502 },
        { error_code::unreachable, 502 },
        { error_code::deadline_exceeded, 504 },
        { error_code::cancelled, 499 },
    } };

} // namespace

result<call> parseCall(const http_request& request, std::string requestId, const configuration& current, time_point now)
{
    return readCall(request, std::move(requestId), current, now);
}

http_request toForwardedRequest(const call& source, const call_target& target, time_point now)
{
    auto request = withCommonHeaders(source, now);
    request.headers.set(header::labels, formatLabels(source.labels));
    request.headers.set(header::target, toString(target.owner));
    return request;
}

result<std::pair<call, call_target>> parseForwardedCall(
    const http_request& request, const configuration& current, time_point now)
{
    const auto requestId = textOf(request.headers, header::requestId);
    const auto owner = parseInstance(textOf(request.headers, header::target));
    if (requestId.empty() || !owner)
        return notRun(error_code::bad_request, "forwarded request without a request id or a valid target");
    BOOST_OUTCOME_TRY(parsed, readCall(request, requestId, current, now));
    return std::pair { std::move(parsed), call_target { *owner } };
}

http_request toBackendRequest(const call& source, const std::optional<backend_grant>& grant, time_point now)
{
    auto request = withCommonHeaders(source, now);
    if (grant) {
        request.headers.set(header::grant,
            grant->pool + "/" + std::to_string(grant->partition) + "/" + std::to_string(grant->number) + "/"
                + std::to_string(grant->leaseEnd.time_since_epoch().count()));
    }
    return request;
}

int statusOf(error_code code)
{
    for (const auto& entry : statuses) {
        if (entry.code == code)
            return entry.status;
    }
    return 503;
}

http_response toFailureResponse(const failure& reason, const std::string& requestId)
{
    const json document = {
        { "verdict", toString(reason.outcome) },
        { "error", toString(reason.code) },
        { "message", reason.message },
        { "request_id", requestId },
    };
    http_response response;
    response.head.status = statusOf(reason.code);
    response.head.headers = {
        { header::verdict, std::string(toString(reason.outcome)) },
        { header::error, std::string(toString(reason.code)) },
        { header::requestId, requestId },
        { "Content-Type", "application/json" },
    };
    response.body = document.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return response;
}

std::optional<failure> parseFailure(const http_response_head& head)
{
    const auto error = head.headers.find(header::error);
    if (!error)
        return std::nullopt;
    const auto outcome = parseVerdict(head.headers.find(header::verdict).value_or(""));
    const auto code = parseErrorCode(*error);
    // A response without a valid verdict does not prove that the call did not run.
    if (!outcome || !code)
        return mayHaveRun(error_code::internal, "the node's answer has no valid verdict");
    return failure { *outcome, *code, "" };
}

bool mayRetry(const failure& reason, const call_policy& policy)
{
    switch (reason.outcome) {
    case verdict::not_run:
        return true;
    case verdict::may_have_run:
        return policy.once == once_mode::none || policy.once == once_mode::backend_server;
    case verdict::ran:
        return false;
    }
    return false;
}

} // namespace heatherdrift
