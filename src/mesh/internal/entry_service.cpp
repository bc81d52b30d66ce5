#include "mesh/internal/entry_service.h"

#include "base/hash.h"
#include "mesh/internal/entry_call.h"
#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    constexpr int statusNotFound = 404;
    constexpr int statusBadRequest = 400;
    constexpr int statusUnavailable = 503;
    /// A starting node has read its configuration after this time.
    constexpr auto retryAfterStart = std::chrono::milliseconds(300);
    /// The caller's next connection goes to another node.
    constexpr auto retryAfterStop = std::chrono::milliseconds(100);
    constexpr double retryAfterJitter = 0.6; ///< Width of the jitter, as a share of the Retry-After time.
    constexpr auto defaultTimeout = std::chrono::seconds(60); ///< For requests without a deadline.
    /// Time for the response to reach the caller before the caller's own deadline.
    constexpr auto answerMargin = std::chrono::milliseconds(8);
    /// Share of the configured retry ratio that this node uses; the rest covers nested calls of retried requests.
    constexpr double retryBudgetShare = 0.75;

    http_headers endToEndHeaders(const http_headers& headers)
    {
        http_headers kept;
        for (const auto& [name, value] : headers.fields()) {
            if (!isHopByHopHeader(name) && !isSameHeaderName(name, "Content-Length")
                && !isSameHeaderName(name, "Expect"))
                kept.add(name, value);
        }
        return kept;
    }

} // namespace

return_request returnOf(const routed_request& request)
{
    return { request.route, request.callerZone, request.priority, std::nullopt, request.deadline };
}

entry_service::entry_service(entry_context context)
    : m_context(std::move(context))
    , m_random(seededRandom(hashBytes(m_context.settings.node)))
{
}

entry_service::~entry_service() = default;

duration entry_service::withJitter(duration delay)
{
    return std::chrono::duration_cast<duration>(delay * (1 - retryAfterJitter / 2 + retryAfterJitter * m_random()));
}

retry_budget& entry_service::budget(const std::string& service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    retry_budget_settings settings;
    settings.share = m_context.settings.retryShare * retryBudgetShare;
    settings.floorPerSecond = 0.1;
    settings.maxBalance = 3;
    return m_budgets.try_emplace(service, boot_clock::now(), settings).first->second;
}

hedge_policy* entry_service::hedges(const std::string& service)
{
    const double share = m_context.settings.scheduling.hedgeShare;
    if (share <= 0)
        return nullptr;
    return &m_hedges.try_emplace(service, hedge_settings { .share = share }).first->second;
}

void entry_service::refuse(const http_exchange_ptr& exchange, duration retryAfter)
{
    http_response response { { statusUnavailable, {} }, "" };
    m_context.port.addRetryAfter(response.head, withJitter(retryAfter));
    exchange->respond(std::move(response));
}

void entry_service::answerWithoutRoute(const http_exchange_ptr& exchange)
{
    // The route may exist in a newer configuration that this node has heard of and does not hold yet.
    if (const auto wait = m_context.configurationWait())
        return refuse(exchange, *wait);
    exchange->respond({ { statusNotFound, {} }, "" });
}

std::optional<possible_call> entry_service::attributeCall(
    routed_request& request, const std::optional<duration>& timeout, time_point now) const
{
    if (!request.isFromOwnHost)
        return std::nullopt;
    const auto deadline = timeout ? std::optional(now + *timeout) : std::nullopt;
    auto call
        = m_context.gate.nestedCalls().attribute({ request.route, request.service, request.objective, deadline }, now);
    if (call)
        request.outer = { call->parent.priority, std::min(call->parent.depth + 1, maxCallDepth) };
    return call;
}

void entry_service::handle(http_exchange_ptr exchange)
{
    const auto now = boot_clock::now();
    const auto& message = exchange->request();
    if (m_context.routes.version() == 0)
        return refuse(exchange, retryAfterStart);
    const auto decoded = m_context.port.decodeRequest(message);
    if (decoded.has_error())
        return exchange->respond({ { statusBadRequest, {} }, "" });
    const auto& caller = decoded.value();
    const auto* route = m_context.routes.find(caller.host, caller.path);
    if (!route)
        return answerWithoutRoute(exchange);

    routed_request request;
    request.message = { message.method, message.target, endToEndHeaders(message.headers), message.body };
    request.id = caller.id;
    request.route = route->name;
    request.service = m_context.routes.pickService(*route);
    request.callerService = m_context.settings.service;
    request.callerZone = m_context.settings.zone;
    const duration callerTimeout = caller.timeout.value_or(defaultTimeout);
    request.deadline = now + callerTimeout - answerMargin;
    if (route->timeout > duration::zero())
        request.deadline = std::min(request.deadline, now + route->timeout);
    if (request.deadline > m_endsAt)
        return refuse(exchange, retryAfterStop);
    request.priority = route->priority;
    request.isFromOwnHost = exchange->isFromOwnHost();
    request.objective = route->latencyObjective > duration::zero() ? now + route->latencyObjective : request.deadline;
    const auto age = m_ages.estimate(route->name, callerTimeout);
    request.objective -= age;
    request.isIdempotent = route->isIdempotent;
    auto possibleCall = attributeCall(request, caller.timeout, now);
    const auto* service = m_context.routes.service(request.service);
    if (service && service->isPartitioned)
        request.key = caller.key;
    // While the process was paused or busy, the caller may have given the request up. Dropping the exchange closes the
    // connection.
    if (exchange->hasClientLeft())
        return logEvent(log_event::request_abandoned,
            { { "request", request.id }, { "reason", "before_it_was_read" }, { "route", request.route },
                { "service", request.service } });
    budget(request.service).recordFirstAttempt(now);
    if (auto* policy = hedges(request.service); policy && !request.key)
        policy->recordFirstAttempt(now);
    // Calls of a backend server are no callers that wait and return; those with a key return to their gate.
    std::optional<return_kind> returnKind;
    if (m_context.settings.scheduling.plansReturns && !request.key && !possibleCall) {
        returnKind = m_returns.recognise(request.service, returnOf(request), age, now);
        request.isReturn = returnKind == return_kind::on_time;
    }
    auto call = std::make_shared<entry_call>(*this, std::move(exchange), std::move(request), *route);
    call->setReturn(returnKind);
    call->setNested(std::move(possibleCall));
    m_calls.insert(call);
    call->begin();
}

} // namespace heatherdrift
