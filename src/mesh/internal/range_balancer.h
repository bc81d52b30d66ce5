#pragma once

#include "base/event_handle.h"
#include "http/http_server.h"
#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/owner_candidate.h"
#include "ranges/range_planner.h"

namespace heatherdrift {

/// Demand for an owner's keys, as reported to the planning node.
struct load_report {
    life_name life;
    double demand = 0; ///< Slots needed, divided by its slots.
    std::vector<std::pair<key_number, double>> keys; ///< Loads of its most requested keys.

    bool operator==(const load_report&) const = default;
};

std::string toJson(const load_report&);
result<load_report> parseLoadReport(std::string_view);

struct range_balancer_hooks {
    clock_function now;
    /// Backend servers that keys can be assigned to, in the order of their nodes.
    std::function<std::vector<owner_candidate>()> candidates;
    std::function<const key_load&()> keyLoad;
    std::function<bool(const life_name&)> isOwner;
    /// Whether this node can write the range map now.
    std::function<bool()> isStoreAvailable;
};

/// Balances the load of a partitioned service. Overloaded owners report the loads of their keys to the planner, which
/// is the first owner that can write to the store; it moves keys in one change of the range map.
class range_balancer {
public:
    range_balancer(event_base*, const mesh_settings&, mesh_directory&, range_balancer_hooks);

    void start();
    /// Handles a load report of another node.
    void handleReport(const http_exchange_ptr&);
    /// Returns the range map with the keys moved that should move now, or the given map if there are none.
    range_map balance(const range_map&, fencing_token, time_point now);
    /// Called when the map returned by the last call of balance() was written to the store.
    void onWritten(time_point now);
    /// Whether this node plans and needs the loads of the other nodes.
    bool needsLoads() const;

    static constexpr const char* target = "/heatherdrift/load";

private:
    struct received_report {
        double demand = 0;
        key_load keys;
        time_point receivedAt {};
    };
    /// Demand that a plan has moved to an owner and that its measured load does not fully contain yet.
    struct moved_demand {
        double demand = 0;
        time_point movedAt {};
    };

    void sendReport();
    std::optional<instance_id> planner(const std::vector<owner_candidate>&, time_point now) const;
    void storeReport(const load_report&, time_point now);
    double ownDemand(const std::vector<owner_candidate>&) const;
    /// Reported demand of an owner, scaled to the keys that it owns in this map.
    double demandIn(const range_map&, const life_name&, const received_report&, time_point now) const;
    double pendingDemand(const life_name&, time_point now) const;
    void recordMoves(const range_map& before, const range_map& after, time_point now);

    const mesh_settings& m_settings;
    mesh_directory& m_directory;
    range_balancer_hooks m_hooks;
    std::map<life_name, received_report> m_reports;
    std::map<life_name, std::vector<moved_demand>> m_moved;
    std::map<instance_id, time_point> m_skippedUntil; ///< Nodes that failed to accept a report.
    std::optional<std::pair<range_map, range_map>> m_plan; ///< Map before and after the last plan.
    time_point m_mayPlanAt = time_point::min();
    bool m_isReporting = false;
    timer m_tick;
};

} // namespace heatherdrift
