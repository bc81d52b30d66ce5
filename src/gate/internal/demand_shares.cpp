#include "gate/demand_shares.h"

#include "admission/seconds.h"

namespace heatherdrift {

namespace {

    /// Shorter than the waves of demand, longer than the remaining time of most callers.
    constexpr auto timeConstant = std::chrono::seconds(2);
    /// Excess over the share at which a group is held back: a fraction of the permitted tenth.
    constexpr double permittedExcess = 1.05;
    /// Share of the demand of a level that is served when capacity suffices, but for few refusals.
    constexpr double sufficientShare = 0.95;
    constexpr std::size_t maxGroups = 64; ///< For each level; further groups are not limited.
    constexpr auto forgottenAfter = std::chrono::seconds(20); ///< A group without demand.

} // namespace

demand_shares::totals::totals()
    : demand(timeConstant)
    , started(timeConstant)
{
}

demand_shares::totals* demand_shares::find(const demand_group& group, time_point now)
{
    auto& groups = m_levels[urgencyLevel(group.priority)];
    const group_name name { group.kind, group.zone };
    if (!groups.contains(name) && groups.size() >= maxGroups)
        std::erase_if(groups, [&](const auto& entry) { return now - entry.second.lastAt > forgottenAfter; });
    if (!groups.contains(name) && groups.size() >= maxGroups)
        return nullptr;
    auto& found = groups[name];
    found.lastAt = now;
    return &found;
}

void demand_shares::recordDemand(const demand_group& group, duration work, time_point now)
{
    if (auto* found = find(group, now))
        found->demand.add(inSeconds(work), now);
}

void demand_shares::recordStart(const demand_group& group, duration work, time_point now)
{
    if (auto* found = find(group, now))
        found->started.add(inSeconds(work), now);
}

bool demand_shares::isAboveShare(const demand_group& group, time_point now) const
{
    const auto level = m_levels.find(urgencyLevel(group.priority));
    if (level == m_levels.end())
        return false;
    const auto own = level->second.find({ group.kind, group.zone });
    if (own == level->second.end())
        return false;
    double demand = 0;
    double started = 0;
    for (const auto& [name, one] : level->second) {
        demand += one.demand.value(now);
        started += one.started.value(now);
    }
    const auto& [ownName, ownTotals] = *own;
    return started < demand * sufficientShare
        && ownTotals.started.value(now) * demand > ownTotals.demand.value(now) * started * permittedExcess;
}

} // namespace heatherdrift
