#pragma once

#include "admission/hedge_policy.h"
#include "admission/random_function.h"
#include "admission/retry_budget.h"
#include "admission/service_returns.h"
#include "http/http_server.h"
#include "mesh/internal/gate_service.h"
#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/mesh_metrics.h"
#include "mesh/platform_port.h"
#include "routes/attempt_age.h"
#include "routes/route_table.h"
#include "settings/mesh_settings.h"

#include <map>
#include <set>

namespace heatherdrift {

/// The parts of the node that requests depend on.
struct entry_context {
    event_base* base = nullptr;
    const mesh_settings& settings;
    const platform_port& port;
    route_table& routes;
    mesh_directory& directory;
    gate_service& gate;
    mesh_metrics* metrics = nullptr; ///< May be null.
    std::function<const range_map*(const std::string& service)> map;
    /// Fetches a newer range map, because no owner in the present one is reachable.
    std::function<void(const std::string& service)> refreshMap;
    /// Another node responded at the node's address.
    std::function<void(const peer_question&)> onNodeReplaced;
    /// Probes an unreachable node that a request needs.
    std::function<void(const instance_id&)> probe;
    /// A gate of the service reported this version of its range map.
    std::function<void(const std::string& service, const instance_id&, row_version)> onMapVersion;
    /// A node reported the state of its store tables in response to a request sent at this time.
    std::function<void(const instance_id&, const table_statements&, time_point askedAt)> onTableStatements;
    /// Expected time until this node holds the newest configuration that it has heard of; empty if it holds it.
    std::function<std::optional<duration>()> configurationWait;
};

/// What is known of a request without a key when it returns.
return_request returnOf(const routed_request&);

/// Accepts requests from callers, forwards each to the gate of a backend server that may run it, and returns the
/// response.
class entry_service {
public:
    explicit entry_service(entry_context);
    ~entry_service();

    void handle(http_exchange_ptr);
    /// Sets the end of the process; requests whose deadline is later are refused.
    void endAt(time_point at) { m_endsAt = at; }
    std::size_t inProgress() const { return m_calls.size(); }
    /// Returns of requests without a key.
    return_counts returnCounts() const { return m_returns.counts(); }

private:
    friend class entry_call;

    /// The given time with jitter, so that callers refused at the same time do not all retry at the same time.
    duration withJitter(duration);
    retry_budget& budget(const std::string& service);
    /// Null without the setting.
    hedge_policy* hedges(const std::string& service);

    /// Finds the request that the backend server makes a request from the own host for, and notes it in the request.
    std::optional<possible_call> attributeCall(
        routed_request&, const std::optional<duration>& timeout, time_point now) const;
    void refuse(const http_exchange_ptr&, duration retryAfter);
    void answerWithoutRoute(const http_exchange_ptr&);

    entry_context m_context;
    random_function m_random;
    attempt_age m_ages;
    service_returns m_returns;
    time_point m_endsAt = time_point::max();
    std::map<std::string, retry_budget> m_budgets;
    std::map<std::string, hedge_policy> m_hedges; ///< By service.
    std::set<std::shared_ptr<class entry_call>> m_calls;
};

} // namespace heatherdrift
