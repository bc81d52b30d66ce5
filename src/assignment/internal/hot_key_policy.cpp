#include "assignment/hot_key_policy.h"

#include "assignment/page_edit.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    std::size_t hotKeysInUse(const pool_configuration& pool, const partition_map& map)
    {
        std::size_t count = 0;
        if (const auto page = map.page(pool.name, hotPageNumber))
            count = page->row.hotKeys.size() - static_cast<std::size_t>(std::ranges::count(page->row.hotKeys, ""));
        return count;
    }

    double loadOf(const std::vector<heavy_hitter>& hitters, const std::string& key)
    {
        const auto found = std::ranges::find(hitters, key, &heavy_hitter::key);
        return found == hitters.end() ? 0 : found->load;
    }

} // namespace

std::vector<hot_key_action> hot_key_policy::decide(const pool_configuration& pool, const partition_map& map,
    const instance_ref& self, const std::vector<heavy_hitter>& hitters, double meanLoad, time_point now)
{
    std::vector<hot_key_action> actions;
    if (meanLoad <= 0)
        return actions;
    decideReturn(pool, map, self, hitters, meanLoad, now, actions);
    decideIsolation(pool, map, self, hitters, meanLoad, now, actions);
    return actions;
}

void hot_key_policy::decideIsolation(const pool_configuration& pool, const partition_map& map, const instance_ref& self,
    const std::vector<heavy_hitter>& hitters, double meanLoad, time_point now, std::vector<hot_key_action>& actions)
{
    std::map<std::string, time_point> next;
    auto unused = maximumHotKeys - std::min(maximumHotKeys, hotKeysInUse(pool, map));
    for (const auto& hitter : hitters) {
        if (hitter.guaranteedLoad() < m_options.hotShare * meanLoad)
            continue;
        const auto entry = map.find(pool, hitter.key);
        if (!entry || isHotPartition(entry->index) || !entry->isOwnedBy(self))
            continue;
        const auto existing = m_isolateAt.find(hitter.key);
        const auto deadline = existing == m_isolateAt.end() ? now + m_options.minHotDuration : existing->second;
        next[hitter.key] = deadline;
        if (now < deadline || unused == 0)
            continue;
        --unused;
        actions.push_back({ hot_key_action::kind::isolate, hitter.key, 0, self.id });
    }
    m_isolateAt = std::move(next);
}

void hot_key_policy::decideReturn(const pool_configuration& pool, const partition_map& map, const instance_ref& self,
    const std::vector<heavy_hitter>& hitters, double meanLoad, time_point now, std::vector<hot_key_action>& actions)
{
    std::map<std::string, time_point> next;
    for (const auto partition : map.ownedBy(pool.name, self)) {
        const auto key = map.hotKeyOf(pool.name, partition);
        if (key.empty() || loadOf(hitters, key) >= m_options.coldShare * meanLoad)
            continue;
        const auto existing = m_returnAt.find(key);
        const auto deadline = existing == m_returnAt.end() ? now + m_options.minColdDuration : existing->second;
        next[key] = deadline;
        const auto home = map.find(pool.name, partitionOf(key, pool.partitions));
        if (now < deadline || !home || !home->owner)
            continue;
        const bool isHome = home->isOwnedBy(self);
        const auto what = isHome ? hot_key_action::kind::return_key : hot_key_action::kind::move_to_ordinary_owner;
        actions.push_back({ what, key, partition, home->owner->id });
    }
    m_returnAt = std::move(next);
}

} // namespace heatherdrift
