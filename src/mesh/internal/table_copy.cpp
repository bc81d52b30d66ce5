#include "mesh/internal/table_copy.h"

#include <algorithm>
#include <set>

namespace heatherdrift {

std::vector<row_change> table_copy::apply(const std::vector<row_change>& rows)
{
    std::vector<row_change> news;
    const auto known = m_newestChange;
    for (const auto& row : rows) {
        // An older state of a row may belong to one that is removed by now.
        if (row.version <= known || row.version <= m_rows[row.key].version)
            continue;
        m_rows[row.key] = row;
        m_newestChange = std::max(m_newestChange, row.version);
        news.push_back(row);
    }
    return news;
}

std::vector<row_change> table_copy::replace(const row_snapshot& snapshot)
{
    row_version newest = m_newestChange;
    std::set<row_key> present;
    for (const auto& row : snapshot.rows) {
        newest = std::max(newest, row.version);
        present.insert(row.key);
    }
    std::vector<row_change> rows = snapshot.rows;
    for (const auto& [key, row] : m_rows) {
        // The removal changed another row, so it is not newer than the newest one.
        if (row.value && !present.contains(key))
            rows.push_back({ key, newest, std::nullopt });
    }
    m_removalsKnownFrom = newest;
    m_version = std::max(m_version, snapshot.version);
    return apply(rows);
}

std::vector<row_change> table_copy::merge(const row_snapshot& snapshot)
{
    m_version = std::max(m_version, snapshot.version);
    return apply(snapshot.rows);
}

std::vector<row_change> table_copy::take(const table_news& news)
{
    if (news.rows.version <= m_newestChange)
        return {};
    return news.isWhole ? replace(news.rows) : merge(news.rows);
}

table_news table_copy::newsAfter(row_version newestChange) const
{
    table_news out;
    out.rows.version = m_newestChange;
    out.isWhole = newestChange < m_removalsKnownFrom;
    for (const auto& [key, row] : m_rows) {
        if (out.isWhole ? row.value.has_value() : row.version > newestChange)
            out.rows.rows.push_back(row);
    }
    return out;
}

} // namespace heatherdrift
