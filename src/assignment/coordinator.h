#pragma once

#include "assignment/partition_map.h"
#include "assignment/pool_member.h"
#include "base/clock.h"

#include <map>
#include <optional>
#include <string>

namespace heatherdrift {

/// Member that coordinates a page: the one with the highest rendezvous weight; null if no member is eligible. Nodes
/// with different views may both act as coordinator; the version checks of their transactions let only one write
/// succeed.
const pool_member* coordinatorOf(const std::string& pool, std::uint32_t page, const std::vector<pool_member>& eligible);

/// Decides when a coordinator writes the repair of a page. After the loss of an availability zone the owners in a page
/// are fenced one after the other; a short delay batches their repairs into one write of the page. The first assignment
/// of a new page is delayed until more members have joined.
class repair_schedule {
public:
    /// Must be called with each new view of a page that has partitions to assign. Returns when to write the repair:
    /// now, or at a deadline if an owner in the page is being fenced or the page does not exist yet.
    time_point repairAt(const versioned_page&, const member_map&, time_point now);
    /// Must be called when the page has no partitions to assign; clears its deadline.
    void onRepaired(const std::string& pool, std::uint32_t page);

private:
    struct page_id {
        std::string pool;
        std::uint32_t number = 0;

        auto operator<=>(const page_id&) const = default;
    };

    std::map<page_id, time_point> m_deadlines;
};

} // namespace heatherdrift
