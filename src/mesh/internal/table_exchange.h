#pragma once

#include "http/http_server.h"
#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/table_watcher.h"

#include <set>

namespace heatherdrift {

struct table_exchange_hooks {
    /// Sends a node a request whose response carries the state of its tables.
    std::function<void(const instance_id&)> ask;
};

/// Exchange of changes of the store's tables between nodes, so that only a few of them have to poll the store.
class table_exchange {
public:
    table_exchange(event_base*, const mesh_settings&, mesh_directory&, table_watcher& configuration,
        table_watcher& members, table_exchange_hooks);

    void start();
    /// State of this node's tables, as sent to other nodes; empty until both tables have been read.
    std::optional<table_statements> statement() const;
    /// Handles the table state that another node sent in response to a request sent at this time.
    void handleStatements(const instance_id&, const table_statements&, time_point askedAt);
    /// Handles a request of another node for changes.
    void handle(const http_exchange_ptr&) const;
    fleet_place place() const;

    static constexpr const char* target = "/heatherdrift/table";

private:
    void handleStatement(table_watcher&, const instance_id&, const table_statement&, time_point askedAt);
    void fetchFrom(table_watcher&, const instance_id&);
    void askReader();

    const mesh_settings& m_settings;
    mesh_directory& m_directory;
    table_watcher& m_configuration;
    table_watcher& m_members;
    table_exchange_hooks m_hooks;
    std::set<std::string> m_fetching; ///< Tables whose changes are being fetched.
    std::map<std::string, int> m_attempts; ///< Fetches of a table since the last successful one.
    std::size_t m_nextReader; ///< Starts at a different reader on each node, to spread the requests.
    timer m_tick;
};

std::string encodeUpdate(const table_update&);
result<table_update> decodeUpdate(std::string_view);

} // namespace heatherdrift
