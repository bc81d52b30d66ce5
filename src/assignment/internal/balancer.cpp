#include "assignment/balancer.h"

#include "assignment/internal/pool_state.h"

#include <algorithm>

namespace heatherdrift {

// With 64 partitions and 6 servers, a joining server receives its share within its slow start of one minute. With
// 16,384 partitions and 115 servers the limit is 256 moves per minute, under 1% of the store's write rate.
std::uint32_t maxMovesPerMinute(std::uint32_t partitions) { return std::max(16u, partitions / 64); }

std::uint32_t maxConcurrentMoves(std::uint32_t partitions) { return std::max(2u, partitions / 512); }

load_report makeLoadReport(const instance_ref& from, const std::map<partition_index, double>& loads)
{
    load_report report { from, 0, {} };
    std::vector<std::pair<double, partition_index>> byLoad;
    for (const auto& [partition, load] : loads) {
        report.load += load;
        byLoad.emplace_back(load, partition);
    }
    const auto count = std::min(byLoad.size(), maximumReportedPartitions);
    std::ranges::partial_sort(byLoad, byLoad.begin() + static_cast<std::ptrdiff_t>(count), std::greater());
    for (std::size_t i = 0; i < count; ++i)
        report.hottest.emplace(byLoad[i].second, byLoad[i].first);
    return report;
}

bool isMoveValid(
    const proposed_move& move, const std::string& pool, const partition_map& map, const member_map& members)
{
    const auto entry = map.find(pool, move.partition);
    const auto successor = members.find(move.to.id);
    return entry && entry->number == move.number && entry->isOwnedBy(move.from) && successor != members.end()
        && successor->second.row.self == move.to && canBeSuccessor(successor->second.row);
}

void balancer::onReport(
    const load_report& report, const pool_configuration& pool, const partition_map& map, time_point now)
{
    const auto owned = map.ownedBy(pool.name, report.from);
    double rest = report.load;
    std::size_t unlisted = 0;
    for (const auto partition : owned) {
        const auto listed = report.hottest.find(partition);
        rest -= listed == report.hottest.end() ? 0 : listed->second;
        unlisted += listed == report.hottest.end();
    }
    const double share = std::max(0.0, rest) / static_cast<double>(std::max<std::size_t>(1, unlisted));
    for (const auto partition : owned) {
        // The new owner's first report after a move covers only part of the reporting interval.
        const auto recent = m_recentMoves.find(partition);
        if (recent != m_recentMoves.end() && now < recent->second.pendingUntil)
            continue;
        const auto listed = report.hottest.find(partition);
        setLoad(partition, listed == report.hottest.end() ? share : listed->second);
    }
    m_reportsValidUntil[report.from] = now + m_options.reportExpiry;
}

double balancer::loadOf(partition_index partition) const
{
    const auto& loads = isHotPartition(partition) ? m_hotLoads : m_loads;
    const auto position = partition % hotPartitionBase;
    return position < loads.size() ? loads[position] : 0;
}

void balancer::setLoad(partition_index partition, double load)
{
    auto& loads = isHotPartition(partition) ? m_hotLoads : m_loads;
    const auto position = partition % hotPartitionBase;
    if (position >= loads.size())
        loads.resize(position + 1);
    loads[position] = static_cast<float>(load);
}

bool balancer::isPending(
    const recent_move& recent, const pool_configuration& pool, const partition_map& map, time_point now) const
{
    const auto entry = map.find(pool.name, recent.move.partition);
    return now < recent.pendingUntil && entry && entry->number == recent.move.number;
}

pool_state balancer::buildPoolState(const pool_configuration& pool, const partition_map& map,
    const std::vector<pool_member>& eligible, time_point now) const
{
    pool_state state(eligible, m_options);
    for (const auto& [instance, validUntil] : m_reportsValidUntil) {
        if (auto* server = state.find(instance))
            server->isMeasured = now < validUntil;
    }
    map.forEach(pool.name, [&](const partition_view& view) {
        auto* server = view.owner ? state.find(*view.owner) : nullptr;
        if (server)
            state.add(*server, { view.index, view.number, loadOf(view.index), m_recentMoves.contains(view.index) });
    });
    for (const auto& [partition, recent] : m_recentMoves) {
        if (isPending(recent, pool, map, now))
            state.move(recent.move.from, recent.move.to, partition);
    }
    state.computeTotals();
    return state;
}

bool balancer::mayAct(trigger& trigger, const pool_state& state, bool byLoad, time_point now) const
{
    if (!state.isOutOfBalance(byLoad, trigger.isActing ? m_options.targetLevel : m_options.imbalanceThreshold)) {
        trigger = {};
        return false;
    }
    if (!trigger.actAt)
        trigger.actAt = now + m_options.sustainPeriod;
    trigger.isActing = now >= *trigger.actAt;
    return trigger.isActing;
}

std::size_t balancer::moveBudget(const pool_configuration& pool, const partition_map& map, time_point now)
{
    if (now >= m_windowEnd) {
        m_windowEnd = now + std::chrono::minutes(1);
        m_movesInWindow = 0;
    }
    const auto pending = static_cast<std::uint32_t>(std::ranges::count_if(
        m_recentMoves, [&](const auto& entry) { return isPending(entry.second, pool, map, now); }));
    const auto inWindow = maxMovesPerMinute(pool.partitions) - m_movesInWindow;
    return std::min(
        inWindow, maxConcurrentMoves(pool.partitions) - std::min(pending, maxConcurrentMoves(pool.partitions)));
}

std::vector<proposed_move> balancer::propose(
    const pool_configuration& pool, const partition_map& map, const std::vector<pool_member>& eligible, time_point now)
{
    std::erase_if(m_recentMoves, [now](const auto& entry) { return now >= entry.second.frozenUntil; });
    std::erase_if(m_reportsValidUntil, [now](const auto& entry) { return now >= entry.second; });
    auto state = buildPoolState(pool, map, eligible, now);
    std::vector<proposed_move> moves;
    auto left = moveBudget(pool, map, now);
    for (const bool byLoad : { false, true }) {
        auto& trigger = m_triggers[byLoad];
        if (!mayAct(trigger, state, byLoad, now))
            continue;
        for (; left > 0; --left) {
            const auto move = state.findMove(byLoad);
            if (!move) {
                // No admissible move exists. Restarting the trigger requires another sustained imbalance before the
                // next search.
                trigger = {};
                break;
            }
            state.move(move->from, move->to, move->partition);
            m_recentMoves[move->partition] = { *move, now + m_options.proposalTimeout, now + m_options.moveCooldown };
            ++m_movesInWindow;
            moves.push_back(*move);
        }
    }
    return moves;
}

} // namespace heatherdrift
