#pragma once

#include "assignment/placement.h"

#include <string>

namespace heatherdrift::test {

inline pool_configuration makePool(std::uint32_t partitions)
{
    pool_configuration pool;
    pool.name = "pool";
    pool.partitions = partitions;
    return pool;
}

inline versioned_member makeMember(
    const instance_id& id, incarnation number = 1, member_state state = member_state::active, row_version version = 1)
{
    versioned_member member;
    member.version = version;
    member.row.self = { id, number };
    member.row.state = state;
    return member;
}

/// Ids that sort by number: i000, i001, ...
inline instance_id idOf(std::size_t number) { return "i" + std::to_string(1000 + number).substr(1); }

inline member_map makeMembers(std::size_t count)
{
    member_map members;
    for (std::size_t i = 0; i < count; ++i)
        members[idOf(i)] = makeMember(idOf(i));
    return members;
}

inline std::vector<pool_member> eligibleOf(const member_map& members, const ramp_function& ramp = {})
{
    return eligibleMembers(
        members, [](const member_row&) { return true; }, ramp, 12);
}

/// Page with entries owned by the given instances at epoch 1.
inline versioned_page makePage(const std::vector<instance_ref>& owners, std::uint32_t number = 0)
{
    versioned_page page;
    page.version = 1;
    page.row.pool = "pool";
    page.row.number = number;
    for (const auto& owner : owners)
        page.row.entries.push_back({ owner, 1, {} });
    return page;
}

/// Returns the view after the edit has taken effect.
inline partition_map apply(const partition_map& map, const page_edit& edit)
{
    auto pages = edit.pages;
    for (auto& page : pages)
        ++page.version;
    return map.with(pages);
}

/// Returns the view after all steps have taken effect; adds the number of changed entries to `moved`.
inline partition_map applySteps(const pool_configuration& pool, partition_map map, const member_map& members,
    const std::vector<placement_step>& steps, std::size_t& moved)
{
    for (const auto& step : steps) {
        const auto page = map.page(pool.name, step.page).value_or(absentPage(pool, step.page));
        const auto edit = assignOrphans(page, step.assignments, members, "operation");
        if (!edit)
            return {};
        moved += step.assignments.size();
        map = apply(map, edit.value());
    }
    return map;
}

/// Maximum and mean of a value over the members.
struct balance {
    double max = 0;
    double mean = 0;

    double ratio() const { return max / mean; }
};

inline balance balanceOf(const member_map& members, const std::function<double(const instance_ref&)>& value)
{
    balance found;
    for (const auto& member : eligibleOf(members)) {
        found.max = std::max(found.max, value(member.self));
        found.mean += value(member.self) / static_cast<double>(eligibleOf(members).size());
    }
    return found;
}

inline balance countBalance(const partition_map& map, const member_map& members)
{
    return balanceOf(members, [&](const auto& one) { return static_cast<double>(map.ownedBy("pool", one).size()); });
}

} // namespace heatherdrift::test
