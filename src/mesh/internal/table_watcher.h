#pragma once

#include "admission/random_function.h"
#include "base/event_handle.h"
#include "mesh/internal/table_copy.h"
#include "mesh/internal/watch_schedule.h"

namespace heatherdrift {

struct table_watcher_hooks {
    std::function<void(const row_change&)> onRow; ///< Newer than any earlier state of the row.
    std::function<void()> onRead; ///< The whole table was read.
    std::function<void(bool isAvailable)> onAvailability;
    std::function<fleet_place()> place;
    random_function random;
};

/// Follows one table of the store: reads it, then learns of its changes from the store or from other nodes, and reads
/// it anew when changes were missed.
class table_watcher {
public:
    table_watcher(event_base*, watched_store&, std::string table, const watch_terms&, table_watcher_hooks);

    void start();
    const std::string& table() const { return m_table; }
    const table_copy& copy() const { return m_copy; }
    /// Whether the whole table was read once.
    bool isRead() const { return m_isRead; }
    /// Latest time at which the known rows were those in the store; zero: never.
    time_point currentAt() const { return m_currentAt; }
    /// Whether another node should be asked now, before this one asks the store.
    bool needsReader(time_point now) const;

    /// What another node knows and this one did not.
    void take(const table_news&);
    /// Another node knows no newer change, and its rows were those in the store at this time.
    void confirm(time_point);

private:
    void schedule();
    void askIfDue();
    void read();
    void watch(duration wait);
    void answered(bool hasNews, time_point currentAt);
    void failed(const failure&);
    void tell(const std::vector<row_change>&);
    void setAvailable(bool);
    watch_state state() const;
    watch_question next() const;

    watched_store& m_store;
    std::string m_table;
    watch_terms m_terms;
    table_watcher_hooks m_hooks;
    table_copy m_copy;
    time_point m_currentAt {};
    time_point m_answeredAt {};
    int m_failures = 0;
    bool m_hasNews = false;
    bool m_needsRead = true;
    bool m_isRead = false;
    bool m_isAvailable = true;
    double m_chance = 0; ///< Spreads the questions of the nodes; drawn for each question.
    timer m_timer;
};

} // namespace heatherdrift
