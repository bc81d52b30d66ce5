#pragma once

#include "assignment/page_edit.h"

namespace heatherdrift {

/// Load of a partition, in the same unit for all partitions; 0 if unknown.
using load_function = std::function<double(partition_index)>;

/// Assignments for one transaction on one page, to at most maximumSuccessors instances.
struct placement_step {
    std::uint32_t page = 0;
    std::vector<entry_assignment> assignments;

    bool operator==(const placement_step&) const = default;
};

/// Plans the assignment of all partitions of the pool that have no owner or whose owner is gone. The partitions of a
/// restarted instance are assigned to its new incarnation, the others to the members with the most free capacity by
/// count and, if known, load. The result depends on the arguments only: nodes with equal views compute the same plan
/// for all pages, and each coordinator commits the steps of its own pages.
std::vector<placement_step> planRepair(const pool_configuration&, const partition_map&, const member_map&,
    const std::vector<pool_member>& eligible, const load_function& = {});

/// Plans the assignment to other members of the partitions of an instance that is leaving or no longer in the pool.
std::vector<placement_step> planDrain(const pool_configuration&, const partition_map&, const instance_ref& leaving,
    const std::vector<pool_member>& eligible, const load_function& = {});

} // namespace heatherdrift
