#include "admission/load_view.h"

#include "admission/seconds.h"

#include <algorithm>
#include <numeric>

namespace heatherdrift {

namespace {

    // Latency assumed before any server was observed; only relative costs matter.
    constexpr double priorLatency = 0.005;
    // Number of local calls from which local observation overrides a report.
    constexpr double contradictingCalls = 3;
    // Added to the cost factor of a server that refuses every call. A refusal is fast but causes a retry elsewhere.
    constexpr double refusalPenalty = 4;
    // A server that fails every call costs ten times its latency until it is ejected.
    constexpr double maxFailureShare = 0.9;
    // Costs within this factor count as equal; otherwise an idle pool would send all calls to the server with the
    // slightly lowest latency.
    constexpr double equalCosts = 1.1;
    constexpr int maxDraws = 16;
    // Each unanswered call of this node adds this share to the expected completion: the answers of a server that has
    // become slow since its report are late (p99 with 66 entry nodes: 395 against 405 ms).
    constexpr double unansweredShare = 0.5;
    // Expected service time of a server that has not stated any yet, relative to the mean of the others. With 1, a
    // server is not tried while the others are slightly faster than their mean of the last seconds.
    constexpr double unknownShare = 0.5;
    constexpr duration poolWaitTimeConstant = std::chrono::seconds(1);
    // The status of a cold server counts as this much younger when nodes choose statuses to pass on.
    constexpr int coldAgeDivisor = 2;

    double failurePenalty(double share) { return 1 / (1 - std::min(share, maxFailureShare)); }

    bool isExcluded(const pick_options& options, const instance_id& id)
    {
        return std::ranges::find(options.excluded, id) != options.excluded.end();
    }

} // namespace

load_view::load_view(random_function random, const load_view_settings& settings)
    : m_random(std::move(random))
    , m_settings(settings)
    , m_outliers(settings.outliers)
    , m_poolLatency(settings.observationTimeConstant)
    , m_poolService(settings.observationTimeConstant)
    , m_poolWaits(urgencyLevels, decaying_average(poolWaitTimeConstant))
{
}

void load_view::add(const instance_id& id, const std::string& zone, bool isCold, time_point now)
{
    if (find(id))
        return;
    const auto startedAt = isCold ? now : now - m_settings.slowStart.ramp;
    m_servers.push_back({ .id = id,
        .zone = zone,
        .warmUp = slow_start(startedAt, m_settings.slowStart),
        .latency = decaying_average(m_settings.observationTimeConstant),
        .failures = decaying_average(m_settings.observationTimeConstant),
        .refusals = decaying_average(m_settings.observationTimeConstant),
        .lastReport = std::nullopt });
    m_outliers.add(id, now);
    rebuildIndex();
}

void load_view::remove(const instance_id& id)
{
    std::erase_if(m_servers, [&](const server& one) { return one.id == id; });
    m_outliers.remove(id);
    rebuildIndex();
}

void load_view::report(const instance_id& id, const server_report& report)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end())
        return;
    m_servers[found->second].lastReport = report;
    countUnhealthyReports();
}

// Picks the better one of two random candidates: the longest queue stays exponentially shorter than with one random
// choice, and unlike with the best of all, nodes that share old observations do not all pick the same server
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12, 2001).
std::optional<instance_id> load_view::pick(const pick_options& options, time_point now)
{
    if (auto probe = dueProbe(options, now))
        return probe;
    if (usesStatuses(now))
        return pickByCompletion(options, now);
    // The first candidate is from the local zone if possible; the second one, from any zone, prevents overload of the
    // local zone.
    auto first = draw(m_sameZone, options, std::nullopt, now);
    const double zoneTolerance = first ? m_settings.zoneTolerance : equalCosts;
    if (!first)
        first = draw(m_all, options, std::nullopt, now);
    if (!first)
        return fallbackServer(options, now);
    const auto second = draw(m_all, options, first, now);
    if (!second)
        return m_servers[*first].id;
    const bool isSameZone = m_servers[*second].zone == m_servers[*first].zone;
    const double limit = costOf(m_servers[*second], now) * (isSameZone ? equalCosts : zoneTolerance);
    return m_servers[costOf(m_servers[*first], now) <= limit ? *first : *second].id;
}

void load_view::onCallStarted(const instance_id& id, time_point now)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end())
        return;
    ++m_servers[found->second].inFlight;
    m_servers[found->second].completion.onCallStarted(now);
    if (m_outliers.condition(id, now) == server_condition::probing)
        m_outliers.startProbe(id, now);
}

void load_view::onCallFinished(const instance_id& id, const call_observation& observation, time_point now)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end())
        return;
    auto& server = m_servers[found->second];
    server.inFlight = std::max(server.inFlight - 1, 0);
    using kind = call_observation::kind;
    if (observation.outcome == kind::cancelled)
        return;
    if (observation.outcome == kind::overtaken) {
        // Evidence only if the server was expected to answer earlier.
        const double expected = server.latency.value(m_poolLatency.value(priorLatency, now), now);
        if (observation.latency && inSeconds(*observation.latency) > expected)
            server.latency.add(inSeconds(*observation.latency), now);
        return;
    }
    server.refusals.add(observation.outcome == kind::refused ? 1 : 0, now);
    if (observation.outcome == kind::refused)
        return;
    server.failures.add(observation.outcome == kind::failure ? 1 : 0, now);
    if (observation.outcome == kind::failure) {
        m_outliers.observeFailure(id, now);
        return;
    }
    if (observation.latency) {
        server.latency.add(inSeconds(*observation.latency), now);
        m_poolLatency.add(inSeconds(*observation.latency), now);
    }
    if (m_outliers.observeSuccess(id, now)) {
        server.warmUp = slow_start(now, m_settings.slowStart);
        server.failures = decaying_average(m_settings.observationTimeConstant);
    }
}

double load_view::cost(const instance_id& id, time_point now) const
{
    const auto* server = find(id);
    return server ? costOf(*server, now) : 0;
}

const load_view::server* load_view::find(const instance_id& id) const
{
    const auto found = m_positions.find(id);
    return found == m_positions.end() ? nullptr : &m_servers[found->second];
}

double load_view::costOf(const server& one, time_point now) const
{
    // Without recent calls a server's latency returns to that of the pool, so that it is tried again.
    const double latency = one.latency.value(m_poolLatency.value(priorLatency, now), now);
    return latency * (one.inFlight + 1) * penalties(one, now) * (1 + reportedLoad(one, now));
}

double load_view::penalties(const server& one, time_point now) const
{
    return failurePenalty(one.failures.value(0, now)) * (1 + refusalPenalty * one.refusals.value(0, now));
}

bool load_view::isEligible(const server& one, const pick_options& options, time_point now) const
{
    return !isExcluded(options, one.id) && m_outliers.condition(one.id, now) == server_condition::in_service
        && !isReportedUnhealthy(one, now) && !(options.needsWarm && mayBeCold(one, now));
}

// Local observation overrides a report. If half of the servers report that they are unhealthy, the reports are more
// likely wrong than the servers are unhealthy.
bool load_view::isReportedUnhealthy(const server& one, time_point now) const
{
    if (!one.lastReport || one.lastReport->isHealthy || now - one.lastReport->at > m_settings.maxReportAge)
        return false;
    if (2 * m_unhealthyReports >= m_servers.size())
        return false;
    const bool isObservedHealthy = one.failures.weight(now) >= contradictingCalls && one.failures.value(0, now) < 0.5;
    return !isObservedHealthy;
}

double load_view::reportedLoad(const server& one, time_point now) const
{
    if (!one.lastReport || now - one.lastReport->at > m_settings.maxReportAge)
        return 0;
    const double load = std::clamp(one.lastReport->load, 0.0, 1.0);
    const bool isRefusing = one.refusals.value(0, now) > 0.1;
    if (isRefusing)
        return 1; // Ignores the reported load.
    const double poolLatency = m_poolLatency.value(priorLatency, now);
    const bool isFast
        = one.latency.weight(now) >= contradictingCalls && one.latency.value(poolLatency, now) <= poolLatency;
    return isFast ? 0 : load;
}

bool load_view::reportStatus(const instance_id& id, const status_report& report, duration minGain)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end() || !m_servers[found->second].completion.record(report, minGain))
        return false;
    if (report.status.serviceTime > duration::zero())
        m_poolService.add(inSeconds(report.status.serviceTime), report.at);
    for (std::size_t level = 0; level < urgencyLevels; ++level)
        m_poolWaits[level].add(inSeconds(report.status.expectedWaits[level]), report.at);
    m_statusesUntil = std::max(m_statusesUntil, m_servers[found->second].completion.currentUntil());
    return true;
}

void load_view::clearStatus(const instance_id& id)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end() || !m_servers[found->second].completion.last())
        return;
    m_servers[found->second].completion.clear();
    m_statusesUntil = time_point::min();
    for (const auto& one : m_servers)
        m_statusesUntil = std::max(m_statusesUntil, one.completion.currentUntil());
}

// A server whose service time is not known counts as faster than usual, so that it is tried.
duration load_view::expectedCompletion(const server& one, std::size_t urgency, time_point now) const
{
    const double usual = m_poolService.value(m_poolLatency.value(priorLatency, now), now);
    const auto service = fromSeconds(one.latency.value(usual * unknownShare, now));
    return one.completion.completion(urgency, now, usualWait(urgency, now), service);
}

double load_view::completionCost(const server& one, std::size_t urgency, time_point now) const
{
    return inSeconds(expectedCompletion(one, urgency, now)) * (1 + unansweredShare * one.inFlight)
        * penalties(one, now);
}

// Compares a few random candidates for the same reason as pick(): other nodes know the same statuses.
std::optional<instance_id> load_view::pickByCompletion(const pick_options& options, time_point now)
{
    std::optional<position> best;
    double lowest = 0;
    for (int count = 0; count < m_settings.candidates; ++count) {
        // The first one is from the local zone if possible.
        auto drawn = count == 0 ? draw(m_sameZone, options, std::nullopt, now) : std::nullopt;
        if (!drawn)
            drawn = draw(m_all, options, best, now);
        if (!drawn)
            break;
        const auto& candidate = m_servers[*drawn];
        const bool isLocal = candidate.zone == m_settings.zone;
        const double cost
            = completionCost(candidate, options.urgency, now) / (isLocal ? m_settings.zoneTolerance : 1.0);
        if (best && cost >= lowest)
            continue;
        best = drawn;
        lowest = cost;
    }
    if (!best)
        return fallbackServer(options, now);
    if (!isInTime(m_servers[*best], options, now)) {
        if (const auto inTime = drawInTime(options, now))
            best = inTime;
    }
    return m_servers[*best].id;
}

bool load_view::isInTime(const server& one, const pick_options& options, time_point now) const
{
    if (options.answerBy == time_point::max())
        return true;
    const auto service = one.completion.serviceTime(now).value_or(duration::zero());
    // Service times vary; the gate refuses a request only if it cannot expect half of one.
    return now + one.completion.wait(options.urgency, now) + service / 2 <= options.answerBy;
}

// A random one of the servers that can start the request in time, since all nodes would pick the same best one.
std::optional<load_view::position> load_view::drawInTime(const pick_options& options, time_point now)
{
    std::vector<position> usable;
    for (const auto index : m_all) {
        if (isEligible(m_servers[index], options, now) && isInTime(m_servers[index], options, now))
            usable.push_back(index);
    }
    return draw(usable, options, std::nullopt, now);
}

std::optional<duration> load_view::earliestStart(std::size_t urgency, duration within, time_point now) const
{
    std::optional<duration> earliest;
    for (const auto& one : m_servers) {
        if (!isEligible(one, {}, now))
            continue;
        const bool isKnown = one.completion.isCurrent(now) || one.completion.isCold(now);
        const auto wait = one.completion.wait(urgency, now);
        if (!isKnown || wait <= within)
            return std::nullopt;
        earliest = std::min(earliest.value_or(wait), wait);
    }
    return earliest;
}

duration load_view::usualService(const server& one, time_point now) const
{
    const double usual = m_poolService.value(m_poolLatency.value(priorLatency, now), now);
    return fromSeconds(one.latency.value(usual, now));
}

// A server may become cold at any time, so that without a recent status it is not known to be warm.
bool load_view::mayBeCold(const server& one, time_point now) const
{
    return one.completion.isCold(now) || (usesStatuses(now) && !one.completion.isCurrent(now))
        || one.warmUp.share(now) < 1;
}

std::optional<server_outlook> load_view::outlook(const instance_id& id, std::size_t urgency, time_point now) const
{
    const auto* one = find(id);
    if (!one)
        return std::nullopt;
    const bool isInService = condition(id, now) == server_condition::in_service && !isReportedUnhealthy(*one, now);
    return server_outlook { one->completion.wait(urgency, now, usualWait(urgency, now)),
        one->completion.serviceTime(now).value_or(usualService(*one, now)), isInService, mayBeCold(*one, now) };
}

duration load_view::usualWait(std::size_t urgency, time_point now) const
{
    return usesStatuses(now) ? fromSeconds(m_poolWaits[urgency].value(0, now)) : duration::zero();
}

std::vector<named_status> load_view::statuses(std::size_t count, const instance_id& except, time_point now) const
{
    std::vector<std::pair<duration, position>> byAge;
    for (const auto index : m_all) {
        const auto& one = m_servers[index];
        if (!one.completion.isCurrent(now) || one.id == except || isReportedUnhealthy(one, now))
            continue;
        const auto age = now - one.completion.last()->at;
        byAge.emplace_back(one.completion.isCold(now) ? age / coldAgeDivisor : age, index);
    }
    const auto kept = std::min(count, byAge.size());
    std::ranges::partial_sort(byAge, byAge.begin() + static_cast<std::ptrdiff_t>(kept));
    std::vector<named_status> out;
    for (std::size_t place = 0; place < kept; ++place) {
        const auto& one = m_servers[byAge[place].second];
        out.push_back({ one.id, *one.completion.last() });
    }
    return out;
}

std::size_t load_view::knownStatuses(time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_servers, [&](const server& one) { return one.completion.isCurrent(now); }));
}

// Random choice, weighted by the slow start share, so that a cold server is drawn less often. If no draw hits an
// eligible server, all servers are scanned from a random position.
std::optional<load_view::position> load_view::draw(
    const std::vector<position>& from, const pick_options& options, std::optional<position> except, time_point now)
{
    if (from.empty())
        return std::nullopt;
    const auto random = [&] { return static_cast<std::size_t>(m_random() * static_cast<double>(from.size())); };
    const auto isUsable = [&](position one) { return one != except && isEligible(m_servers[one], options, now); };
    for (int count = 0; count < maxDraws; ++count) {
        const auto drawn = from[random()];
        if (m_random() < m_servers[drawn].warmUp.share(now) && isUsable(drawn))
            return drawn;
    }
    const auto offset = random();
    for (std::size_t step = 0; step < from.size(); ++step) {
        const auto candidate = from[(offset + step) % from.size()];
        if (isUsable(candidate))
            return candidate;
    }
    return std::nullopt;
}

// A server that is only reported as unhealthy is better than none.
std::optional<instance_id> load_view::fallbackServer(const pick_options& options, time_point now) const
{
    if (options.needsWarm)
        return std::nullopt;
    const auto found = std::ranges::find_if(m_servers, [&](const server& one) {
        return !isExcluded(options, one.id) && condition(one.id, now) == server_condition::in_service;
    });
    if (found == m_servers.end())
        return std::nullopt;
    return found->id;
}

std::optional<instance_id> load_view::dueProbe(const pick_options& options, time_point now)
{
    if (!options.mayProbe || m_outliers.outOfService() == 0)
        return std::nullopt;
    const auto found = std::ranges::find_if(m_servers,
        [&](const server& one) { return m_outliers.isProbeDue(one.id, now) && !isExcluded(options, one.id); });
    if (found == m_servers.end())
        return std::nullopt;
    return found->id;
}

void load_view::rebuildIndex()
{
    m_positions.clear();
    m_sameZone.clear();
    m_all.resize(m_servers.size());
    std::iota(m_all.begin(), m_all.end(), position { 0 });
    for (const auto index : m_all) {
        m_positions[m_servers[index].id] = index;
        if (m_servers[index].zone == m_settings.zone)
            m_sameZone.push_back(index);
    }
    countUnhealthyReports();
}

void load_view::countUnhealthyReports()
{
    m_unhealthyReports = static_cast<std::size_t>(std::ranges::count_if(
        m_servers, [](const server& one) { return one.lastReport && !one.lastReport->isHealthy; }));
}

} // namespace heatherdrift
