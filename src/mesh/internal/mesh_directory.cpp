#include "mesh/internal/mesh_directory.h"

#include "base/hash.h"
#include "telemetry/log_event.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr int maxPeerConnections = 256; ///< Per peer; each connection carries one request at a time.
    constexpr auto peerIdleTime = std::chrono::seconds(60);
    /// Requests have about a second until their deadline. The kernel retransmits after 200 and 600 ms, so that three
    /// packets in a row have to be lost before a reachable node counts as silent.
    constexpr auto silenceLimit = std::chrono::milliseconds(700);
    constexpr auto connectTimeout = std::chrono::milliseconds(400); ///< Far above the round trip between regions.
    /// A restarting node responds again sooner than this; a node that fails for longer counts as unreachable.
    constexpr auto unreachableAfter = std::chrono::milliseconds(1500);
    /// A single lost packet of a new connection also looks like silence, so one is not enough.
    constexpr int silencesUntilUnreachable = 2;

    http_client_options peerOptions()
    {
        http_client_options options;
        options.maximumConnections = maxPeerConnections;
        options.idleConnectionTimeout = peerIdleTime;
        options.silenceLimit = silenceLimit;
        options.connectTimeout = connectTimeout;
        return options;
    }

    load_view_settings viewSettings(const std::string& zone)
    {
        load_view_settings settings;
        settings.zone = zone;
        settings.zoneTolerance = 1.1;
        settings.observationTimeConstant = std::chrono::seconds(3);
        settings.slowStart = { std::chrono::seconds(3), 0.3 };
        settings.outliers.baseEjectionTime = std::chrono::seconds(1);
        settings.outliers.maxEjectionTime = std::chrono::seconds(8);
        settings.outliers.window = std::chrono::seconds(2);
        settings.outliers.probes = 1;
        return settings;
    }

} // namespace

mesh_directory::mesh_directory(event_base* base, const mesh_settings& settings)
    : m_base(base)
    , m_settings(settings)
    , m_statuses(*this, settings.node)
{
}

mesh_directory::~mesh_directory() = default;

bool mesh_directory::acceptsWork(const mesh_member& member) const { return !member.life.empty() && !member.isDraining; }

load_view& mesh_directory::view(const std::string& service)
{
    auto& view = m_views[service];
    if (!view)
        view = std::make_unique<load_view>(
            seededRandom(hashBytes(m_settings.node + service)), viewSettings(m_settings.zone));
    return *view;
}

const load_view* mesh_directory::findView(const std::string& service) const
{
    const auto found = m_views.find(service);
    return found == m_views.end() ? nullptr : found->second.get();
}

void mesh_directory::update(const mesh_member& member, time_point now)
{
    std::erase_if(m_retired, [](const auto& client) { return client->idleCount() == client->connectionCount(); });
    auto& peer = m_peers[member.node];
    const bool isOther = peer.member.life != member.life || peer.member.service != member.service;
    m_whollyEvacuated.reset();
    if (isPickable(peer.member) && (!isPickable(member) || isOther))
        view(peer.member.service).remove(member.node);
    if (isPickable(member) && (!isPickable(peer.member) || isOther))
        view(member.service).add(member.node, member.zone, !peer.member.life.empty(), now);
    if (peer.member.address != member.address) {
        if (auto& client = m_clients[member.node])
            m_retired.push_back(std::move(client));
        m_clients.erase(member.node);
        peer.failingSince = time_point::max();
        peer.silences = 0;
    }
    if (peer.member.life != member.life) {
        peer.load = {};
        peer.loadAt = time_point::min();
    }
    if (peer.identity == 0 || peer.member.life != member.life || peer.member.address != member.address)
        peer.identity = ++m_lastIdentity;
    peer.member = member;
}

void mesh_directory::remove(const instance_id& node)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end())
        return;
    m_whollyEvacuated.reset();
    if (isPickable(found->second.member))
        view(found->second.member.service).remove(node);
    if (const auto client = m_clients.find(node); client != m_clients.end()) {
        m_retired.push_back(std::move(client->second));
        m_clients.erase(client);
    }
    m_peers.erase(found);
}

void mesh_directory::setEvacuated(const std::map<std::string, zone_evacuation>& zones, time_point now)
{
    const auto before = std::exchange(m_evacuated, zones);
    m_whollyEvacuated.reset();
    for (const auto& [node, peer] : m_peers) {
        const auto& member = peer.member;
        const bool wasEvacuated = before.contains(member.zone);
        if (!acceptsWork(member) || wasEvacuated == isEvacuated(member))
            continue;
        if (wasEvacuated)
            view(member.service).add(node, member.zone, true, now);
        else
            view(member.service).remove(node);
    }
}

bool mesh_directory::mayServeKeys(const mesh_member& member, time_point now) const
{
    const auto found = m_evacuated.find(member.zone);
    return found == m_evacuated.end() || now < found->second.closesAt;
}

bool mesh_directory::isWhollyEvacuated(const std::string& service) const
{
    if (m_evacuated.empty())
        return false;
    // Called for each request. Servers that drain or do not respond count, so that a cut from all other zones does not
    // look like their evacuation.
    if (!m_whollyEvacuated) {
        std::set<std::string> served;
        m_whollyEvacuated.emplace();
        for (const auto& [node, peer] : m_peers) {
            if (!peer.member.life.empty())
                (isEvacuated(peer.member) ? *m_whollyEvacuated : served).insert(peer.member.service);
        }
        for (const auto& name : served)
            m_whollyEvacuated->erase(name);
    }
    return m_whollyEvacuated->contains(service);
}

bool mesh_directory::hasInstanceIn(const std::string& zone) const
{
    return zone == m_settings.zone
        || std::ranges::any_of(m_peers, [&](const auto& entry) { return entry.second.member.zone == zone; });
}

const mesh_peer* mesh_directory::find(const instance_id& node) const
{
    const auto found = m_peers.find(node);
    return found == m_peers.end() ? nullptr : &found->second;
}

std::vector<instance_id> mesh_directory::nodesAt(const endpoint& address) const
{
    std::vector<instance_id> out;
    for (const auto& [node, peer] : m_peers) {
        if (peer.member.address == address)
            out.push_back(node);
    }
    return out;
}

void mesh_directory::setRowVersion(const instance_id& node, row_version version)
{
    if (const auto found = m_peers.find(node); found != m_peers.end())
        found->second.rowVersion = version;
}

void mesh_directory::requireAnswer(const instance_id& node, time_point now)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end())
        return;
    found->second.failingSince = now;
    found->second.failures = 1;
    found->second.silences = silencesUntilUnreachable;
}

const mesh_peer* mesh_directory::findLife(const life_name& life) const
{
    if (life.empty())
        return nullptr;
    const auto found
        = std::ranges::find_if(m_peers, [&](const auto& entry) { return entry.second.member.life == life; });
    return found == m_peers.end() ? nullptr : &found->second;
}

std::vector<const mesh_peer*> mesh_directory::available(const std::string& service, time_point now) const
{
    std::vector<const mesh_peer*> out;
    for (const auto& [node, peer] : m_peers) {
        if (peer.member.service == service && acceptsWork(peer.member) && !isUnreachable(peer, now))
            out.push_back(&peer);
    }
    return out;
}

std::vector<reported_status> mesh_directory::statuses(const std::string& service, time_point now) const
{
    std::vector<reported_status> out;
    for (const auto* peer : available(service, now)) {
        if (peer->load.status && !peer->load.isDraining)
            out.push_back({ *peer->load.status, now - peer->loadAt });
    }
    return out;
}

bool mesh_directory::isUnreachable(const mesh_peer& peer, time_point now) const
{
    if (peer.member.node == m_settings.node || peer.failingSince == time_point::max())
        return false;
    return peer.silences >= silencesUntilUnreachable || now - peer.failingSince >= unreachableAfter;
}

bool mesh_directory::hasAnsweredSince(const instance_id& node, time_point since) const
{
    const auto* peer = find(node);
    return peer && peer->answeredAt >= since;
}

std::vector<instance_id> mesh_directory::silentSince(time_point since, int minFailures) const
{
    std::vector<instance_id> out;
    for (const auto& [node, peer] : m_peers) {
        if (peer.failingSince < since && peer.failures >= minFailures)
            out.push_back(node);
    }
    return out;
}

http_client& mesh_directory::client(const instance_id& node)
{
    auto& client = m_clients[node];
    if (!client)
        client = http_client::create(m_base, m_peers.at(node).member.address, peerOptions());
    return *client;
}

peer_question mesh_directory::question(const instance_id& node, time_point now) const
{
    const auto* peer = find(node);
    return { node, peer ? peer->identity : 0, now };
}

bool mesh_directory::isAboutPresent(const peer_question& question) const
{
    const auto* peer = find(question.node);
    return peer && peer->identity == question.identity;
}

void mesh_directory::recordAnswer(const instance_id& node, const std::optional<gate_load>& load, time_point now)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end())
        return;
    auto& peer = found->second;
    peer.answeredAt = now;
    peer.failingSince = time_point::max();
    peer.failures = 0;
    peer.silences = 0;
    if (std::exchange(peer.isLossLogged, false))
        logEvent(log_event::peer_regained, { { "node", node } });
    // The request may have been answered before the present life was announced, or the node's row is late.
    const bool isOfOtherLife = load && !load->life.empty() && load->life != peer.member.life;
    if (!load || isOfOtherLife)
        return;
    peer.load = *load;
    peer.loadAt = now;
    if (!acceptsWork(peer.member))
        return;
    auto& servers = view(peer.member.service);
    servers.report(node, { !load->isDraining, std::min(1.0, load->load), now });
    if (load->status)
        servers.reportStatus(node, { *load->status, now });
    else if (load->life == peer.member.life) // An answer without the node's state, as for want of memory, says nothing.
        servers.clearStatus(node);
}

std::map<std::string, std::size_t> mesh_directory::knownStatuses(time_point now) const
{
    std::map<std::string, std::size_t> out;
    for (const auto& [service, servers] : m_views)
        out[service] = servers->knownStatuses(now);
    return out;
}

void mesh_directory::recordFailure(const instance_id& node, error_code reason, time_point now)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end())
        return;
    ++found->second.failures;
    found->second.silences += reason == error_code::unreachable;
    if (found->second.failingSince == time_point::max())
        found->second.failingSince = now;
    if (isUnreachable(found->second, now) && !std::exchange(found->second.isLossLogged, true)) {
        logEvent(log_event::peer_lost,
            { { "node", node }, { "failures", std::to_string(found->second.failures) },
                { "address", toString(found->second.member.address) } });
    }
}

} // namespace heatherdrift
