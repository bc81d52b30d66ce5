#pragma once

#include "base/event_handle.h"
#include "store/watched_store.h"

#include <map>

namespace heatherdrift {

struct table_watcher_hooks {
    std::function<void(const row_change&)> onRow; ///< Newer than any earlier state of the row.
    std::function<void()> onRead; ///< The whole table was read.
    std::function<void(bool isAvailable)> onAvailability;
};

/// How soon a watcher learns of a change; sooner costs more calls to the store.
struct watch_pace {
    duration batchTime {}; ///< Changes that follow each other within this time share one call.
    duration readTimeout = std::chrono::milliseconds(1500);
    duration longestBackoff = std::chrono::milliseconds(800); ///< Bounds the delay after an outage.
};

/// Follows one table of the store: reads it, then waits for its changes, and reads it anew when changes were missed.
class table_watcher {
public:
    table_watcher(event_base*, watched_store&, std::string table, const watch_pace&, table_watcher_hooks);

    void start();
    /// Version up to which the table is known; 0 before the first read.
    row_version version() const { return m_version; }

private:
    void read();
    void watch();
    void apply(const row_snapshot&, bool isWhole);
    void retry();
    void setAvailable(bool);

    watched_store& m_store;
    std::string m_table;
    watch_pace m_pace;
    table_watcher_hooks m_hooks;
    row_version m_version = 0;
    std::map<row_key, row_version> m_rows;
    bool m_needsRead = true;
    bool m_isAvailable = true;
    duration m_backoff {};
    timer m_retry;
};

} // namespace heatherdrift
