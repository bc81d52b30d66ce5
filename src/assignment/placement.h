#pragma once

#include "assignment/page_edit.h"

namespace heatherdrift {

/// Load of a partition in any unit, the same for all partitions; 0 if it is not known.
using load_function = std::function<double(partition_index)>;

/// What one transaction on one page is to assign; at most maximumSuccessors instances.
struct placement_step {
    std::uint32_t page = 0;
    std::vector<entry_assignment> assignments;

    bool operator==(const placement_step&) const = default;
};

/// Assigns all partitions of the pool that have no owner or whose owner is gone. The partitions of a restarted instance
/// go to its new incarnation; the others go where most capacity is free, by count and, if known, load. The result is a
/// function of the arguments: nodes with equal views plan the same for all pages, and each coordinator commits the
/// steps of its pages.
std::vector<placement_step> planRepair(const pool_configuration&, const partition_map&, const member_map&,
    const std::vector<pool_member>& eligible, const load_function& = {});

/// Assigns the partitions of an instance that leaves or does not belong to the pool any more to others.
std::vector<placement_step> planDrain(const pool_configuration&, const partition_map&, const instance_ref& leaving,
    const std::vector<pool_member>& eligible, const load_function& = {});

} // namespace heatherdrift
