#include "mesh/internal/crash_exchange.h"

#include "base/json_reader.h"
#include "mesh/internal/peer_transfer.h"
#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    constexpr int statusBadRequest = 400;
    constexpr std::size_t maxReported = 4096; ///< Crashes or requests in one report.
    /// All nodes have to know a request that crashes backend servers within three seconds of its third crash.
    constexpr auto resendDelay = std::chrono::milliseconds(300);
    constexpr int maxAttempts = 4;
    constexpr auto questionInterval = std::chrono::milliseconds(500);
    constexpr int maxQuestions = 10;
    constexpr int reportsAfterStart = 2; ///< One of the asked nodes may have started just before.

    result<void> parseFingerprint(const json& value, std::vector<request_fingerprint>& out)
    {
        if (!value.is_number_unsigned() || out.size() >= maxReported)
            return notRun(error_code::bad_request, "malformed request fingerprint");
        out.push_back(value.get<request_fingerprint>());
        return outcome::success();
    }

    result<backend_crash> parseCrash(const json& value, const std::string& path)
    {
        backend_crash crash;
        json_reader reader(value, path, error_code::bad_request);
        reader.readHeaderText("life", crash.life);
        reader.readArray("suspects",
            [&](const json& one, const std::string&) -> result<void> { return parseFingerprint(one, crash.suspects); });
        BOOST_OUTCOME_TRY(reader.finish());
        return crash;
    }

} // namespace

std::string toJson(const crash_report& report)
{
    json crashes = json::array();
    for (const auto& crash : report.crashes)
        crashes.push_back({ { "life", crash.life }, { "suspects", crash.suspects } });
    return json { { "crashes", crashes }, { "answered", report.answered } }.dump();
}

result<crash_report> parseCrashReport(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::bad_request));
    crash_report report;
    json_reader reader(document, "", error_code::bad_request);
    reader.readArray("crashes", [&](const json& value, const std::string& path) -> result<void> {
        BOOST_OUTCOME_TRY(crash, parseCrash(value, path));
        if (report.crashes.size() >= maxReported)
            return notRun(error_code::bad_request, "too many crashes");
        report.crashes.push_back(std::move(crash));
        return outcome::success();
    });
    reader.readArray("answered", [&](const json& value, const std::string&) -> result<void> {
        return parseFingerprint(value, report.answered);
    });
    BOOST_OUTCOME_TRY(reader.finish());
    return report;
}

crash_exchange::crash_exchange(
    event_base* base, const mesh_settings& settings, mesh_directory& directory, crash_suspects& suspects)
    : m_settings(settings)
    , m_directory(directory)
    , m_suspects(suspects)
    , m_resend(base, [this] { sendAgain(); })
    , m_askTimer(base, [this] { ask(); })
{
}

std::vector<instance_id> crash_exchange::otherNodes() const
{
    std::vector<instance_id> out;
    for (const auto& [node, peer] : m_directory.peers()) {
        if (node != m_settings.node && peer.member.service == m_settings.service)
            out.push_back(node);
    }
    return out;
}

void crash_exchange::onCrash(backend_crash crash)
{
    const auto atWork = crash.suspects;
    const auto recorded = m_suspects.recordCrash(std::move(crash), boot_clock::now());
    logEvent(log_event::backend_crashed,
        { { "backend_server", recorded.life }, { "counted", "yes" }, { "at_work", fingerprintText(atWork) },
            { "suspects", fingerprintText(recorded.suspects) } });
    if (!recorded.suspects.empty())
        tellAll({ { recorded }, {} });
}

void crash_exchange::onAnswer(request_fingerprint request)
{
    if (m_suspects.recordAnswer(request))
        tellAll({ {}, { request } });
}

void crash_exchange::tellAll(const crash_report& report)
{
    const auto body = toJson(report);
    for (const auto& node : otherNodes())
        send({ node, 0, body });
}

void crash_exchange::send(unsent_report report)
{
    if (!m_directory.find(report.node))
        return;
    http_request request { "PUT", target, { { targetNodeHeader, report.node } }, report.body };
    auto& client = m_directory.client(report.node);
    const auto limits = peerTransferLimits(report.body.size());
    fetchWithProgress(client, std::move(request), limits,
        [this, report = std::move(report)](const result<http_response>& answer) mutable {
            if (answer.has_value() && answer.value().head.status == 200) {
                // The node's answer names the requests that are no suspects there.
                const auto cleared = parseCrashReport(answer.value().body);
                if (cleared.has_value() && !cleared.value().answered.empty()) {
                    for (const auto fingerprint : cleared.value().answered)
                        m_suspects.clear(fingerprint);
                    tellAll({ {}, cleared.value().answered });
                }
                return;
            }
            if (++report.attempts >= maxAttempts)
                return;
            m_unsent.push_back(std::move(report));
            if (!m_resend.isPending())
                m_resend.startOnce(resendDelay);
        });
}

void crash_exchange::sendAgain()
{
    for (auto& report : std::exchange(m_unsent, {}))
        send(std::move(report));
}

void crash_exchange::askAfterStart()
{
    if (m_questions == 0)
        ask();
}

void crash_exchange::ask()
{
    const auto nodes = otherNodes();
    if (nodes.empty() || ++m_questions > maxQuestions)
        return;
    const auto& node = nodes[static_cast<std::size_t>(m_questions) * 31 % nodes.size()];
    http_request request { "GET", target, { { targetNodeHeader, node } }, "" };
    fetchWithProgress(m_directory.client(node), std::move(request), peerTransferLimits(0),
        [this](const result<http_response>& answer) {
            const auto report = answer.has_value() && answer.value().head.status == 200
                ? parseCrashReport(answer.value().body)
                : notRun(error_code::unreachable, "no answer");
            if (report.has_error())
                return m_askTimer.startOnce(questionInterval);
            apply(report.value());
            if (++m_reports < reportsAfterStart)
                ask();
        });
}

void crash_exchange::apply(const crash_report& report)
{
    for (const auto& crash : report.crashes)
        m_suspects.merge(crash, boot_clock::now());
    for (const auto request : report.answered)
        m_suspects.clear(request);
}

void crash_exchange::handle(const http_exchange_ptr& exchange)
{
    if (exchange->request().method == "GET") {
        const auto& known = m_suspects.crashes();
        return exchange->respond({ { 200, {} }, toJson(crash_report { { known.begin(), known.end() }, {} }) });
    }
    const auto report = parseCrashReport(exchange->request().body);
    if (report.has_error()) {
        logEvent(log_event::peer_message_rejected, { { "target", target }, { "reason", report.error().message } });
        return exchange->respond({ { statusBadRequest, {} }, "" });
    }
    crash_report answer;
    for (const auto& crash : report.value().crashes) {
        for (const auto request : m_suspects.merge(crash, boot_clock::now()))
            answer.answered.push_back(request);
    }
    for (const auto request : report.value().answered)
        m_suspects.clear(request);
    exchange->respond({ { 200, {} }, toJson(answer) });
}

} // namespace heatherdrift
