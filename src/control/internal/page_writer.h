#pragma once

#include "assignment/page_edit.h"
#include "control/internal/control_context.h"

#include <functional>
#include <memory>
#include <set>

namespace heatherdrift {

/// Commits page edits, one at a time per page, and updates the replica with the resulting rows.
class page_writer {
public:
    explicit page_writer(control_context&);

    bool isBusy(const std::string& pool, std::uint32_t page) const;
    /// Commits the edit. After a failure or a lost response the first page is read back into the replica, and the
    /// caller plans again from there. The callback gets true only if the edit is confirmed to have taken effect.
    void commit(const page_edit&, std::function<void(bool isApplied)>);
    /// Reads all pages into the replica.
    void readAll(std::function<void(bool isComplete)>);

private:
    using page_name = std::pair<std::string, std::uint32_t>;

    void readBack(const page_edit&, std::function<void(bool isApplied)>);
    void release(const page_edit&);

    control_context& m_context;
    std::set<page_name> m_busy;
    std::shared_ptr<char> m_alive;
};

/// Codec for the rows that page edits write.
const row_codec& pageCodec();

} // namespace heatherdrift
