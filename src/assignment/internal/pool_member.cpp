#include "assignment/pool_member.h"

namespace heatherdrift {

owner_status statusOf(const instance_ref& owner, const member_map& members)
{
    if (owner.id.empty())
        return owner_status::none;
    const auto found = members.find(owner.id);
    if (found == members.end() || found->second.row.self.number < owner.number)
        return owner_status::may_hold_lease;
    const auto& row = found->second.row;
    if (row.self.number > owner.number)
        return owner_status::gone;
    const bool hasEnded = row.state == member_state::fenced || row.state == member_state::left;
    return hasEnded ? owner_status::gone : owner_status::may_hold_lease;
}

bool canBeSuccessor(const member_row& row) { return row.state == member_state::active; }

std::vector<pool_member> eligibleMembers(
    const member_map& members, const member_predicate& isInPool, const ramp_function& ramp, int defaultSlots)
{
    std::vector<pool_member> eligible;
    for (const auto& [id, member] : members) {
        if (!canBeSuccessor(member.row) || !isInPool(member.row))
            continue;
        const double slots = member.row.slots > 0 ? member.row.slots : defaultSlots;
        eligible.push_back({ member.row.self, slots, ramp ? ramp(member.row.self) : 1 });
    }
    return eligible;
}

} // namespace heatherdrift
