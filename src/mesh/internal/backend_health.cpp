#include "mesh/internal/backend_health.h"

#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    /// Health checks are answered at once; on a loaded machine a process may pause for 100 ms.
    constexpr auto checkTimeout = std::chrono::milliseconds(400);
    /// Requests wait this long for the answer to a check before the backend server counts as cold.
    constexpr auto usualCheckTime = std::chrono::milliseconds(150);
    /// Three heartbeats of 870 ms. Without them, the state of the backend server is not known.
    constexpr auto maxSilence = std::chrono::milliseconds(2700);
    constexpr std::size_t maxAnswerBytes = 64 * 1024;
    constexpr int statusOk = 200;

    failure unusable(std::string message) { return { verdict::ran, error_code::bad_request, std::move(message) }; }

} // namespace

backend_health::backend_health(event_base* base, http_client& client, const platform_port& port,
    const std::string& service, backend_health_hooks hooks)
    : m_client(client)
    , m_port(port)
    , m_service(service)
    , m_hooks(std::move(hooks))
    , m_limit(boot_clock::now())
    , m_checkTimer(base, [this] { check(); })
    , m_silence(base, [this] { handleSilence(); })
{
}

backend_health::~backend_health()
{
    if (m_call)
        m_call->cancel();
}

void backend_health::configure(const service_definition& service)
{
    const bool couldCheck = canCheck();
    m_rate = service.coldRequestsPerSecond;
    m_path = service.healthPath;
    m_limit.configure({ service.coldRequestsPerSecond, service.coldStart });
    if (canCheck() && !couldCheck)
        markUnknown(boot_clock::now());
    m_plan.setStatedEnd(m_limit.statedEnd());
    update();
}

void backend_health::setBackend(const std::string& id)
{
    if (m_call)
        std::exchange(m_call, nullptr)->cancel();
    m_backendId = id;
    m_plan = health_check_plan();
    m_slowdown = m_serviceTime = rise_detector();
    m_silence.stop();
    m_isSilent = false;
    suspect();
}

void backend_health::suspect()
{
    markUnknown(boot_clock::now());
    update();
}

void backend_health::markUnknown(time_point now)
{
    m_limit.suspect(now, canCheck() ? usualCheckTime : duration());
    m_plan.request(now);
    m_plan.setStatedEnd(std::nullopt);
}

void backend_health::recordHeartbeat(duration coldFor)
{
    m_limit.recordHeartbeat(coldFor, boot_clock::now());
    m_plan.dropRepetition();
    m_isSilent = false;
    m_silence.startOnce(maxSilence);
    m_plan.setStatedEnd(m_limit.statedEnd());
    update();
}

/// The health is checked once per silence, and a failed check leaves the state unknown.
void backend_health::handleSilence()
{
    m_isSilent = true;
    if (!canCheck())
        return suspect();
    m_plan.request(boot_clock::now());
    scheduleCheck();
}

void backend_health::recordSlowdown(double slowdown)
{
    if (m_slowdown.record(slowdown))
        checkAfterRise();
}

void backend_health::recordServiceTime(duration serviceTime, duration expected)
{
    if (m_serviceTime.record(std::chrono::duration<double>(serviceTime) / std::max(expected, duration(1))))
        checkAfterRise();
}

/// A backend server that counts as cold anyway is checked at its stated end.
void backend_health::checkAfterRise()
{
    if (m_limit.isLimiting())
        return;
    m_plan.requestAfterRise(boot_clock::now());
    scheduleCheck();
}

void backend_health::update()
{
    scheduleCheck();
    logState();
    if (hasLimit() || m_limit.isLimiting())
        m_hooks.onChanged();
}

void backend_health::logState()
{
    const auto status = m_limit.status(boot_clock::now());
    if (status && !std::exchange(m_isLoggedAsCold, true))
        logEvent(log_event::backend_cold,
            { { "backend_server", m_backendId }, { "for_ms", millisecondsText(status->remaining) },
                { "requests_per_second", std::to_string(status->requestsPerSecond) } });
    if (!m_limit.isLimiting() && std::exchange(m_isLoggedAsCold, false))
        logEvent(log_event::backend_warm, { { "backend_server", m_backendId } });
}

void backend_health::scheduleCheck()
{
    const auto next = canCheck() ? m_plan.nextAt() : std::nullopt;
    if (next)
        m_checkTimer.startAt(*next);
    else
        m_checkTimer.stop();
}

void backend_health::check()
{
    if (!canCheck())
        return;
    const auto now = boot_clock::now();
    m_plan.onSent(now);
    ++m_counts.checks;
    http_request request { "GET", m_path, {}, "" };
    m_port.addBackendHeaders(request.headers, { m_backendId, m_service, checkTimeout });
    // Health answers name no request, so the check gets a connection on which no other answer can come.
    answer_matching matching { [](const http_response_head&) { return answer_origin::unstated; }, "" };
    m_call = fetchOwn(m_client, std::move(request), now + checkTimeout, { maxAnswerBytes }, std::move(matching),
        [this](result<http_response> response) { handleAnswer(std::move(response)); });
}

void backend_health::handleAnswer(result<http_response> response)
{
    m_call = nullptr;
    const auto now = boot_clock::now();
    backend_answer info;
    if (response.has_value()) {
        info = m_port.decodeAnswer(response.value().head);
        const int status = response.value().head.status;
        if (status != statusOk || !info.coldFor)
            response = unusable("status " + std::to_string(status));
    }
    if (response.has_error()) {
        ++m_counts.failedChecks;
        m_plan.onFailed(now);
        if (m_isSilent)
            m_limit.suspect(now, {});
        logEvent(log_event::health_check_failed,
            { { "backend_server", m_backendId }, { "reason", std::string(toString(response.error().code)) },
                { "detail", response.error().message } });
        return update();
    }
    m_plan.onAnswered();
    m_limit.recordHealth(*info.coldFor, now);
    m_plan.setStatedEnd(m_limit.statedEnd());
    m_hooks.onAnswer(info);
    update();
}

void backend_health::recordStart(request_number id, const http_call_ptr& call)
{
    if (!hasLimit() && !m_limit.isLimiting())
        return;
    m_limit.recordStart(id, boot_clock::now());
    if (!m_limit.isLimiting())
        return;
    ++m_counts.coldStarts;
    if (!call->hasWritten())
        m_unwritten.push_back({ id, call });
}

void backend_health::withdrawStart(request_number id) { m_limit.withdrawStart(id); }

void backend_health::postponeUnwritten()
{
    const auto now = boot_clock::now();
    std::erase_if(m_unwritten, [&](const auto& start) {
        // Also if it has been written by now, since it is not known when.
        m_limit.postponeStart(start.id, now);
        const auto call = start.call.lock();
        return !call || call->hasWritten();
    });
}

} // namespace heatherdrift
