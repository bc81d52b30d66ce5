#pragma once

#include "admission/load_view.h"
#include "base/store_types.h"
#include "gate/call_capacity.h"
#include "http/http_client.h"
#include "mesh/forward_protocol.h"
#include "mesh/internal/life_evidence.h"
#include "mesh/internal/status_exchange.h"
#include "mesh/member.h"
#include "routes/evacuation_list.h"
#include "settings/mesh_settings.h"

#include <map>
#include <memory>
#include <set>

namespace heatherdrift {

/// State of a node as observed by this one.
struct mesh_peer {
    mesh_member member;
    /// Changes with the life of the backend server and the address of the node. Unique in this process.
    std::uint64_t identity = 0;
    row_version rowVersion = 0; ///< Version of its row in the store; 0 for this node itself.
    gate_load load;
    time_point loadAt = time_point::min();
    time_point answeredAt = time_point::min(); ///< Last response of the node to any request.
    time_point failingSince = time_point::max(); ///< First failure since the last response.
    int failures = 0; ///< Since the last response.
    int silences = 0; ///< Failures since the last response without any packet from the node's instance.
    bool isLossLogged = false; ///< The loss of the node has been logged.
};

/// The nodes of the mesh with their connections, reported loads and reachability.
class mesh_directory {
public:
    mesh_directory(event_base*, const mesh_settings&);
    ~mesh_directory();

    void update(const mesh_member&, time_point now);
    void remove(const instance_id&);
    /// Sets the evacuated zones. Their backend servers are not picked; those of a zone that returns count as cold.
    void setEvacuated(const std::map<std::string, zone_evacuation>&, time_point now);
    bool isEvacuated(const mesh_member& member) const { return m_evacuated.contains(member.zone); }
    /// Whether keyed requests may be sent to the backend server, if it has the keys.
    bool mayServeKeys(const mesh_member&, time_point now) const;
    /// Whether all backend servers of the service are in evacuated zones.
    bool isWhollyEvacuated(const std::string& service) const;
    /// Whether an instance is known in the zone, this node's or another one.
    bool hasInstanceIn(const std::string& zone) const;

    const std::map<instance_id, mesh_peer>& peers() const { return m_peers; }
    const mesh_peer* find(const instance_id&) const;
    std::vector<instance_id> nodesAt(const endpoint&) const;
    void setRowVersion(const instance_id&, row_version);
    /// Counts the node as unreachable until it responds.
    void requireAnswer(const instance_id&, time_point now);
    const mesh_peer* findLife(const life_name&) const;
    /// Reachable nodes whose backend servers of this service accept requests, in the order of their names.
    std::vector<const mesh_peer*> available(const std::string& service, time_point now) const;
    /// Whether the node has not responded for so long that requests should go to other nodes.
    bool isUnreachable(const mesh_peer&, time_point now) const;

    /// Last reported statuses of the backend servers of this service that accept requests.
    std::vector<reported_status> statuses(const std::string& service, time_point now) const;

    bool hasAnsweredSince(const instance_id&, time_point) const;
    /// Nodes whose requests have all failed since before this time, at least minFailures of them.
    std::vector<instance_id> silentSince(time_point, int minFailures) const;

    http_client& client(const instance_id&);
    /// What a request that is sent to the node now asks about.
    peer_question question(const instance_id&, time_point now) const;
    /// Whether the node still has the life and the address that the request was sent to.
    bool isAboutPresent(const peer_question&) const;
    /// Load balancer for the backend servers of a service that is not partitioned.
    load_view& view(const std::string& service);
    /// Null if there is none yet.
    const load_view* findView(const std::string& service) const;

    status_exchange& statuses() { return m_statuses; }
    /// Number of backend servers of each service without keys whose status is known and recent.
    std::map<std::string, std::size_t> knownStatuses(time_point now) const;

    void recordAnswer(const instance_id&, const std::optional<gate_load>&, time_point now);
    void recordFailure(const instance_id&, error_code, time_point now);

private:
    bool acceptsWork(const mesh_member&) const;
    /// Whether the backend server is in the view of its service.
    bool isPickable(const mesh_member& member) const { return acceptsWork(member) && !isEvacuated(member); }

    event_base* m_base;
    const mesh_settings& m_settings;
    std::uint64_t m_lastIdentity = 0;
    std::map<instance_id, mesh_peer> m_peers;
    std::map<instance_id, std::unique_ptr<http_client>> m_clients;
    /// Clients of removed nodes and former addresses, until their calls end.
    std::vector<std::unique_ptr<http_client>> m_retired;
    std::map<std::string, std::unique_ptr<load_view>> m_views;
    std::map<std::string, zone_evacuation> m_evacuated; ///< By zone.
    /// Services whose backend servers are all in evacuated zones; empty until it is needed after a change.
    mutable std::optional<std::set<std::string>> m_whollyEvacuated;
    status_exchange m_statuses;
};

} // namespace heatherdrift
