#include "assignment/internal/pool_state.h"

#include <algorithm>
#include <cmath>

namespace heatherdrift {

namespace {

    // A partition with less than this part of the excess is not worth its move: if one partition holds most of the
    // load, moving all others away does not help. Isolating the hot key does.
    constexpr double mostMovesPerRelief = 64;

    // A move by load must lower the higher of the two relative loads by at least this, so that a sequence of moves
    // under constant loads ends.
    constexpr double leastImprovement = 0.1;

    // A partition with this part of the missing load is good enough to need few moves.
    constexpr double goodPart = 0.25;

} // namespace

pool_state::pool_state(const std::vector<pool_member>& members, const balancer_options& options)
    : m_options(options)
{
    for (const auto& member : members) {
        server_state server;
        server.self = member.self;
        server.capacity = member.capacity;
        server.ramp = member.ramp;
        m_servers.push_back(std::move(server));
    }
}

server_state* pool_state::find(const instance_ref& instance)
{
    const auto found = std::ranges::lower_bound(m_servers, instance, {}, &server_state::self);
    return found != m_servers.end() && found->self == instance ? &*found : nullptr;
}

void pool_state::add(server_state& server, const owned_partition& partition)
{
    server.partitions.push_back(partition);
    server.count += partition.count();
    server.load += partition.load;
}

void pool_state::move(const instance_ref& from, const instance_ref& to, partition_index index)
{
    auto* donor = find(from);
    auto* receiver = find(to);
    if (!donor || !receiver)
        return;
    const auto found = std::ranges::find(donor->partitions, index, &owned_partition::index);
    if (found == donor->partitions.end())
        return;
    auto partition = *found;
    donor->partitions.erase(found);
    donor->count -= partition.count();
    donor->load -= partition.load;
    partition.isFrozen = true;
    add(*receiver, partition);
}

void pool_state::sumUp()
{
    for (const auto& server : m_servers) {
        m_count += server.count;
        m_capacity += server.capacity;
        if (!server.isMeasured)
            continue;
        m_load += server.load;
        m_measuredCapacity += server.capacity;
    }
}

double pool_state::value(const server_state& server, bool byLoad) const { return byLoad ? server.load : server.count; }

double pool_state::fair(const server_state& server, bool byLoad) const
{
    if (byLoad)
        return m_load * server.capacity / std::max(m_measuredCapacity, 1e-9);
    return m_count * server.capacity / std::max(m_capacity, 1e-9);
}

double pool_state::target(const server_state& server, bool byLoad) const { return fair(server, byLoad) * server.ramp; }

double pool_state::relative(const server_state& server, bool byLoad) const
{
    return value(server, byLoad) / std::max(fair(server, byLoad), 1e-9);
}

double pool_state::tolerance(const server_state& server, bool byLoad) const
{
    return byLoad ? m_options.idle * server.capacity : 1;
}

bool pool_state::isOver(const server_state& server, bool byLoad, double level) const
{
    const double excess = value(server, byLoad) - fair(server, byLoad);
    return relative(server, byLoad) > level && excess > tolerance(server, byLoad);
}

bool pool_state::isUnder(const server_state& server, bool byLoad, double level) const
{
    const double gap = target(server, byLoad) - value(server, byLoad);
    const bool isLow = value(server, byLoad) < target(server, byLoad) / level && gap > tolerance(server, byLoad);
    // A member with many cold partitions gets no more of them.
    return isLow && (!byLoad || server.count + 1 <= std::ceil(target(server, false) * m_options.high));
}

bool pool_state::isOutOfBalance(bool byLoad, double level) const
{
    return std::ranges::any_of(m_servers, [&](const server_state& server) {
        if (byLoad && !server.isMeasured)
            return false;
        return isOver(server, byLoad, level) || isUnder(server, byLoad, level);
    });
}

std::vector<const server_state*> pool_state::byRelativeValue(bool byLoad) const
{
    std::vector<const server_state*> servers;
    for (const auto& server : m_servers) {
        if (!byLoad || server.isMeasured)
            servers.push_back(&server);
    }
    std::ranges::stable_sort(servers, {}, [&](const auto* server) { return relative(*server, byLoad); });
    return servers;
}

std::optional<proposed_move> pool_state::findMove(bool byLoad) const
{
    const auto servers = byRelativeValue(byLoad);
    if (servers.size() < 2)
        return std::nullopt;
    if (isOver(*servers.back(), byLoad, m_options.settled)) {
        for (const auto* receiver : servers) {
            if (const auto move = findMove(byLoad, *servers.back(), *receiver, true))
                return move;
        }
    }
    // The lowest may be a member that has just started and holds all that it may.
    for (const auto* receiver : servers) {
        if (!isUnder(*receiver, byLoad, m_options.settled))
            continue;
        for (auto donor = servers.rbegin(); donor != servers.rend(); ++donor) {
            if (const auto move = findMove(byLoad, **donor, *receiver, false))
                return move;
        }
    }
    return std::nullopt;
}

std::optional<proposed_move> pool_state::findMove(
    bool byLoad, const server_state& donor, const server_state& receiver, bool isRelief) const
{
    if (&donor == &receiver)
        return std::nullopt;
    const owned_partition* best = nullptr;
    std::pair<int, double> bestRank;
    for (const auto& partition : donor.partitions) {
        const bool isAdmissible = byLoad ? isAdmissibleByLoad(donor, receiver, partition, isRelief)
                                         : isAdmissibleByCount(donor, receiver, partition);
        if (!isAdmissible)
            continue;
        const auto rank = byLoad ? rankByLoad(donor, receiver, partition, isRelief) : rankByCount(receiver, partition);
        if (best && rank >= bestRank)
            continue;
        best = &partition;
        bestRank = rank;
    }
    if (!best)
        return std::nullopt;
    return proposed_move { best->index, best->number, donor.self, receiver.self };
}

// A partition is sufficient if the receiver's load is fair once its count is fair with partitions of this load.
std::pair<int, double> pool_state::rankByCount(const server_state& receiver, const owned_partition& partition) const
{
    const double missing = std::max(1.0, target(receiver, false) - receiver.count);
    const double sufficient = receiver.isMeasured ? std::max(0.0, target(receiver, true) - receiver.load) / missing : 0;
    return partition.load >= sufficient ? std::pair(0, partition.load) : std::pair(1, -partition.load);
}

// Best is the coldest partition that is sufficient and fits, since its move disturbs the fewest requests. Next the
// hottest that fits and does a good part, so that few moves are needed. Else the one that leaves the lowest maximum.
std::pair<int, double> pool_state::rankByLoad(
    const server_state& donor, const server_state& receiver, const owned_partition& partition, bool isRelief) const
{
    const double left = donor.load - partition.load;
    const double received = receiver.load + partition.load;
    const double missing = isRelief ? donor.load - fair(donor, true) * m_options.settled
                                    : target(receiver, true) / m_options.settled - receiver.load;
    const bool fits = received <= target(receiver, true) * m_options.settled;
    if (fits && partition.load >= missing)
        return { 0, partition.load };
    if (fits && partition.load >= missing * goodPart)
        return { 1, -partition.load };
    return { 2, std::max(left / std::max(fair(donor, true), 1e-9), received / std::max(fair(receiver, true), 1e-9)) };
}

bool pool_state::isAdmissibleByCount(
    const server_state& donor, const server_state& receiver, const owned_partition& partition) const
{
    return !partition.isFrozen && !isHotPartition(partition.index) && donor.count - 1 >= fair(donor, false) - 0.5
        && receiver.count + 1 <= target(receiver, false) + 0.5 && keepsLoad(donor, receiver, partition);
}

bool pool_state::isAdmissibleByLoad(
    const server_state& donor, const server_state& receiver, const owned_partition& partition, bool isRelief) const
{
    const double excess = donor.load - fair(donor, true);
    if (partition.isFrozen || partition.load * mostMovesPerRelief < excess || partition.load <= 0)
        return false;
    const double lowest = fair(donor, true) / (isRelief ? m_options.high : m_options.settled);
    const double highest = std::max(m_options.settled, relative(donor, true) - leastImprovement);
    return donor.load - partition.load >= lowest && receiver.load + partition.load <= target(receiver, true) * highest
        && keepsCount(donor, receiver, partition);
}

bool pool_state::keepsCount(
    const server_state& donor, const server_state& receiver, const owned_partition& partition) const
{
    if (isHotPartition(partition.index))
        return true;
    return donor.count - 1 >= std::floor(fair(donor, false) / m_options.high)
        && receiver.count + 1 <= std::ceil(target(receiver, false) * m_options.high);
}

bool pool_state::keepsLoad(
    const server_state& donor, const server_state& receiver, const owned_partition& partition) const
{
    // Cold partitions may always move: balancing the count must not be blocked by the load.
    if (partition.load <= 0.5 * donor.load / std::max(1.0, donor.count))
        return true;
    const bool donorKeepsEnough
        = !donor.isMeasured || donor.load - partition.load >= fair(donor, true) / m_options.high;
    const bool receiverHasRoom
        = !receiver.isMeasured || receiver.load + partition.load <= target(receiver, true) * m_options.high;
    return donorKeepsEnough && receiverHasRoom;
}

} // namespace heatherdrift
