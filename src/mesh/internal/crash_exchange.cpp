#include "mesh/internal/crash_exchange.h"

#include "base/json_reader.h"
#include "mesh/internal/peer_transfer.h"
#include "telemetry/log_event.h"

#include <algorithm>
#include <set>

namespace heatherdrift {

namespace {

    constexpr int statusBadRequest = 400;
    constexpr std::size_t maxReported = 4096; ///< Crashes or requests in one report.
    /// All nodes have to know a request that crashes backend servers within three seconds of its third crash.
    constexpr auto resendDelay = std::chrono::milliseconds(300);
    constexpr int maxAttempts = 4;
    constexpr auto questionInterval = std::chrono::milliseconds(500);
    constexpr int maxQuestions = 10;
    constexpr int wantedReplies = 2; ///< One of the asked nodes may have started just before.
    constexpr auto missedInterval = std::chrono::seconds(2); ///< Between attempts to reach a node that is behind.
    constexpr std::size_t maxLoggedSuspects = 16; ///< Bounds a log line.

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

    /// The first crash that names the request; null if none does.
    const backend_crash* findCrash(const std::vector<backend_crash>& crashes, request_fingerprint request)
    {
        const auto found = std::ranges::find_if(crashes, [request](const auto& crash) {
            return std::ranges::find(crash.suspects, request) != crash.suspects.end();
        });
        return found == crashes.end() ? nullptr : &*found;
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
    , m_missedTimer(base, [this] { sendMissed(); })
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

void crash_exchange::onCrash(const backend_crash& crash)
{
    recordAndTell(crash);
    std::string counts;
    for (std::size_t i = 0; i < std::min(crash.suspects.size(), maxLoggedSuspects); ++i)
        counts.append(i == 0 ? "" : " ").append(std::to_string(m_suspects.crashCount(crash.suspects[i])));
    logEvent(log_event::backend_crashed,
        { { "backend_server", crash.life }, { "counted", "yes" }, { "at_work", fingerprintText(crash.suspects) },
            { "crashes", counts } });
}

void crash_exchange::onRun(request_fingerprint request, const std::string& life)
{
    const auto now = boot_clock::now();
    if (!m_suspects.isTrial(request, now))
        return;
    logEvent(log_event::suspect_tried,
        { { "fingerprint", fingerprintText(request) }, { "backend_server", life },
            { "crashes", std::to_string(m_suspects.crashCount(request)) } });
    // Each trial has a name of its own. Under that of the life, a second trial on it would pass for a repeated report
    // of the first one, and all later requests would run.
    recordAndTell({ life + "/" + std::to_string(now.time_since_epoch().count()), { request } });
}

void crash_exchange::onAnswer(request_fingerprint request)
{
    const auto crashes = m_suspects.crashCount(request);
    if (!m_suspects.recordAnswer(request))
        return;
    logEvent(log_event::suspect_cleared,
        { { "fingerprint", fingerprintText(request) }, { "crashes", std::to_string(crashes) },
            { "answered_by", m_settings.node } });
    tellAll({ {}, { request } });
}

std::vector<request_fingerprint> crash_exchange::record(const backend_crash& crash)
{
    const auto now = boot_clock::now();
    std::set<request_fingerprint> wereRefused;
    std::ranges::copy_if(crash.suspects, std::inserter(wereRefused, wereRefused.end()),
        [&](auto request) { return m_suspects.isTrial(request, now); });
    auto answered = m_suspects.recordCrash(crash, now);
    for (const auto request : crash.suspects) {
        if (m_suspects.refusedUntil(request, now) && !wereRefused.contains(request))
            logEvent(log_event::suspect_refused,
                { { "fingerprint", fingerprintText(request) }, { "last_crash", crash.life } });
    }
    return answered;
}

void crash_exchange::recordAndTell(const backend_crash& crash)
{
    auto answered = record(crash);
    tellAll({ { crash }, std::move(answered) });
}

void crash_exchange::tellAll(const crash_report& report)
{
    const auto body = toJson(report);
    for (const auto& node : otherNodes())
        send({ node, 0, body, report.crashes, time_point::min() });
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
                const auto behind = m_behind.find(report.node);
                if (behind != m_behind.end() && behind->second <= report.completeAt)
                    m_behind.erase(behind);
                return handleReply(report.crashes, answer.value().body);
            }
            if (++report.attempts < maxAttempts) {
                m_unsent.push_back(std::move(report));
                if (!m_resend.isPending())
                    m_resend.startOnce(resendDelay);
                return;
            }
            m_behind[report.node] = boot_clock::now();
            if (!m_missedTimer.isPending())
                m_missedTimer.startOnce(missedInterval);
        });
}

void crash_exchange::sendAgain()
{
    for (auto& report : std::exchange(m_unsent, {}))
        send(std::move(report));
}

/// A node that was cut off for longer gets all known crashes once it answers again.
void crash_exchange::sendMissed()
{
    std::erase_if(m_behind, [this](const auto& entry) { return !m_directory.find(entry.first); });
    const auto now = boot_clock::now();
    const auto crashes = m_suspects.crashes();
    for (const auto& [node, missedAt] : m_behind) {
        if (!m_directory.isUnreachable(*m_directory.find(node), now))
            send({ node, maxAttempts - 1, toJson({ crashes, {} }), crashes, now });
    }
    if (!m_behind.empty() && !m_missedTimer.isPending())
        m_missedTimer.startOnce(missedInterval);
}

/// The node's answer names the suspects that it has answered since their previous crash.
void crash_exchange::handleReply(const std::vector<backend_crash>& told, std::string_view body)
{
    const auto reply = parseCrashReport(body);
    if (reply.has_error())
        return logEvent(
            log_event::peer_message_rejected, { { "target", target }, { "reason", reply.error().message } });
    crash_report dropped;
    for (const auto request : reply.value().answered) {
        const auto* crash = findCrash(told, request);
        if (!crash || !m_suspects.dropCrashesBefore(request, crash->life))
            continue;
        dropped.answered.push_back(request);
        dropped.crashes.push_back({ crash->life, { request } });
    }
    if (!dropped.answered.empty())
        tellAll(dropped);
}

void crash_exchange::askForMissed()
{
    m_questions = 0;
    m_replies = 0;
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
            if (++m_replies < wantedReplies)
                ask();
        });
}

std::vector<request_fingerprint> crash_exchange::apply(const crash_report& report)
{
    std::vector<request_fingerprint> answered;
    for (const auto& crash : report.crashes)
        std::ranges::copy(record(crash), std::back_inserter(answered));
    for (const auto request : report.answered) {
        if (const auto* crash = findCrash(report.crashes, request))
            m_suspects.dropCrashesBefore(request, crash->life);
        else
            m_suspects.clear(request);
    }
    return answered;
}

void crash_exchange::handle(const http_exchange_ptr& exchange)
{
    if (exchange->request().method == "GET")
        return exchange->respond({ { 200, {} }, toJson({ m_suspects.crashes(), {} }) });
    const auto report = parseCrashReport(exchange->request().body);
    if (report.has_error()) {
        logEvent(log_event::peer_message_rejected, { { "target", target }, { "reason", report.error().message } });
        return exchange->respond({ { statusBadRequest, {} }, "" });
    }
    exchange->respond({ { 200, {} }, toJson({ {}, apply(report.value()) }) });
}

} // namespace heatherdrift
