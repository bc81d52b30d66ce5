#include "mesh/internal/table_copy.h"

#include <algorithm>
#include <set>

namespace heatherdrift {

std::vector<row_change> table_copy::apply(const std::vector<row_change>& rows)
{
    std::vector<row_change> changes;
    const auto previousNewest = m_newestChange;
    for (const auto& row : rows) {
        // An older version of a row may belong to a row that has been removed since.
        if (row.version <= previousNewest || row.version <= m_rows[row.key].version)
            continue;
        m_earlier.add(std::exchange(m_rows[row.key], row));
        m_newestChange = std::max(m_newestChange, row.version);
        changes.push_back(row);
    }
    return changes;
}

std::vector<row_change> table_copy::replace(const row_snapshot& snapshot)
{
    // After a restore the table may be empty or have only rows with low numbers. The era alone makes it newer.
    row_version newest = std::max(m_newestChange, makeVersion(eraOf(snapshot.version), 0));
    std::set<row_key> present;
    for (const auto& row : snapshot.rows) {
        newest = std::max(newest, row.version);
        present.insert(row.key);
    }
    const auto isMissing = [&](const auto& entry) { return entry.second.value && !present.contains(entry.first); };
    // A removal that changed another row, too, has at most the version of the newest row. One that did not is known to
    // be of no later version than the snapshot.
    if (newest <= m_newestChange && std::ranges::any_of(m_rows, isMissing))
        newest = std::max(newest, snapshot.version);
    std::vector<row_change> rows = snapshot.rows;
    for (const auto& entry : m_rows) {
        if (isMissing(entry))
            rows.push_back({ entry.first, newest, std::nullopt });
    }
    m_removalHistoryStart = newest;
    m_version = std::max(m_version, snapshot.version);
    auto changes = apply(rows);
    m_newestChange = newest;
    return changes;
}

std::vector<row_change> table_copy::merge(const row_snapshot& snapshot)
{
    m_version = std::max(m_version, snapshot.version);
    return apply(snapshot.rows);
}

std::vector<row_change> table_copy::applyUpdate(const table_update& update)
{
    const bool isOtherEra = eraOf(update.rows.version) > era();
    if (update.rows.version <= m_newestChange || (isOtherEra && !update.isWhole))
        return {};
    // This copy was read after a removal that changed no other row, and the sender still has the row. It has to get
    // this copy.
    if (update.rows.version <= m_version) {
        m_newestChange = m_removalHistoryStart = m_version;
        return {};
    }
    if (!update.isWhole)
        return merge(update.rows);
    auto changes = replace(update.rows);
    // The newest change of the sender may be a removal.
    m_newestChange = m_removalHistoryStart = std::max(m_newestChange, update.rows.version);
    return changes;
}

table_update table_copy::updateAfter(row_version newestChange) const
{
    table_update out;
    out.rows.version = m_newestChange;
    out.isWhole = newestChange < m_removalHistoryStart;
    for (const auto& [key, row] : m_rows) {
        if (out.isWhole ? row.value.has_value() : row.version > newestChange)
            out.rows.rows.push_back(row);
    }
    return out;
}

const row_change* table_copy::find(const row_key& key, row_version atMost) const
{
    const auto found = m_rows.find(key);
    if (found != m_rows.end() && found->second.version <= atMost)
        return &found->second;
    return m_earlier.find(key, atMost);
}

} // namespace heatherdrift
