#pragma once

#include "admission/random_function.h"
#include "admission/retry_budget.h"
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

/// What requests need to know of the rest of the node.
struct entry_context {
    event_base* base = nullptr;
    const mesh_settings& settings;
    const platform_port& port;
    route_table& routes;
    mesh_directory& directory;
    gate_service& gate;
    mesh_metrics* metrics = nullptr; ///< May be null.
    std::function<const range_map*(const std::string& service)> map;
    /// No owner that the range map names answers.
    std::function<void(const std::string& service)> refreshMap;
    /// Another node answers at the node's address.
    std::function<void(const instance_id&)> nodeReplaced;
    /// A request needs a node that is unreachable.
    std::function<void(const instance_id&)> probe;
    /// A gate of the service knows a range map of this version.
    std::function<void(const std::string& service, const instance_id&, row_version)> noticeMap;
    /// What a node told of the store's tables, in answer to a request that was sent at this time.
    std::function<void(const instance_id&, const known_tables&, time_point askedAt)> noticeTables;
};

/// Takes requests from callers, sends each to the gate of a backend server that may run it, and answers the caller.
class entry_service {
public:
    explicit entry_service(entry_context);
    ~entry_service();

    void handle(http_exchange_ptr);
    /// The process ends then: requests that may take longer are refused.
    void endAt(time_point at) { m_endsAt = at; }
    std::size_t inProgress() const { return m_calls.size(); }

private:
    friend class entry_call;

    /// Spread around the given time, so that callers that were refused together do not return together.
    duration spread(duration);
    retry_budget& budget(const std::string& service);

    void refuse(const http_exchange_ptr&, duration retryAfter);

    entry_context m_context;
    random_function m_random;
    attempt_age m_ages;
    time_point m_endsAt = time_point::max();
    std::map<std::string, retry_budget> m_budgets;
    std::set<std::shared_ptr<class entry_call>> m_calls;
};

} // namespace heatherdrift
