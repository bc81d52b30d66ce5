#pragma once

#include "base/event_handle.h"
#include "http/http_server.h"
#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/owner_candidate.h"
#include "ranges/range_planner.h"

namespace heatherdrift {

/// What an owner says of the demand for its keys.
struct load_report {
    life_name life;
    double demand = 0; ///< Share of its slots.
    std::vector<std::pair<key_number, double>> keys; ///< Loads of its busiest keys.

    bool operator==(const load_report&) const = default;
};

std::string toJson(const load_report&);
result<load_report> parseLoadReport(std::string_view);

struct range_balancer_hooks {
    clock_function now;
    /// Backend servers that can own keys, in the order of their nodes.
    std::function<std::vector<owner_candidate>()> candidates;
    std::function<const key_load&()> keyLoad;
    std::function<bool(const life_name&)> isOwner;
    /// Whether this node can change the range map now.
    std::function<bool()> isStoreAvailable;
};

/// Evens out the load of a partitioned service. One node plans for all: overloaded owners report the loads of their
/// keys to the first node that can write to the store, and its plan becomes one change of the range map.
class range_balancer {
public:
    range_balancer(event_base*, const mesh_settings&, mesh_directory&, range_balancer_hooks);

    void start();
    /// A report of another node.
    void take(const http_exchange_ptr&);
    /// The range map with what should be moved now; the given one if that is nothing.
    range_map balance(const range_map&, fencing_token, time_point now);
    /// The map of the last call of balance() is in the store.
    void written(time_point now);
    /// Whether the loads of the other nodes matter to this one.
    bool needsLoads() const;

    static constexpr const char* target = "/heatherdrift/load";

private:
    struct known_report {
        double demand = 0;
        key_load keys;
        time_point receivedAt {};
    };
    /// Demand that a plan has moved to an owner and that its own report does not contain yet.
    struct moved_demand {
        double demand = 0;
        time_point movedAt {};
    };

    void report();
    std::optional<instance_id> planner(const std::vector<owner_candidate>&, time_point now) const;
    void adopt(const load_report&, time_point now);
    double ownDemand(const std::vector<owner_candidate>&) const;
    /// Demand of an owner for the keys that it has in this map.
    double demandIn(const range_map&, const life_name&, const known_report&, time_point now) const;
    double arriving(const life_name&, time_point now) const;
    void countMoves(const range_map& before, const range_map& after, time_point now);

    const mesh_settings& m_settings;
    mesh_directory& m_directory;
    range_balancer_hooks m_hooks;
    std::map<life_name, known_report> m_reports;
    std::map<life_name, std::vector<moved_demand>> m_moved;
    std::map<instance_id, time_point> m_passedOverUntil; ///< Nodes that could not plan.
    std::optional<std::pair<range_map, range_map>> m_plan; ///< Last one, before and after.
    time_point m_mayPlanAt = time_point::min();
    bool m_isReporting = false;
    timer m_tick;
};

} // namespace heatherdrift
