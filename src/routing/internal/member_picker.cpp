#include "routing/internal/member_picker.h"

namespace heatherdrift {

member_picker::member_picker(instance_id self, clock_function now, std::uint64_t seed)
    : m_self(std::move(self))
    , m_now(std::move(now))
    , m_random(seededRandom(seed))
{
}

member_selection_hooks member_picker::hooks()
{
    member_selection_hooks selection;
    selection.pick = [this](const routing_snapshot&, const std::string& pool, const instance_id& avoid) {
        return pick(pool, avoid);
    };
    selection.onStarted = [this](const instance_ref& member) {
        if (auto* pool = viewOf(member))
            pool->view->onCallStarted(member.id, m_now());
    };
    selection.onEnded
        = [this](const instance_ref& member, const call_observation& observation) { onCallEnded(member, observation); };
    return selection;
}

void member_picker::setSnapshot(const routing_snapshot& snapshot)
{
    if (const auto own = snapshot.members.find(m_self); own != snapshot.members.end())
        m_zone = own->second.availabilityZone;
    std::map<std::string, std::map<instance_id, const member_route*>> serving;
    for (const auto& [id, route] : snapshot.members) {
        if (route.isServing)
            serving[route.pool][id] = &route;
    }
    for (const auto& [pool, members] : serving)
        m_pools.try_emplace(pool);
    for (auto& [pool, view] : m_pools)
        update(view, serving[pool]);
}

void member_picker::update(pool_view& pool, const std::map<instance_id, const member_route*>& serving)
{
    const auto now = m_now();
    const bool isFirst = !pool.view;
    if (isFirst) {
        load_view_settings settings;
        settings.zone = m_zone;
        pool.view = std::make_unique<load_view>(m_random, settings);
    }
    std::erase_if(pool.members, [&](const auto& entry) {
        const auto found = serving.find(entry.first);
        const bool isGone = found == serving.end() || found->second->self != entry.second;
        if (isGone)
            pool.view->remove(entry.first);
        return isGone;
    });
    for (const auto& [id, route] : serving) {
        // Members of the first snapshot were already serving and are treated as warm.
        if (pool.members.try_emplace(id, route->self).second)
            pool.view->add(id, route->availabilityZone, !isFirst, now);
    }
}

std::optional<instance_ref> member_picker::pick(const std::string& pool, const instance_id& avoid)
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return std::nullopt;
    pick_options options;
    if (!avoid.empty())
        options.excluded = { avoid };
    auto picked = found->second.view->pick(options, m_now());
    // Falls back to the member that failed last if there is no other.
    if (!picked && !avoid.empty())
        picked = found->second.view->pick({}, m_now());
    if (!picked)
        return std::nullopt;
    return found->second.members.at(*picked);
}

void member_picker::onCallEnded(const instance_ref& member, const call_observation& observation)
{
    if (auto* pool = viewOf(member))
        pool->view->onCallFinished(member.id, observation, m_now());
}

member_picker::pool_view* member_picker::viewOf(const instance_ref& member)
{
    for (auto& [name, pool] : m_pools) {
        const auto found = pool.members.find(member.id);
        if (found != pool.members.end() && found->second == member)
            return &pool;
    }
    return nullptr;
}

} // namespace heatherdrift
