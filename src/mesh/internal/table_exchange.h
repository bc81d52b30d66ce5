#pragma once

#include "admission/random_function.h"
#include "http/http_server.h"
#include "mesh/internal/fetch_source.h"
#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/table_codec.h"
#include "mesh/internal/table_watcher.h"

#include <map>
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
    void handle(const http_exchange_ptr&);
    fleet_place place() const;
    /// Expected time until this node holds the newest configuration that another node has reported; empty if it holds
    /// it.
    std::optional<duration> configurationWait() const;

    static constexpr const char* target = "/heatherdrift/table";

private:
    struct newer_change {
        row_version version = 0;
        time_point statedAt {};
    };
    /// A table with the transfer of its changes from other nodes.
    struct table_state {
        table_watcher& watcher;
        timer retryTimer;
        update_encoder encoder { watcher.copy() };
        std::map<instance_id, newer_change> newer {}; ///< Changes that other nodes reported and this one lacked.
        row_version newest = 0; ///< Newest change that another node has reported
        time_point newestStatedAt {}; ///< and the time of the last such report.
        std::set<instance_id> tried {}; ///< Nodes that did not deliver it since the last retry.
        int failedRounds = 0; ///< Retries since the last successful fetch.
        bool isFetching = false;
        bool needsWhole = false; ///< Another node's difference did not fit to the rows of this one.
        int attempts = 0; ///< Fetches since the last successful one.
        time_point fetchStartedAt {};
        duration fetchTime {}; ///< Of the last successful fetch; zero if there was none.
    };

    void handleStatement(table_state&, const instance_id&, const table_statement&, time_point askedAt);
    std::vector<fetch_source> sources(table_state&) const;
    void fetchNewest(table_state&);
    static void forgetFailures(table_state&);
    /// Asks the nodes again that have failed.
    void retry(table_state&);
    void fetchFrom(table_state&, const instance_id&);
    void handleFetched(table_state&, const instance_id&, const result<http_response>&);
    /// False if the node did not deliver the changes.
    bool applyAnswer(table_state&, const instance_id&, const result<http_response>&);
    void send(const http_exchange_ptr&, const std::string& body);
    void askReader();

    const mesh_settings& m_settings;
    mesh_directory& m_directory;
    table_state m_configuration;
    table_state m_members;
    table_exchange_hooks m_hooks;
    random_function m_random;
    transfer_slots m_slots;
    std::size_t m_nextReader; ///< Starts at a different reader on each node, to spread the requests.
    timer m_tick;
};

} // namespace heatherdrift
