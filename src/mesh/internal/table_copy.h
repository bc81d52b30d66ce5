#pragma once

#include "store/watched_store.h"

#include <map>

namespace heatherdrift {

/// What a node tells another one of a table.
struct table_news {
    row_snapshot rows; ///< Its version is that of the newest change.
    bool isWhole = false; ///< All rows, instead of the changes that were asked for.

    bool operator==(const table_news&) const = default;
};

/// Rows of one table of the store as a node knows them, without gaps up to a version.
///
/// Two copies with the same newest change are equal. For this, each removal of a row has to change another row of the
/// table in the same write: a node that reads the table later would see no trace of the removal otherwise.
class table_copy {
public:
    /// Takes in the whole table; rows that it does not contain are removed. Returns what is new.
    std::vector<row_change> replace(const row_snapshot&);
    /// Takes in all changes after an earlier version() or newestChange(). Returns what is new.
    std::vector<row_change> merge(const row_snapshot&);
    /// Takes in what another node tells. Returns what is new.
    std::vector<row_change> take(const table_news&);

    /// What a node does not know whose newest change is this one.
    table_news newsAfter(row_version newestChange) const;
    /// All changes up to this version of the store are known.
    row_version version() const { return m_version; }
    /// Version of the newest change of this table.
    row_version newestChange() const { return m_newestChange; }

private:
    std::vector<row_change> apply(const std::vector<row_change>&);

    std::map<row_key, row_change> m_rows; ///< Includes rows that were removed.
    row_version m_version = 0;
    row_version m_newestChange = 0;
    row_version m_removalsKnownFrom = 0; ///< Rows that were removed before are not among the rows.
};

} // namespace heatherdrift
