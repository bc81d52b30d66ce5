#include "store/internal/write_resolution.h"

#include "base/json_reader.h"

#include <algorithm>

// How the outcome of a transaction T with a lost answer is found.
//
// T may take effect long after its answer was lost, also after a read that does not show it. Until a row that T checks
// or writes has moved past the version that T expects, "not yet" is all that a read can say. Once one has, T is closed:
// its compare-and-set can no longer succeed, because versions only grow. Only rows that were read after T was closed
// can prove that it did not take effect; rows read in the same round may have been read before T's late effect.
//
// If no row has moved, T is sent again while its caller still wants it: of several copies at most one can take effect.
// After the deadline a fence closes T instead: it writes the present value of one of T's rows again, which moves the
// row's version and nothing else. If T writes that row, the fence's success also proves that T had not taken effect.
// The value keeps its operation id, so that a fence destroys no evidence that another instance looks for. A transaction
// that only creates rows has nothing to fence and is sent again instead.
//
// Once T is closed, one more round decides:
// - the test finds T in the rows: applied;
// - a row that T writes still has the expected version, or has the value from before T in a newer version (a fence):
//   not applied, because T writes all its rows at once;
// - the test excludes T: not applied;
// - otherwise other writes have replaced all rows of T, and the outcome cannot be told from them.

namespace heatherdrift {

namespace {

    std::string describe(const stored_row& row)
    {
        return "row " + row.key.table + "/" + row.key.key + " has version " + std::to_string(row.version);
    }

} // namespace

applied_test operationIdTest(std::string operationId)
{
    return [operationId = std::move(operationId)](const std::vector<stored_row>& rows) {
        const bool isFound = std::ranges::any_of(rows, [&](const stored_row& row) {
            const auto value = json::parse(row.value, nullptr, false);
            const auto field = value.is_object() ? value.find("operation_id") : value.end();
            return value.is_object() && field != value.end() && *field == operationId;
        });
        return isFound ? applied_state::applied : applied_state::unknown;
    };
}

write_resolution::write_resolution(store_transaction transaction, applied_test isApplied)
    : m_transaction(std::move(transaction))
    , m_isApplied(std::move(isApplied))
    , m_outcome(mayHaveRun(error_code::store_unavailable, "not resolved"))
{
    for (const auto& write : m_transaction.writes) {
        m_rows.push_back(write.key);
        m_expected.push_back(write.expected);
    }
    for (const auto& check : m_transaction.checks) {
        m_rows.push_back(check.key);
        m_expected.push_back(check.version);
    }
    m_valuesBefore.resize(m_rows.size());
}

write_resolution::step write_resolution::rowsRead(const std::vector<stored_row>& rows, bool isWanted)
{
    std::vector<stored_row> written(rows.begin(), rows.begin() + std::ssize(m_transaction.writes));
    const auto state = m_isApplied(written);
    if (state == applied_state::applied)
        return finish(commit_receipt { std::move(written) });
    if (m_isClosed)
        return judgeClosed(rows, state);
    rememberValues(rows);
    if (findMoved(rows)) {
        m_isClosed = true;
        return step::read;
    }
    if (isWanted || !prepareFence(rows))
        return step::send;
    return step::fence;
}

write_resolution::step write_resolution::sendEnded(const result<commit_receipt>& outcome)
{
    if (outcome.has_value())
        return finish(outcome);
    if (outcome.error().code != error_code::conflict)
        return step::read_later;
    m_isClosed = true;
    return step::read;
}

write_resolution::step write_resolution::fenceEnded(const result<commit_receipt>& outcome)
{
    if (outcome.has_error() && outcome.error().code != error_code::conflict)
        return step::read_later;
    m_isClosed = true;
    // A fenced write had not taken effect; a row that is only checked looks the same either way.
    const bool isWriteFenced = std::ranges::any_of(
        m_transaction.writes, [&](const row_write& write) { return write.key == m_fence.writes.front().key; });
    if (outcome.has_value() && isWriteFenced)
        return finish(notRun(error_code::store_unavailable, "the store did not apply it before the deadline"));
    return step::read;
}

write_resolution::step write_resolution::finish(result<commit_receipt> outcome)
{
    m_outcome = std::move(outcome);
    return step::finish;
}

write_resolution::step write_resolution::judgeClosed(const std::vector<stored_row>& rows, applied_state state)
{
    const auto moved = findMoved(rows);
    const auto message = moved ? describe(rows[*moved]) : "a row has moved";
    if (state == applied_state::not_applied || isProvenNotApplied(rows))
        return finish(notRun(error_code::conflict, message));
    return finish(mayHaveRun(error_code::conflict, message + ", written over by others"));
}

std::optional<std::size_t> write_resolution::findMoved(const std::vector<stored_row>& rows) const
{
    for (std::size_t i = 0; i < rows.size(); ++i) {
        if (rows[i].version != m_expected[i])
            return i;
    }
    return std::nullopt;
}

bool write_resolution::isProvenNotApplied(const std::vector<stored_row>& rows) const
{
    for (std::size_t i = 0; i < m_transaction.writes.size(); ++i) {
        const bool isUntouched = rows[i].version == m_expected[i];
        const bool isFenced = m_valuesBefore[i] == rows[i].value && m_transaction.writes[i].value != rows[i].value;
        if (isUntouched || isFenced)
            return true;
    }
    return m_transaction.writes.empty();
}

bool write_resolution::prepareFence(const std::vector<stored_row>& rows)
{
    const auto found = std::ranges::find_if(m_expected, [](row_version version) { return version != 0; });
    if (found == m_expected.end())
        return false;
    const auto index = static_cast<std::size_t>(found - m_expected.begin());
    const auto id = m_transaction.operationId + "/fence" + std::to_string(++m_fenceCount);
    m_fence = { id, {}, { { m_rows[index], m_expected[index], rows[index].value } } };
    return true;
}

void write_resolution::rememberValues(const std::vector<stored_row>& rows)
{
    for (std::size_t i = 0; i < rows.size(); ++i) {
        if (rows[i].version == m_expected[i] && rows[i].version != 0)
            m_valuesBefore[i] = rows[i].value;
    }
}

} // namespace heatherdrift
