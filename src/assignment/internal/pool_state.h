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

/// Loads and counts of the members of a pool, and the search for moves that improve them. One of the two is balanced at
/// a time, and the other must stay in its bounds.
class pool_state {
public:
    pool_state(const std::vector<pool_member>&, const balancer_options&);

    server_state* find(const instance_ref&);
    void add(server_state&, const owned_partition&);
    /// Moves a partition from one member to another if both are known.
    void move(const instance_ref& from, const instance_ref& to, partition_index);
    /// To be called when all partitions are in place.
    void sumUp();

    /// Whether an instance differs from its fair part by more than the level.
    bool isOutOfBalance(bool byLoad, double level) const;
    /// The next move that improves the balance, if there is one.
    std::optional<proposed_move> findMove(bool byLoad) const;

private:
    double value(const server_state&, bool byLoad) const;
    double fair(const server_state&, bool byLoad) const;
    /// Fair part of a member that receives partitions.
    double target(const server_state&, bool byLoad) const;
    double relative(const server_state&, bool byLoad) const;
    double tolerance(const server_state&, bool byLoad) const;
    bool isOver(const server_state&, bool byLoad, double level) const;
    bool isUnder(const server_state&, bool byLoad, double level) const;
    std::vector<const server_state*> byRelativeValue(bool byLoad) const;

    std::optional<proposed_move> findMove(
        bool byLoad, const server_state& donor, const server_state& receiver, bool isRelief) const;
    bool isAdmissibleByCount(const server_state& donor, const server_state& receiver, const owned_partition&) const;
    bool isAdmissibleByLoad(
        const server_state& donor, const server_state& receiver, const owned_partition&, bool isRelief) const;
    bool keepsCount(const server_state& donor, const server_state& receiver, const owned_partition&) const;
    bool keepsLoad(const server_state& donor, const server_state& receiver, const owned_partition&) const;
    /// The lower, the better the move: first a class, then an order in the class.
    std::pair<int, double> rankByCount(const server_state& receiver, const owned_partition&) const;
    std::pair<int, double> rankByLoad(
        const server_state& donor, const server_state& receiver, const owned_partition&, bool isRelief) const;

    balancer_options m_options;
    std::vector<server_state> m_servers;
    double m_count = 0;
    double m_load = 0;
    double m_capacity = 0;
    double m_measuredCapacity = 0;
};

} // namespace heatherdrift
