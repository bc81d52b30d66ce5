#pragma once

#include "assignment/partition_map.h"
#include "assignment/pool_member.h"
#include "base/clock.h"

#include <map>
#include <optional>
#include <string>

namespace heatherdrift {

/// Member that coordinates a page: the one with the highest rendezvous weight; null if there is none. Nodes that
/// disagree may both act; the versions in their transactions decide.
const pool_member* coordinatorOf(const std::string& pool, std::uint32_t page, const std::vector<pool_member>& eligible);

/// Says when a coordinator writes the repair of a page. With the loss of a zone the owners in a page are fenced one
/// after the other; waiting a little for the rest turns many writes of the page into one. The first assignment of a new
/// page waits for more members.
class repair_schedule {
public:
    /// Called with each new view of a page that has partitions to assign. Returns when to write the repair: now, or a
    /// deadline while an owner in the page is being fenced or the page does not exist.
    time_point repairAt(const versioned_page&, const member_map&, time_point now);
    /// To be called when the page has nothing to assign.
    void onRepaired(const std::string& pool, std::uint32_t page);

private:
    struct page_name {
        std::string pool;
        std::uint32_t number = 0;

        auto operator<=>(const page_name&) const = default;
    };

    std::map<page_name, time_point> m_deadlines;
};

} // namespace heatherdrift
