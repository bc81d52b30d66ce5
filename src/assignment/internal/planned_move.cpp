#include "assignment/planned_move.h"

#include <algorithm>

namespace heatherdrift {

planned_move::planned_move(
    std::string pool, instance_ref self, std::vector<entry_assignment> assignments, time_point requestsEndBy)
    : m_pool(std::move(pool))
    , m_self(std::move(self))
    , m_assignments(std::move(assignments))
    , m_requestsEndBy(requestsEndBy)
{
}

bool planned_move::isBlocking(std::string_view pool, partition_index index) const
{
    return pool == m_pool
        && std::ranges::any_of(m_assignments, [&](const auto& assignment) { return assignment.partition == index; });
}

bool planned_move::isReady(std::size_t requestsLeft, time_point now) const
{
    return requestsLeft == 0 || now >= m_requestsEndBy;
}

move_action planned_move::onReady(const versioned_page& page, const member_map& members, std::string operationId)
{
    auto edit = handOver(page, m_self, m_assignments, members, std::move(operationId));
    if (!edit)
        return end_move { false };
    m_edit = std::move(edit.value());
    return commit_edit { m_edit };
}

move_action planned_move::onCommit(const result<commit_receipt>& answer)
{
    if (answer)
        return end_move { true };
    m_isRefused = answer.error().code == error_code::conflict;
    m_isUncertain = m_isUncertain || answer.error().outcome != verdict::not_run;
    if (!m_isUncertain)
        return end_move { false };
    return read_page { m_pool, m_edit.pages.front().row.number };
}

// While the outcome is undecided the same transaction is sent again: it takes effect at most once, because it replaces
// one version, and afterwards the row has a later version, which decides. If the store refused it although the page was
// unchanged even later, a successor's membership row has changed; rows do not return to old versions, so no earlier
// sending can take effect either. Without this rule a move whose successor restarted would never end.
move_action planned_move::onReadBack(const result<versioned_page>& row)
{
    if (!row)
        return read_page { m_pool, m_edit.pages.front().row.number };
    const auto outcome = outcomeOf(m_edit, row.value());
    if (outcome == edit_outcome::undecided && !m_isRefused)
        return commit_edit { m_edit };
    return end_move { outcome == edit_outcome::applied };
}

} // namespace heatherdrift
