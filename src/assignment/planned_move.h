#pragma once

#include "assignment/page_edit.h"
#include "base/clock.h"

#include <optional>
#include <set>
#include <variant>

namespace heatherdrift {

/// Actions of planned_move for its driver.
struct commit_edit {
    page_edit edit;
};
/// Read the page's row from the store, after a jittered backoff if the last attempt failed.
struct read_page {
    std::string pool;
    std::uint32_t page = 0;
};
/// The move is over. The driver puts the newest row of the page into its view first, then admits requests again for
/// those partitions that the view gives to this instance.
struct end_move {
    bool isApplied = false;
};
using move_action = std::variant<commit_edit, read_page, end_move>;

/// Hand-over of partitions in one page by their owner. From its construction until end_move the owner admits no
/// requests for the partitions; for a hot partition this includes requests for its key that were admitted under the
/// ordinary partition. Only read-back ends a move whose answer was lost, however long that takes.
class planned_move {
public:
    /// requestsEndBy: deadline of the last request that needs ownership for its whole run.
    planned_move(std::string pool, instance_ref self, std::vector<entry_assignment>, time_point requestsEndBy);

    bool isBlocking(std::string_view pool, partition_index) const;
    /// Whether the page is to be written now: no request needs ownership any more, or the deadline has passed (such
    /// requests have been cancelled by then).
    bool isReady(std::size_t requestsLeft, time_point now) const;

    /// Called once when ready, with the newest known page.
    move_action onReady(const versioned_page&, const member_map&, std::string operationId);
    move_action onCommit(const result<commit_receipt>&);
    /// The row that the store returned, or the failure of the read.
    move_action onReadBack(const result<versioned_page>&);

private:
    std::string m_pool;
    instance_ref m_self;
    std::vector<entry_assignment> m_assignments;
    time_point m_requestsEndBy;
    page_edit m_edit;
    bool m_isUncertain = false; ///< An answer was lost: a conflict may come from this move's own earlier write.
    bool m_isRefused = false; ///< The last answer was a conflict.
};

} // namespace heatherdrift
