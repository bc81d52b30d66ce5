#pragma once

#include "assignment/page_edit.h"
#include "base/clock.h"

#include <optional>
#include <set>
#include <variant>

namespace heatherdrift {

/// Actions that planned_move requests from its driver.
struct commit_edit {
    page_edit edit;
};
/// Read the page's row from the store, after a jittered backoff if the last attempt failed.
struct read_page {
    std::string pool;
    std::uint32_t page = 0;
};
/// The move has ended. The driver first updates its view with the newest row of the page, then admits requests again
/// for the partitions that this instance owns according to the view.
struct end_move {
    bool isApplied = false;
};
using move_action = std::variant<commit_edit, read_page, end_move>;

/// Hand-over of partitions in one page by their owner. From construction until end_move the owner must not admit
/// requests for the partitions; for a hot partition this includes requests for its key that were admitted under the
/// ordinary partition. If the response to the commit was lost, the move ends only after the page has been read back,
/// however long that takes.
class planned_move {
public:
    /// requestDeadline: deadline of the last request that needs ownership for as long as it runs.
    planned_move(std::string pool, instance_ref self, std::vector<entry_assignment>, time_point requestDeadline);

    bool isBlocking(std::string_view pool, partition_index) const;
    /// Whether the page can be written now: no request needs ownership any more, or the deadline has passed, by which
    /// such requests have been cancelled.
    bool isReady(std::size_t requestsInProgress, time_point now) const;

    /// Must be called once when ready, with the newest page in the driver's view.
    move_action onReady(const versioned_page&, const member_map&, std::string operationId);
    move_action onCommit(const result<commit_receipt>&);
    /// Called with the row that the store returned, or with the failure of the read.
    move_action onReadBack(const result<versioned_page>&);

private:
    std::string m_pool;
    instance_ref m_self;
    std::vector<entry_assignment> m_assignments;
    time_point m_requestDeadline;
    page_edit m_edit;
    bool m_isUncertain = false; ///< A response was lost: a conflict may be caused by this move's own earlier write.
    bool m_hasConflict = false; ///< The last response was a conflict.
};

} // namespace heatherdrift
