#include "assignment/planned_move.h"

#include <algorithm>

namespace heatherdrift {

planned_move::planned_move(
    std::string pool, instance_ref self, std::vector<entry_assignment> assignments, time_point requestDeadline)
    : m_pool(std::move(pool))
    , m_self(std::move(self))
    , m_assignments(std::move(assignments))
    , m_requestDeadline(requestDeadline)
{
}

bool planned_move::isBlocking(std::string_view pool, partition_index index) const
{
    return pool == m_pool
        && std::ranges::any_of(m_assignments, [&](const auto& assignment) { return assignment.partition == index; });
}

bool planned_move::isReady(std::size_t requestsInProgress, time_point now) const
{
    return requestsInProgress == 0 || now >= m_requestDeadline;
}

move_action planned_move::onReady(const versioned_page& page, const member_map& members, std::string operationId)
{
    auto edit = handOver(page, m_self, m_assignments, members, std::move(operationId));
    if (!edit)
        return end_move { false };
    m_edit = std::move(edit.value());
    return commit_edit { m_edit };
}

move_action planned_move::onCommit(const result<commit_receipt>& response)
{
    if (response)
        return end_move { true };
    m_hasConflict = response.error().code == error_code::conflict;
    m_isUncertain = m_isUncertain || response.error().outcome != verdict::not_run;
    if (!m_isUncertain)
        return end_move { false };
    return read_page { m_pool, m_edit.pages.front().row.number };
}

// While the outcome is undecided the same transaction is sent again. It takes effect at most once, because it replaces
// one specific version; afterwards the row has a later version, which determines the outcome. If the store reported a
// conflict although the page is still unchanged, a successor's membership row has changed; rows never return to old
// versions, so earlier attempts cannot take effect either. Without this rule a move whose successor restarted would
// never end.
move_action planned_move::onReadBack(const result<versioned_page>& row)
{
    if (!row)
        return read_page { m_pool, m_edit.pages.front().row.number };
    const auto outcome = outcomeOf(m_edit, row.value());
    if (outcome == edit_outcome::undecided && !m_hasConflict)
        return commit_edit { m_edit };
    return end_move { outcome == edit_outcome::applied };
}

} // namespace heatherdrift
