#include "assignment/capacity_ramp.h"

#include <algorithm>

namespace heatherdrift {

void capacity_ramp::onMembers(const member_map& members, time_point now)
{
    std::map<instance_ref, ramp_times> next;
    for (const auto& [id, member] : members) {
        if (!canBeSuccessor(member.row))
            continue;
        const auto existing = m_members.find(member.row.self);
        const auto times = ramp_times { now, m_hasMembers ? now + m_options.rampDuration : now };
        next[member.row.self] = existing == m_members.end() ? times : existing->second;
    }
    m_hasMembers = m_hasMembers || !next.empty();
    m_members = std::move(next);
}

double capacity_ramp::ramp(const instance_ref& instance, time_point now) const
{
    const auto found = m_members.find(instance);
    if (found == m_members.end())
        return m_options.initialShare;
    const auto [start, end] = found->second;
    if (now >= end)
        return 1;
    const double passed = std::chrono::duration<double>(now - start) / std::chrono::duration<double>(end - start);
    return m_options.initialShare + (1 - m_options.initialShare) * std::clamp(passed, 0.0, 1.0);
}

} // namespace heatherdrift
