#include "routing/peer_clients.h"

namespace heatherdrift {

namespace {

    const member_route* findMember(const routing_snapshot& snapshot, const instance_ref& instance)
    {
        const auto found = snapshot.members.find(instance.id);
        return found != snapshot.members.end() && found->second.self == instance ? &found->second : nullptr;
    }

} // namespace

peer_clients::peer_clients(event_base* base, int maximumConnectionsPerPeer)
    : m_base(base)
    , m_maximumConnections(maximumConnectionsPerPeer)
{
}

http_client* peer_clients::find(const routing_snapshot& snapshot, const instance_ref& instance)
{
    if (const auto found = m_clients.find(instance); found != m_clients.end())
        return found->second.get();
    const auto* member = findMember(snapshot, instance);
    if (!member)
        return nullptr;
    auto client = http_client::create(m_base, member->forward, m_maximumConnections);
    return m_clients.emplace(instance, std::move(client)).first->second.get();
}

void peer_clients::closeExcept(const routing_snapshot& snapshot)
{
    // A client with a call in progress is kept, since the response may still arrive.
    std::erase_if(m_clients, [&](const auto& entry) {
        return !findMember(snapshot, entry.first) && entry.second->connectionCount() == entry.second->idleCount();
    });
}

} // namespace heatherdrift
