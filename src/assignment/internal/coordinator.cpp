#include "assignment/coordinator.h"

#include "base/hash.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    // Fencing an owner, from its start to the fenced row, takes up to 0.6 s. Partitions of owners that are already
    // fenced must not wait that long.
    constexpr duration maxBatchingDelay = std::chrono::milliseconds(300);

    // Instances of a new pool start one after the other. Without this delay the first one would be assigned every
    // partition, and the balancer would need minutes to spread them.
    constexpr duration firstAssignmentDelay = std::chrono::seconds(3);

    bool isBeingFenced(const page_entry& entry, const member_map& members)
    {
        const auto found = members.find(entry.owner.id);
        return found != members.end() && found->second.row.self == entry.owner
            && found->second.row.state == member_state::fencing;
    }

} // namespace

const pool_member* coordinatorOf(const std::string& pool, std::uint32_t page, const std::vector<pool_member>& eligible)
{
    const auto subject = pool + "/" + std::to_string(page);
    const auto highest = std::ranges::max_element(eligible, {}, [&](const pool_member& member) {
        return std::pair(rendezvousWeight(subject, member.self.id), member.self.id);
    });
    return highest == eligible.end() ? nullptr : &*highest;
}

time_point repair_schedule::repairAt(const versioned_page& page, const member_map& members, time_point now)
{
    const bool isNewPage = page.version == 0;
    const bool isWaiting = isNewPage
        || std::ranges::any_of(page.row.entries, [&](const auto& entry) { return isBeingFenced(entry, members); });
    const page_id id { page.row.pool, page.row.number };
    const auto [deadline, isNew]
        = m_deadlines.try_emplace(id, now + (isNewPage ? firstAssignmentDelay : maxBatchingDelay));
    return isWaiting ? std::max(now, deadline->second) : now;
}

void repair_schedule::onRepaired(const std::string& pool, std::uint32_t page) { m_deadlines.erase({ pool, page }); }

} // namespace heatherdrift
