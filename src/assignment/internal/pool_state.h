#pragma once

#include "assignment/balancer.h"

namespace heatherdrift {

struct owned_partition {
    partition_index index = 0;
    epoch number = 0;
    double load = 0;
    bool isFrozen = false;

    double count() const { return isHotPartition(index) ? 0 : 1; }
};

struct server_state {
    instance_ref self;
    double capacity = 0;
    double ramp = 1;
    bool isMeasured = false;
    double count = 0;
    double load = 0;
    std::vector<owned_partition> partitions;
};

/// Loads and partition counts of the members of a pool, and the search for moves that improve their balance. Each
/// search balances either the counts or the loads, and the other must stay within its bounds.
class pool_state {
public:
    pool_state(const std::vector<pool_member>&, const balancer_options&);

    server_state* find(const instance_ref&);
    void add(server_state&, const owned_partition&);
    /// Moves a partition from one member to another; ignored unless both are members of the pool.
    void move(const instance_ref& from, const instance_ref& to, partition_index);
    /// Must be called after all partitions have been added, before the functions below.
    void computeTotals();

    /// Whether any member is above its fair share by the level or below it by the inverse.
    bool isOutOfBalance(bool byLoad, double level) const;
    /// The next move that improves the balance, if any.
    std::optional<proposed_move> findMove(bool byLoad) const;

private:
    double value(const server_state&, bool byLoad) const;
    double fairShare(const server_state&, bool byLoad) const;
    /// Share that a member may be filled up to: its fair share, reduced during its slow start.
    double targetShare(const server_state&, bool byLoad) const;
    double relativeValue(const server_state&, bool byLoad) const;
    double tolerance(const server_state&, bool byLoad) const;
    bool isOver(const server_state&, bool byLoad, double level) const;
    bool isUnder(const server_state&, bool byLoad, double level) const;
    std::vector<const server_state*> sortedByRelativeValue(bool byLoad) const;

    std::optional<proposed_move> findMove(
        bool byLoad, const server_state& donor, const server_state& receiver, bool isRelievingDonor) const;
    bool isAdmissibleByCount(const server_state& donor, const server_state& receiver, const owned_partition&) const;
    bool isAdmissibleByLoad(
        const server_state& donor, const server_state& receiver, const owned_partition&, bool isRelievingDonor) const;
    bool keepsCountInBounds(const server_state& donor, const server_state& receiver, const owned_partition&) const;
    bool keepsLoadInBounds(const server_state& donor, const server_state& receiver, const owned_partition&) const;
    /// Rank of a move, lower is better: a class, then the order within the class.
    std::pair<int, double> rankByCount(const server_state& receiver, const owned_partition&) const;
    std::pair<int, double> rankByLoad(
        const server_state& donor, const server_state& receiver, const owned_partition&, bool isRelievingDonor) const;

    balancer_options m_options;
    std::vector<server_state> m_servers;
    double m_count = 0;
    double m_load = 0;
    double m_capacity = 0;
    double m_measuredCapacity = 0;
};

} // namespace heatherdrift
