#pragma once

#include "base/identifiers.h"
#include "store/member_row.h"

#include <functional>
#include <map>
#include <vector>

namespace heatherdrift {

/// Membership rows as a node knows them.
using member_map = std::map<instance_id, versioned_member>;

enum class owner_status {
    none, ///< There is no owner.
    gone, ///< Proven: this incarnation can never hold a lease again.
    may_hold_lease, ///< Only the owner itself may change its entries.
};

/// A missing row, or one of an older incarnation, proves nothing: the node's copy may be old.
owner_status statusOf(const instance_ref& owner, const member_map&);

/// Whether the instance may be named as the owner of a partition.
bool canBeSuccessor(const member_row&);

/// A member of a pool that may be given partitions.
struct pool_member {
    instance_ref self;
    double capacity = 1; ///< Its slots.
    double ramp = 1; ///< Share of its capacity that it may fill, from 0 to 1; below 1 after its start.

    bool operator==(const pool_member&) const = default;
};

using member_predicate = std::function<bool(const member_row&)>;
using ramp_function = std::function<double(const instance_ref&)>;

/// Members that may be given partitions, in the order of their ids. The predicate says whether a row belongs to the
/// pool and its region; members without announced slots get the default.
std::vector<pool_member> eligibleMembers(
    const member_map&, const member_predicate& isInPool, const ramp_function&, int defaultSlots);

} // namespace heatherdrift
