#include "assignment/capacity_ramp.h"

#include <algorithm>

namespace heatherdrift {

void capacity_ramp::onMembers(const member_map& members, time_point now)
{
    std::map<instance_ref, ramp_times> next;
    for (const auto& [id, member] : members) {
        if (!canBeSuccessor(member.row))
            continue;
        const auto known = m_members.find(member.row.self);
        const auto times = ramp_times { now, m_hasMembers ? now + m_options.length : now };
        next[member.row.self] = known == m_members.end() ? times : known->second;
    }
    m_hasMembers = m_hasMembers || !next.empty();
    m_members = std::move(next);
}

double capacity_ramp::ramp(const instance_ref& instance, time_point now) const
{
    const auto found = m_members.find(instance);
    if (found == m_members.end())
        return m_options.firstShare;
    const auto [start, end] = found->second;
    if (now >= end)
        return 1;
    const double passed = std::chrono::duration<double>(now - start) / std::chrono::duration<double>(end - start);
    return m_options.firstShare + (1 - m_options.firstShare) * std::clamp(passed, 0.0, 1.0);
}

} // namespace heatherdrift
