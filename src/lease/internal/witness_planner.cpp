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

    // After the loss of an availability zone, hundreds of instances miss a witness at the same time while the store is
    // busy with takeovers. An extra delay of up to 100%, fixed per instance, spreads their writes.
    duration withSpread(duration delay, const instance_id& self)
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
    updateHealth(health, now);
    const auto ideal = chooseWitnesses(self, members, [this](const member_row& row) { return !isAvoided(row.self); });
    const auto urgency = urgencyOf(current, ideal, members);
    if (urgency != m_urgency) {
        m_urgency = urgency;
        m_urgencySince = now;
    }
    if (urgency == change_urgency::none || now - m_urgencySince < changeDelay(urgency, self.self.id))
        return {};
    // With the empty set, the instance cannot be taken over. It is correct only if there is no other candidate; a
    // holder that receives no answers must lose its lease and be taken over instead.
    const auto unrestricted = chooseWitnesses(self, members);
    if (ideal.empty() && !unrestricted.empty())
        return {};
    // A silent witness does not justify a smaller set while a majority answers: once the witness returned, the set
    // would grow again, at the cost of two needless writes.
    if (urgency != change_urgency::urgent && ideal.size() < std::min(current.size(), unrestricted.size()))
        return {};
    return { urgency, ideal };
}

void witness_planner::updateHealth(const std::vector<witness_health>& health, time_point now)
{
    std::erase_if(m_avoidUntil, [now](const auto& entry) { return entry.second <= now; });
    for (const auto& entry : health) {
        if (entry.isSilent || entry.isReplaced)
            m_avoidUntil[entry.witness] = now + m_settings.replacementDelay;
        else
            m_avoidUntil.erase(entry.witness);
    }
}

bool witness_planner::isAvoided(const instance_ref& witness) const { return m_avoidUntil.contains(witness); }

change_urgency witness_planner::urgencyOf(const std::vector<instance_ref>& current,
    const std::vector<instance_ref>& ideal, const std::vector<member_row>& members) const
{
    if (isSameSet(current, ideal))
        return change_urgency::none;
    const auto missing = static_cast<std::size_t>(std::count_if(
        current.begin(), current.end(), [&](const instance_ref& witness) { return isMissing(witness, members); }));
    const auto silent = static_cast<std::size_t>(
        std::count_if(current.begin(), current.end(), [&](const instance_ref& witness) { return isAvoided(witness); }));
    if (current.size() - silent < majorityOf(current.size()))
        return change_urgency::urgent;
    const bool isSpreadBetter = survivesZoneLoss(ideal, members) && !survivesZoneLoss(current, members);
    if (missing != 0 || ideal.size() > current.size() || isSpreadBetter)
        return change_urgency::replace;
    return change_urgency::rebalance;
}

bool witness_planner::isMissing(const instance_ref& witness, const std::vector<member_row>& members) const
{
    if (isAvoided(witness))
        return true;
    const auto row = std::find_if(
        members.begin(), members.end(), [&](const member_row& member) { return member.self == witness; });
    return row == members.end() || (row->state != member_state::joining && row->state != member_state::active);
}

duration witness_planner::changeDelay(change_urgency urgency, const instance_id& self) const
{
    switch (urgency) {
    case change_urgency::none:
    case change_urgency::urgent:
        return {};
    case change_urgency::replace:
        return withSpread(m_settings.replacementDelay, self);
    case change_urgency::rebalance:
        return withSpread(m_settings.rebalanceDelay, self);
    }
    return {};
}

} // namespace heatherdrift
