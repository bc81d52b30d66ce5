#include "lease/witness_planner.h"

#include "base/hash.h"
#include "lease/witness_selection.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    bool isSameSet(std::vector<instance_ref> left, std::vector<instance_ref> right)
    {
        std::sort(left.begin(), left.end());
        std::sort(right.begin(), right.end());
        return left == right;
    }

    // After the loss of a zone hundreds of instances miss a witness at the same moment while the store is busy with
    // takeovers. A fixed extra delay per instance, up to the delay itself, spreads their writes.
    duration spread(duration delay, const instance_id& self)
    {
        constexpr std::uint64_t steps = 1024;
        return delay + delay * static_cast<duration::rep>(hashBytes(self) % steps) / static_cast<duration::rep>(steps);
    }

} // namespace

witness_planner::witness_planner(const lease_settings& settings)
    : m_settings(settings)
{
}

witness_plan witness_planner::plan(const member_row& self, const std::vector<member_row>& members,
    const std::vector<instance_ref>& current, const std::vector<witness_health>& health, time_point now)
{
    noteHealth(health, now);
    const auto ideal = chooseWitnesses(self, members, [this](const member_row& row) { return !isAvoided(row.self); });
    const auto need = needFor(current, ideal, members);
    if (need != m_need) {
        m_need = need;
        m_needSince = now;
    }
    if (need == witness_need::none || now - m_needSince < patience(need, self.self.id))
        return {};
    // The empty set ends all protection by takeover. It is right only if there is nobody else; a holder that hears
    // nobody must lose its lease instead, and be taken over.
    const auto unrestricted = chooseWitnesses(self, members);
    if (ideal.empty() && !unrestricted.empty())
        return {};
    // A silent witness in a set that still has its majority is no reason for a smaller set: when the witness returned,
    // the set would grow again, two writes for nothing.
    if (need != witness_need::urgent && ideal.size() < std::min(current.size(), unrestricted.size()))
        return {};
    return { need, ideal };
}

void witness_planner::noteHealth(const std::vector<witness_health>& health, time_point now)
{
    std::erase_if(m_avoidUntil, [now](const auto& entry) { return entry.second <= now; });
    for (const auto& entry : health) {
        if (entry.isSilent || entry.isGone)
            m_avoidUntil[entry.witness] = now + m_settings.replacementDelay;
        else
            m_avoidUntil.erase(entry.witness);
    }
}

bool witness_planner::isAvoided(const instance_ref& witness) const { return m_avoidUntil.contains(witness); }

witness_need witness_planner::needFor(const std::vector<instance_ref>& current, const std::vector<instance_ref>& ideal,
    const std::vector<member_row>& members) const
{
    if (isSameSet(current, ideal))
        return witness_need::none;
    const auto missing = static_cast<std::size_t>(std::count_if(
        current.begin(), current.end(), [&](const instance_ref& witness) { return isMissing(witness, members); }));
    const auto silent = static_cast<std::size_t>(
        std::count_if(current.begin(), current.end(), [&](const instance_ref& witness) { return isAvoided(witness); }));
    if (current.size() - silent < majorityOf(current.size()))
        return witness_need::urgent;
    const bool isSpreadBetter = survivesZoneLoss(ideal, members) && !survivesZoneLoss(current, members);
    if (missing != 0 || ideal.size() > current.size() || isSpreadBetter)
        return witness_need::replace;
    return witness_need::rebalance;
}

bool witness_planner::isMissing(const instance_ref& witness, const std::vector<member_row>& members) const
{
    if (isAvoided(witness))
        return true;
    const auto row = std::find_if(
        members.begin(), members.end(), [&](const member_row& member) { return member.self == witness; });
    return row == members.end() || (row->state != member_state::joining && row->state != member_state::active);
}

duration witness_planner::patience(witness_need need, const instance_id& self) const
{
    switch (need) {
    case witness_need::none:
    case witness_need::urgent:
        return {};
    case witness_need::replace:
        return spread(m_settings.replacementDelay, self);
    case witness_need::rebalance:
        return spread(m_settings.rebalanceDelay, self);
    }
    return {};
}

} // namespace heatherdrift
