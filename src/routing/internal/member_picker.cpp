#include "routing/internal/member_picker.h"

namespace heatherdrift {

member_choice member_picker::hooks()
{
    member_choice choice;
    choice.pick = [this](const routing_snapshot& snapshot, const std::string& pool, const instance_id& avoid) {
        return pick(snapshot, pool, avoid);
    };
    choice.started = [this](const instance_ref& member) { ++m_inFlight[member]; };
    choice.ended = [this](const instance_ref& member, duration, bool) {
        if (--m_inFlight[member] == 0)
            m_inFlight.erase(member);
    };
    return choice;
}

std::optional<instance_ref> member_picker::pick(
    const routing_snapshot& snapshot, const std::string& pool, const instance_id& avoid)
{
    std::vector<instance_ref> members;
    std::optional<instance_ref> avoided;
    for (const auto& [id, route] : snapshot.members) {
        if (!route.isServing || route.pool != pool)
            continue;
        if (id == avoid)
            avoided = route.self;
        else
            members.push_back(route.self);
    }
    if (members.empty())
        return avoided;
    const auto any
        = [&] { return members[std::uniform_int_distribution<std::size_t>(0, members.size() - 1)(m_random)]; };
    const auto first = any();
    const auto second = any();
    const auto busy = [&](const instance_ref& member) {
        const auto found = m_inFlight.find(member);
        return found == m_inFlight.end() ? 0 : found->second;
    };
    return busy(second) < busy(first) ? second : first;
}

} // namespace heatherdrift
