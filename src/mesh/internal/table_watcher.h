#pragma once

#include "admission/random_function.h"
#include "base/event_handle.h"
#include "mesh/internal/table_copy.h"
#include "mesh/internal/watch_schedule.h"

namespace heatherdrift {

struct table_watcher_hooks {
    std::function<void(const row_change&)> onRow; ///< Called with a newer version of the row than in any earlier call.
    std::function<void()> onRead; ///< Called after a read of the whole table.
    std::function<void(bool isAvailable)> onAvailability;
    std::function<fleet_place()> place;
    random_function random;
};

/// Keeps a copy of one table of the store up to date: reads it once, then applies changes from the store or from other
/// nodes, and reads it again when changes were missed.
class table_watcher {
public:
    table_watcher(event_base*, watched_store&, std::string table, const watch_timing&, table_watcher_hooks);

    void start();
    const std::string& table() const { return m_table; }
    const table_copy& copy() const { return m_copy; }
    /// Whether the whole table has been read.
    bool isRead() const { return m_isRead; }
    /// Latest time at which the copy is known to have matched the store; zero if never.
    time_point currentAt() const { return m_currentAt; }
    /// Whether to ask a reader now, before the request to the store is due.
    bool needsReader(time_point now) const;

    /// Applies changes from another node.
    void applyUpdate(const table_update&);
    /// Called when another node has no newer change and its copy matched the store at this time.
    void confirm(time_point);

private:
    void schedule();
    void askIfDue();
    void read();
    void watch(duration wait);
    void handleAnswer(bool hasChanges, time_point currentAt);
    void handleFailure(const failure&);
    void logAnswer(time_point askedAt, const result<row_snapshot>&) const;
    void notifyRows(const std::vector<row_change>&);
    void setAvailable(bool);
    watch_state state() const;
    watch_request next() const;

    watched_store& m_store;
    std::string m_table;
    watch_timing m_timing;
    table_watcher_hooks m_hooks;
    table_copy m_copy;
    time_point m_currentAt {};
    time_point m_answeredAt {};
    int m_failures = 0;
    bool m_hasChanges = false;
    bool m_needsRead = true;
    bool m_isRead = false;
    bool m_isAvailable = true;
    double m_jitter = 0; ///< Spreads the requests of the nodes in time; drawn for each request.
    timer m_timer;
};

} // namespace heatherdrift
