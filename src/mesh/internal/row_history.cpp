#include "mesh/internal/row_history.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// A difference saves little on smaller rows.
    constexpr std::size_t minRowBytes = 4096;

} // namespace

void row_history::add(row_change row)
{
    const auto size = row.value ? row.value->size() : 0;
    if (size < minRowBytes || size > m_limitBytes)
        return;
    m_bytes += size;
    m_rows.push_back(std::move(row));
    while (m_bytes > m_limitBytes) {
        m_bytes -= m_rows.front().value->size();
        m_rows.pop_front();
    }
}

const row_change* row_history::find(const row_key& key, row_version atMost) const
{
    const row_change* found = nullptr;
    for (const auto& row : m_rows) {
        if (row.key == key && row.version <= atMost && (!found || row.version > found->version))
            found = &row;
    }
    return found;
}

} // namespace heatherdrift
