#pragma once

#include "base/identifiers.h"
#include "store/member_row.h"

#include <functional>
#include <map>
#include <vector>

namespace heatherdrift {

/// Membership rows in a node's local copy, which may be outdated.
using member_map = std::map<instance_id, versioned_member>;

enum class owner_status {
    none, ///< There is no owner.
    gone, ///< The membership row proves that this incarnation can never hold a lease again.
    may_hold_lease, ///< Only the owner itself may change its entries.
};

/// A missing row, or one of an older incarnation, yields may_hold_lease, since the node's copy may be outdated.
owner_status statusOf(const instance_ref& owner, const member_map&);

/// Whether the instance may become the owner of a partition.
bool canBeSuccessor(const member_row&);

/// A member of a pool that is eligible to own partitions.
struct pool_member {
    instance_ref self;
    double capacity = 1; ///< Number of slots.
    double ramp = 1; ///< Share of its capacity that it may fill, from 0 to 1; below 1 during its slow start.

    bool operator==(const pool_member&) const = default;
};

using member_predicate = std::function<bool(const member_row&)>;
using ramp_function = std::function<double(const instance_ref&)>;

/// Members that are eligible to own partitions, ordered by id. The predicate returns whether a row belongs to the pool
/// and its region; members that have not announced their slots get the default.
std::vector<pool_member> eligibleMembers(
    const member_map&, const member_predicate& isInPool, const ramp_function&, int defaultSlots);

} // namespace heatherdrift
