#include "lease/witness_change.h"

namespace heatherdrift {

witness_change::witness_change(versioned_member current, std::vector<instance_ref> next, std::string operationId,
    const lease_settings& settings, std::uint64_t seed)
    : m_write { operationId, std::move(current.row), current.version, {} }
    , m_backoff(settings, seed)
{
    m_write.row.witnesses = std::move(next);
    m_write.row.operationId = std::move(operationId);
}

std::vector<change_action> witness_change::start() { return { m_write }; }

std::vector<change_action> witness_change::handle(const change_input& input, time_point now)
{
    if (m_result)
        return {};
    return std::visit([&](const auto& value) { return on(value, now); }, input);
}

std::vector<change_action> witness_change::on(const commit_done& answer, time_point now)
{
    if (answer.operationId != m_write.operationId)
        return {};
    if (answer.status == commit_status::applied) {
        m_result = change_result { change_outcome::applied, { answer.version, m_write.row } };
        return {};
    }
    // The conflict may be with an earlier copy of the same write.
    if (answer.status == commit_status::conflict)
        return { read_row { m_write.row.self.id } };
    return readLater(now);
}

// An unchanged row is inconclusive, since the write may still be in transit: the same write is sent again, and only one
// copy can take effect. After a later version no copy can take effect any more, and its witness set shows whether one
// did. Only the holder changes the set, one change at a time, so the new set can only come from this write, even if a
// takeover has set the row to fencing since.
std::vector<change_action> witness_change::on(const row_read& answer, time_point now)
{
    if (answer.id != m_write.row.self.id)
        return {};
    if (!answer.row || answer.row->version < m_write.expected)
        return readLater(now);
    if (answer.row->version == m_write.expected)
        return { m_write };
    const auto& row = answer.row->row;
    const bool isApplied = row.self == m_write.row.self && row.witnesses == m_write.row.witnesses;
    m_result = change_result { isApplied ? change_outcome::applied : change_outcome::not_applied, *answer.row };
    return {};
}

std::vector<change_action> witness_change::on(const read_failed&, time_point now) { return readLater(now); }

std::vector<change_action> witness_change::on(const timer_due&, time_point now)
{
    if (now < m_retryAt)
        return { start_timer { m_retryAt } };
    return { read_row { m_write.row.self.id } };
}

std::vector<change_action> witness_change::readLater(time_point now)
{
    m_retryAt = now + m_backoff.next();
    return { start_timer { m_retryAt } };
}

} // namespace heatherdrift
