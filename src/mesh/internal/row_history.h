#pragma once

#include "store/watched_store.h"

#include <deque>

namespace heatherdrift {

/// Earlier states of large rows, from which newer ones are sent as differences. Keeps the most recent ones up to a
/// number of bytes.
class row_history {
public:
    explicit row_history(std::size_t limitBytes)
        : m_limitBytes(limitBytes)
    {
    }

    /// Adds a state that is being replaced by a newer one.
    void add(row_change);
    /// Newest kept state of the row up to this version; null if there is none.
    const row_change* find(const row_key&, row_version atMost) const;
    std::size_t bytes() const { return m_bytes; }

private:
    std::size_t m_limitBytes;
    std::size_t m_bytes = 0;
    std::deque<row_change> m_rows; ///< Oldest first.
};

} // namespace heatherdrift
