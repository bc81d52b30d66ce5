#include "mesh/internal/range_balancer.h"

#include "base/json_reader.h"
#include "mesh/forward_protocol.h"
#include "telemetry/log_event.h"

#include <algorithm>
#include <cmath>

namespace heatherdrift {

namespace {

    constexpr auto reportInterval = std::chrono::milliseconds(700); ///< Hot keys change within seconds.
    constexpr auto reportTimeout = std::chrono::milliseconds(300); ///< A node responds within milliseconds.
    constexpr auto maxReportAge = std::chrono::milliseconds(1600); ///< Two report intervals plus transmission time.
    constexpr auto planInterval = std::chrono::milliseconds(700);
    /// Time constant of the load measurement, within which an owner's report comes to include keys moved to it.
    constexpr auto loadTimeConstant = std::chrono::milliseconds(1500);
    constexpr auto plannerBackoff = std::chrono::seconds(2); ///< For a node that failed to accept a report.
    constexpr double demandToReport = 0.65; ///< Slightly below the demand at which keys are moved away from an owner.
    /// Covers a hot range of about 200 keys; the load of the remaining keys is negligible.
    constexpr std::size_t maxReportedKeys = 320;
    constexpr std::size_t answerLimitBytes = 1024;
    constexpr int statusUnavailable = 503;
    constexpr int statusBadRequest = 400;
    constexpr double maxLoad = 1e6; ///< Sums of the loads of all keys stay finite.

    bool isKeyLoad(const json& entry)
    {
        return entry.is_array() && entry.size() == 2 && entry[0].is_number_unsigned()
            && entry[0].get<std::uint64_t>() <= lastKey && entry[1].is_number() && entry[1].get<double>() >= 0
            && entry[1].get<double>() <= maxLoad;
    }

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
    reader.readNumber("demand", out.demand, 0, maxLoad);
    reader.readValue("keys", [&](const json& value, const std::string& path) -> result<void> {
        if (!value.is_array())
            return notRun(error_code::bad_request, path + ": expected an array");
        for (const auto& entry : value) {
            if (!isKeyLoad(entry))
                return notRun(error_code::bad_request, path + ": expected pairs of a key and its load");
            out.keys.emplace_back(entry[0].get<key_number>(), entry[1].get<double>());
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
    , m_tick(base, [this] { sendReport(); })
{
}

void range_balancer::start() { m_tick.startRepeating(reportInterval); }

std::optional<instance_id> range_balancer::planner(const std::vector<owner_candidate>& candidates, time_point now) const
{
    for (const auto& candidate : candidates) {
        const auto found = m_skippedUntil.find(candidate.node);
        const bool isSkipped = found != m_skippedUntil.end() && now < found->second;
        const bool isUnable = candidate.node == m_settings.node && !m_hooks.isStoreAvailable();
        // Promises are requested only from owners, so only they know which keys must not be moved.
        if (!isSkipped && !isUnable && m_hooks.isOwner(candidate.range.life))
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
        return now - entry.second.receivedAt < maxReportAge;
    });
}

void range_balancer::sendReport()
{
    const auto now = m_hooks.now();
    const auto candidates = m_hooks.candidates();
    const auto self = std::ranges::find(candidates, m_settings.node, &owner_candidate::node);
    if (self == candidates.end() || self->range.load < demandToReport || m_isReporting)
        return;
    const auto node = planner(candidates, now);
    if (!node)
        return;
    const load_report own { self->range.life, self->range.load, m_hooks.keyLoad().heaviest(maxReportedKeys, now) };
    if (*node == m_settings.node)
        return storeReport(own, now);
    m_isReporting = true;
    http_request request { "PUT", target, { { targetNodeHeader, *node } }, toJson(own) };
    fetch(m_directory.client(*node), std::move(request), now + reportTimeout, answerLimitBytes,
        [this, node = *node](const result<http_response>& answer) {
            m_isReporting = false;
            if (answer.has_value() && answer.value().head.status == 200)
                return;
            // The next report goes to the next node in order.
            m_skippedUntil[node] = m_hooks.now() + plannerBackoff;
        });
}

void range_balancer::handleReport(const http_exchange_ptr& exchange)
{
    const auto report = parseLoadReport(exchange->request().body);
    if (report.has_error()) {
        logEvent(log_event::peer_message_rejected, { { "target", target }, { "reason", report.error().message } });
        return exchange->respond({ { statusBadRequest, {} }, "" });
    }
    if (!m_hooks.isStoreAvailable())
        return exchange->respond({ { statusUnavailable, {} }, "" });
    storeReport(report.value(), m_hooks.now());
    exchange->respond({});
}

void range_balancer::storeReport(const load_report& report, time_point now)
{
    key_load keys(loadTimeConstant);
    for (const auto& [key, load] : report.keys)
        keys.add(key, load, now);
    m_reports.insert_or_assign(report.life, received_report { report.demand, std::move(keys), now });
}

double range_balancer::demandIn(
    const range_map& map, const life_name& life, const received_report& report, time_point now) const
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

double range_balancer::pendingDemand(const life_name& life, time_point now) const
{
    const auto found = m_moved.find(life);
    if (found == m_moved.end())
        return 0;
    double sum = 0;
    for (const auto& one : found->second) {
        const double age
            = std::chrono::duration<double>(now - one.movedAt) / std::chrono::duration<double>(loadTimeConstant);
        sum += one.demand * std::exp(-age);
    }
    return sum;
}

void range_balancer::recordMoves(const range_map& before, const range_map& after, time_point now)
{
    for (auto& [life, moves] : m_moved)
        std::erase_if(moves, [&](const moved_demand& one) { return now - one.movedAt > 4 * loadTimeConstant; });
    std::erase_if(m_moved, [](const auto& entry) { return entry.second.empty(); });
    for (const auto& range : after.ranges()) {
        const auto& previousOwner = before.find(range.keys.first).owner;
        const auto found = m_reports.find(previousOwner);
        if (previousOwner == range.owner || found == m_reports.end())
            continue;
        const auto& [demand, keys, receivedAt] = found->second;
        const double total = keys.total(now);
        if (total > 0)
            m_moved[range.owner].push_back({ demand * keys.of(range.keys, now) / total, now });
    }
}

range_map range_balancer::balance(const range_map& map, fencing_token fence, time_point now)
{
    m_plan.reset();
    std::erase_if(m_reports, [&](const auto& entry) { return now - entry.second.receivedAt > maxReportAge; });
    if (m_reports.empty() || now < m_mayPlanAt)
        return map;
    std::vector<owner_demand> owners;
    for (const auto& candidate : m_hooks.candidates()) {
        const auto& life = candidate.range.life;
        const auto found = m_reports.find(life);
        if (found == m_reports.end() && !candidate.hasRecentLoad)
            continue;
        const bool isReported = found != m_reports.end();
        const double demand = isReported ? demandIn(map, life, found->second, now) : candidate.range.load;
        owners.push_back({ { life, demand + pendingDemand(life, now) }, isReported ? &found->second.keys : nullptr });
    }
    auto out = balanceLoad(map, owners, {}, fence, now);
    if (out != map)
        m_plan = { map, out };
    return out;
}

// After a write conflict this is not called; balance() then plans again from the newer map.
void range_balancer::onWritten(time_point now)
{
    if (!m_plan)
        return;
    recordMoves(m_plan->first, m_plan->second, now);
    m_plan.reset();
    m_mayPlanAt = now + planInterval;
}

} // namespace heatherdrift
