#include "assignment/internal/pool_state.h"

#include <algorithm>
#include <cmath>

namespace heatherdrift {

namespace {

    // A partition with less than 1/64 of the donor's excess load is not moved: if one partition causes most of the
    // load, moving all the others away does not help, while isolating its hot key does.
    constexpr double maxMovesPerRelief = 64;

    // Minimum decrease, per move by load, of the higher of the two relative loads. It guarantees that a sequence of
    // moves under constant loads terminates.
    constexpr double minImprovement = 0.1;

    // A partition with at least this fraction of the missing load is preferred, so that few moves are needed.
    constexpr double substantialFraction = 0.25;

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

void pool_state::computeTotals()
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

double pool_state::fairShare(const server_state& server, bool byLoad) const
{
    if (byLoad)
        return m_load * server.capacity / std::max(m_measuredCapacity, 1e-9);
    return m_count * server.capacity / std::max(m_capacity, 1e-9);
}

double pool_state::targetShare(const server_state& server, bool byLoad) const
{
    return fairShare(server, byLoad) * server.ramp;
}

double pool_state::relativeValue(const server_state& server, bool byLoad) const
{
    return value(server, byLoad) / std::max(fairShare(server, byLoad), 1e-9);
}

double pool_state::tolerance(const server_state& server, bool byLoad) const
{
    return byLoad ? m_options.loadTolerance * server.capacity : 1;
}

bool pool_state::isOver(const server_state& server, bool byLoad, double level) const
{
    const double excess = value(server, byLoad) - fairShare(server, byLoad);
    return relativeValue(server, byLoad) > level && excess > tolerance(server, byLoad);
}

bool pool_state::isUnder(const server_state& server, bool byLoad, double level) const
{
    const double gap = targetShare(server, byLoad) - value(server, byLoad);
    const bool isLow = value(server, byLoad) < targetShare(server, byLoad) / level && gap > tolerance(server, byLoad);
    // A member that already has its maximum count of partitions, most of them cold, is not a receiver by load.
    return isLow
        && (!byLoad || server.count + 1 <= std::ceil(targetShare(server, false) * m_options.imbalanceThreshold));
}

bool pool_state::isOutOfBalance(bool byLoad, double level) const
{
    return std::ranges::any_of(m_servers, [&](const server_state& server) {
        if (byLoad && !server.isMeasured)
            return false;
        return isOver(server, byLoad, level) || isUnder(server, byLoad, level);
    });
}

std::vector<const server_state*> pool_state::sortedByRelativeValue(bool byLoad) const
{
    std::vector<const server_state*> servers;
    for (const auto& server : m_servers) {
        if (!byLoad || server.isMeasured)
            servers.push_back(&server);
    }
    std::ranges::stable_sort(servers, {}, [&](const auto* server) { return relativeValue(*server, byLoad); });
    return servers;
}

std::optional<proposed_move> pool_state::findMove(bool byLoad) const
{
    const auto servers = sortedByRelativeValue(byLoad);
    if (servers.size() < 2)
        return std::nullopt;
    if (isOver(*servers.back(), byLoad, m_options.targetLevel)) {
        for (const auto* receiver : servers) {
            if (const auto move = findMove(byLoad, *servers.back(), *receiver, true))
                return move;
        }
    }
    // The member with the lowest relative value may be in its slow start and already at its reduced share, so the other
    // members are considered as receivers too.
    for (const auto* receiver : servers) {
        if (!isUnder(*receiver, byLoad, m_options.targetLevel))
            continue;
        for (auto donor = servers.rbegin(); donor != servers.rend(); ++donor) {
            if (const auto move = findMove(byLoad, **donor, *receiver, false))
                return move;
        }
    }
    return std::nullopt;
}

std::optional<proposed_move> pool_state::findMove(
    bool byLoad, const server_state& donor, const server_state& receiver, bool isRelievingDonor) const
{
    if (&donor == &receiver)
        return std::nullopt;
    const owned_partition* best = nullptr;
    std::pair<int, double> bestRank;
    for (const auto& partition : donor.partitions) {
        const bool isAdmissible = byLoad ? isAdmissibleByLoad(donor, receiver, partition, isRelievingDonor)
                                         : isAdmissibleByCount(donor, receiver, partition);
        if (!isAdmissible)
            continue;
        const auto rank
            = byLoad ? rankByLoad(donor, receiver, partition, isRelievingDonor) : rankByCount(receiver, partition);
        if (best && rank >= bestRank)
            continue;
        best = &partition;
        bestRank = rank;
    }
    if (!best)
        return std::nullopt;
    return proposed_move { best->index, best->number, donor.self, receiver.self };
}

// A partition is sufficient if the receiver reaches its share of the load when it fills its share of the count with
// partitions of this load. The coldest sufficient partition ranks best, then the hottest of the others.
std::pair<int, double> pool_state::rankByCount(const server_state& receiver, const owned_partition& partition) const
{
    const double missing = std::max(1.0, targetShare(receiver, false) - receiver.count);
    const double sufficient
        = receiver.isMeasured ? std::max(0.0, targetShare(receiver, true) - receiver.load) / missing : 0;
    return partition.load >= sufficient ? std::pair(0, partition.load) : std::pair(1, -partition.load);
}

// Class 0: the partition fits and is sufficient; the coldest first, since its move disturbs the fewest requests.
// Class 1: it fits and covers a substantial fraction of the missing load; the hottest first, so that few moves are
// needed. Class 2: all others; the one that leaves the lowest maximum of the two relative loads first.
std::pair<int, double> pool_state::rankByLoad(const server_state& donor, const server_state& receiver,
    const owned_partition& partition, bool isRelievingDonor) const
{
    const double left = donor.load - partition.load;
    const double received = receiver.load + partition.load;
    const double missing = isRelievingDonor ? donor.load - fairShare(donor, true) * m_options.targetLevel
                                            : targetShare(receiver, true) / m_options.targetLevel - receiver.load;
    const bool fits = received <= targetShare(receiver, true) * m_options.targetLevel;
    if (fits && partition.load >= missing)
        return { 0, partition.load };
    if (fits && partition.load >= missing * substantialFraction)
        return { 1, -partition.load };
    return { 2,
        std::max(left / std::max(fairShare(donor, true), 1e-9), received / std::max(fairShare(receiver, true), 1e-9)) };
}

bool pool_state::isAdmissibleByCount(
    const server_state& donor, const server_state& receiver, const owned_partition& partition) const
{
    return !partition.isFrozen && !isHotPartition(partition.index) && donor.count - 1 >= fairShare(donor, false) - 0.5
        && receiver.count + 1 <= targetShare(receiver, false) + 0.5 && keepsLoadInBounds(donor, receiver, partition);
}

bool pool_state::isAdmissibleByLoad(const server_state& donor, const server_state& receiver,
    const owned_partition& partition, bool isRelievingDonor) const
{
    const double excess = donor.load - fairShare(donor, true);
    if (partition.isFrozen || partition.load * maxMovesPerRelief < excess || partition.load <= 0)
        return false;
    const double lowest
        = fairShare(donor, true) / (isRelievingDonor ? m_options.imbalanceThreshold : m_options.targetLevel);
    const double highest = std::max(m_options.targetLevel, relativeValue(donor, true) - minImprovement);
    return donor.load - partition.load >= lowest
        && receiver.load + partition.load <= targetShare(receiver, true) * highest
        && keepsCountInBounds(donor, receiver, partition);
}

bool pool_state::keepsCountInBounds(
    const server_state& donor, const server_state& receiver, const owned_partition& partition) const
{
    if (isHotPartition(partition.index))
        return true;
    return donor.count - 1 >= std::floor(fairShare(donor, false) / m_options.imbalanceThreshold)
        && receiver.count + 1 <= std::ceil(targetShare(receiver, false) * m_options.imbalanceThreshold);
}

bool pool_state::keepsLoadInBounds(
    const server_state& donor, const server_state& receiver, const owned_partition& partition) const
{
    // Cold partitions may always be moved, so that the load bounds do not block balancing of the count.
    if (partition.load <= 0.5 * donor.load / std::max(1.0, donor.count))
        return true;
    const bool donorKeepsEnough
        = !donor.isMeasured || donor.load - partition.load >= fairShare(donor, true) / m_options.imbalanceThreshold;
    const bool receiverHasRoom = !receiver.isMeasured
        || receiver.load + partition.load <= targetShare(receiver, true) * m_options.imbalanceThreshold;
    return donorKeepsEnough && receiverHasRoom;
}

} // namespace heatherdrift
