#include "mesh/internal/range_balancer.h"

#include "base/json_reader.h"
#include "mesh/forward_protocol.h"
#include "telemetry/log_event.h"

#include <algorithm>
#include <cmath>

namespace heatherdrift {

namespace {

    constexpr auto reportInterval = std::chrono::milliseconds(700); ///< Hot keys change within seconds.
    constexpr auto reportTimeout = std::chrono::milliseconds(300); ///< A node answers within milliseconds.
    constexpr auto mostReportAge = std::chrono::milliseconds(1600); ///< Two intervals and the way of a report.
    constexpr auto planInterval = std::chrono::milliseconds(700);
    /// Time constant of measured key loads, after which an owner's report contains what was moved to it.
    constexpr auto loadMemory = std::chrono::milliseconds(1500);
    constexpr auto passOverTime = std::chrono::seconds(2); ///< Of a node that could not plan.
    constexpr double demandToReport = 0.65; ///< Somewhat below the demand at which an owner gives keys away.
    /// Enough for a hot range of some 200 keys; the rest is too light to matter.
    constexpr std::size_t mostReportedKeys = 320;
    constexpr std::size_t answerLimitBytes = 1024;
    constexpr int statusUnavailable = 503;
    constexpr int statusBadRequest = 400;

} // namespace

std::string toJson(const load_report& report)
{
    return json { { "life", report.life }, { "demand", report.demand }, { "keys", report.keys } }.dump();
}

result<load_report> parseLoadReport(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::bad_request));
    load_report out;
    json_reader reader(document, "", error_code::bad_request);
    reader.readString("life", out.life);
    reader.readNumber("demand", out.demand, 0, 1e6);
    reader.readValue("keys", [&](const json& value, const std::string& path) -> result<void> {
        try {
            out.keys = value.get<std::vector<std::pair<key_number, double>>>();
        } catch (const json::exception&) {
            return notRun(error_code::bad_request, path + ": not a list of keys and loads");
        }
        return outcome::success();
    });
    BOOST_OUTCOME_TRY(reader.finish());
    return out;
}

range_balancer::range_balancer(
    event_base* base, const mesh_settings& settings, mesh_directory& directory, range_balancer_hooks hooks)
    : m_settings(settings)
    , m_directory(directory)
    , m_hooks(std::move(hooks))
    , m_tick(base, [this] { report(); })
{
}

void range_balancer::start() { m_tick.startRepeating(reportInterval); }

std::optional<instance_id> range_balancer::planner(const std::vector<owner_candidate>& candidates, time_point now) const
{
    for (const auto& candidate : candidates) {
        const auto found = m_passedOverUntil.find(candidate.node);
        const bool isPassedOver = found != m_passedOverUntil.end() && now < found->second;
        const bool isUnable = candidate.node == m_settings.node && !m_hooks.isStoreAvailable();
        // Only owners are asked for promises, so only they know whose keys must stay where they are.
        if (!isPassedOver && !isUnable && m_hooks.isOwner(candidate.range.life))
            return candidate.node;
    }
    return std::nullopt;
}

double range_balancer::ownDemand(const std::vector<owner_candidate>& candidates) const
{
    const auto self = std::ranges::find(candidates, m_settings.node, &owner_candidate::node);
    return self == candidates.end() ? 0 : self->range.load;
}

bool range_balancer::needsLoads() const
{
    const auto now = m_hooks.now();
    const auto candidates = m_hooks.candidates();
    if (planner(candidates, now) != m_settings.node)
        return false;
    return ownDemand(candidates) >= demandToReport || std::ranges::any_of(m_reports, [&](const auto& entry) {
        return now - entry.second.receivedAt < mostReportAge;
    });
}

void range_balancer::report()
{
    const auto now = m_hooks.now();
    const auto candidates = m_hooks.candidates();
    const auto self = std::ranges::find(candidates, m_settings.node, &owner_candidate::node);
    if (self == candidates.end() || self->range.load < demandToReport || m_isReporting)
        return;
    const auto node = planner(candidates, now);
    if (!node)
        return;
    const load_report own { self->range.life, self->range.load, m_hooks.keyLoad().heaviest(mostReportedKeys, now) };
    if (*node == m_settings.node)
        return adopt(own, now);
    m_isReporting = true;
    http_request request { "PUT", target, { { targetNodeHeader, *node } }, toJson(own) };
    fetch(m_directory.client(*node), std::move(request), now + reportTimeout, answerLimitBytes,
        [this, node = *node](const result<http_response>& answer) {
            m_isReporting = false;
            if (answer.has_value() && answer.value().head.status == 200)
                return;
            // The next report goes to the next node in order.
            m_passedOverUntil[node] = m_hooks.now() + passOverTime;
        });
}

void range_balancer::take(const http_exchange_ptr& exchange)
{
    const auto report = parseLoadReport(exchange->request().body);
    if (report.has_error()) {
        logEvent(log_event::peer_message_rejected, { { "target", target }, { "reason", report.error().message } });
        return exchange->respond({ { statusBadRequest, {} }, "" });
    }
    if (!m_hooks.isStoreAvailable())
        return exchange->respond({ { statusUnavailable, {} }, "" });
    adopt(report.value(), m_hooks.now());
    exchange->respond({});
}

void range_balancer::adopt(const load_report& report, time_point now)
{
    key_load keys(loadMemory);
    for (const auto& [key, load] : report.keys)
        keys.add(key, load, now);
    m_reports.insert_or_assign(report.life, known_report { report.demand, std::move(keys), now });
}

double range_balancer::demandIn(
    const range_map& map, const life_name& life, const known_report& report, time_point now) const
{
    const double total = report.keys.total(now);
    if (total <= 0)
        return report.demand;
    double owned = 0;
    for (const auto& range : map.ranges()) {
        if (range.owner == life)
            owned += report.keys.of(range.keys, now);
    }
    return report.demand * owned / total;
}

double range_balancer::arriving(const life_name& life, time_point now) const
{
    const auto found = m_moved.find(life);
    if (found == m_moved.end())
        return 0;
    double sum = 0;
    for (const auto& one : found->second) {
        const double age = std::chrono::duration<double>(now - one.movedAt) / std::chrono::duration<double>(loadMemory);
        sum += one.demand * std::exp(-age);
    }
    return sum;
}

void range_balancer::countMoves(const range_map& before, const range_map& after, time_point now)
{
    for (auto& [life, moves] : m_moved)
        std::erase_if(moves, [&](const moved_demand& one) { return now - one.movedAt > 4 * loadMemory; });
    std::erase_if(m_moved, [](const auto& entry) { return entry.second.empty(); });
    for (const auto& range : after.ranges()) {
        const auto& giver = before.find(range.keys.first).owner;
        const auto known = m_reports.find(giver);
        if (giver == range.owner || known == m_reports.end())
            continue;
        const auto& [demand, keys, receivedAt] = known->second;
        const double total = keys.total(now);
        if (total > 0)
            m_moved[range.owner].push_back({ demand * keys.of(range.keys, now) / total, now });
    }
}

range_map range_balancer::balance(const range_map& map, fencing_token fence, time_point now)
{
    m_plan.reset();
    std::erase_if(m_reports, [&](const auto& entry) { return now - entry.second.receivedAt > mostReportAge; });
    if (m_reports.empty() || now < m_mayPlanAt)
        return map;
    std::vector<owner_demand> owners;
    for (const auto& candidate : m_hooks.candidates()) {
        const auto& life = candidate.range.life;
        const auto known = m_reports.find(life);
        if (known == m_reports.end() && !candidate.hasRecentLoad)
            continue;
        const bool isReported = known != m_reports.end();
        const double demand = isReported ? demandIn(map, life, known->second, now) : candidate.range.load;
        owners.push_back({ { life, demand + arriving(life, now) }, isReported ? &known->second.keys : nullptr });
    }
    auto out = balanceLoad(map, owners, {}, fence, now);
    if (out != map)
        m_plan = { map, out };
    return out;
}

// A plan whose write met a conflict is made again on top of the newer map.
void range_balancer::written(time_point now)
{
    if (!m_plan)
        return;
    countMoves(m_plan->first, m_plan->second, now);
    m_plan.reset();
    m_mayPlanAt = now + planInterval;
}

} // namespace heatherdrift
