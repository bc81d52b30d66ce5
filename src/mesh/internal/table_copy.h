#pragma once

#include "mesh/internal/row_history.h"
#include "store/table_limits.h"
#include "store/watched_store.h"

#include <map>

namespace heatherdrift {

/// Changes of a table, or all of its rows, as sent between nodes.
struct table_update {
    row_snapshot rows; ///< Its version is that of the newest change.
    bool isWhole = false; ///< Contains all rows instead of only the requested changes.

    bool operator==(const table_update&) const = default;
};

/// Copy of one table of the store that contains all changes up to a version.
///
/// Two copies with the same newest change are equal. This requires that each removal of a row changes another row of
/// the table in the same write; otherwise a node that reads the table later could not detect the removal. Of the
/// operator's table, whose rows are removed on their own, two copies may differ until one of them gets the removal from
/// the store or meets one with a newer change.
///
/// Once the store has been restored, a whole snapshot of the later era replaces all rows, also by older content.
/// Changes of an earlier era are ignored.
class table_copy {
public:
    /// Applies a snapshot of the whole table and removes rows that it does not contain. Returns the changed rows.
    std::vector<row_change> replace(const row_snapshot&);
    /// Applies all changes after an earlier version() or newestChange(). Returns the changed rows.
    std::vector<row_change> merge(const row_snapshot&);
    /// Applies an update from another node. Returns the changed rows.
    std::vector<row_change> applyUpdate(const table_update&);

    /// The update for a node whose newest change is this one.
    table_update updateAfter(row_version newestChange) const;
    /// Newest known state of the row up to this version; null if it is not known any more.
    const row_change* find(const row_key&, row_version atMost) const;
    /// Version of the store up to which the copy contains all changes.
    row_version version() const { return m_version; }
    /// Era of the store to which all rows belong.
    store_era era() const { return eraOf(m_version); }
    /// Version of the newest change of this table, at least the first one of the era.
    row_version newestChange() const { return m_newestChange; }

private:
    static constexpr std::size_t maxEarlierBytes = instanceMemoryBytes / 64;

    std::vector<row_change> apply(const std::vector<row_change>&);

    std::map<row_key, row_change> m_rows; ///< Includes tombstones of removed rows.
    row_history m_earlier { maxEarlierBytes };
    row_version m_version = 0;
    row_version m_newestChange = 0;
    row_version m_removalHistoryStart = 0; ///< Tombstones of earlier removals are missing from the rows.
};

} // namespace heatherdrift
