#pragma once

#include "assignment/page_edit.h"
#include "control/internal/control_context.h"

#include <functional>
#include <memory>
#include <set>

namespace heatherdrift {

/// Commits changes of pages, one at a time for each page, and brings the replica up to date with what the store has.
class page_writer {
public:
    explicit page_writer(control_context&);

    bool isBusy(const std::string& pool, std::uint32_t page) const;
    /// Commits the edit. After a failure, or a lost answer, the pages are read back into the replica and the caller
    /// plans anew from there. Calls back with whether the edit is known to have taken effect.
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

/// The codec of the rows that edits write.
const row_codec& pageCodec();

} // namespace heatherdrift
