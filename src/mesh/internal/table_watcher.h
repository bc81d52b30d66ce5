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
    /// Called instead of onRow for a row that is missing in the first copy of a later era: the restore may have lost
    /// it, so this is no proof of a removal. If not set, onRow is called.
    std::function<void(const row_change&)> onMissing {};
    /// Called after the rows of a later era of the store have replaced the copy.
    std::function<void(store_era)> onReplaced {};
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
    /// Called when the store is of a later era than before, so that the table has to be read anew.
    void onStoreRestored(store_era);

private:
    void schedule();
    void askIfDue();
    void read();
    void watch(duration wait);
    void handleAnswer(bool hasChanges, time_point currentAt);
    void handleFailure(const failure&);
    void logAnswer(time_point askedAt, const result<row_snapshot>&) const;
    void notifyRows(const std::vector<row_change>&, bool isOtherEra);
    /// Whether no changes lead from the copy to the rows of the store.
    bool needsRead() const { return m_needsRead || isOfEarlierEra(); }
    bool isOfEarlierEra() const { return m_copy.era() < m_storeEra; }
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
    int m_request = 0; ///< Number of the last request; answers to earlier ones are ignored.
    bool m_isReading = false; ///< The last request is a read whose answer is pending.
    store_era m_storeEra = 0; ///< Latest era that the store has shown.
    time_point m_restoredAt {}; ///< Time at which it did so.
    bool m_needsRead = true;
    bool m_isRead = false;
    bool m_isAvailable = true;
    double m_jitter = 0; ///< Spreads the requests of the nodes in time; drawn for each request.
    timer m_timer;
};

} // namespace heatherdrift
