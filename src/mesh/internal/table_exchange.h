#pragma once

#include "http/http_server.h"
#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/table_watcher.h"

#include <set>

namespace heatherdrift {

struct table_exchange_hooks {
    /// Asks a node for what it knows.
    std::function<void(const instance_id&)> ask;
};

/// What nodes tell each other of the store's tables, so that only a few of them have to ask the store.
class table_exchange {
public:
    table_exchange(event_base*, const mesh_settings&, mesh_directory&, table_watcher& configuration,
        table_watcher& members, table_exchange_hooks);

    void start();
    /// What this node tells; empty before it has read the tables.
    std::optional<known_tables> statement() const;
    /// What another node told, in answer to a request that was sent at this time.
    void notice(const instance_id&, const known_tables&, time_point askedAt);
    /// Answers another node that asks for changes.
    void handle(const http_exchange_ptr&) const;
    fleet_place place() const;

    static constexpr const char* target = "/heatherdrift/table";

private:
    void notice(table_watcher&, const instance_id&, const table_statement&, time_point askedAt);
    void fetchFrom(table_watcher&, const instance_id&);
    void askReader();

    const mesh_settings& m_settings;
    mesh_directory& m_directory;
    table_watcher& m_configuration;
    table_watcher& m_members;
    table_exchange_hooks m_hooks;
    std::set<std::string> m_fetching; ///< Tables whose changes are on their way.
    std::size_t m_nextReader; ///< Starts at another one for each node, so that the readers are asked evenly.
    timer m_tick;
};

std::string encodeNews(const table_news&);
result<table_news> decodeNews(std::string_view);

} // namespace heatherdrift
