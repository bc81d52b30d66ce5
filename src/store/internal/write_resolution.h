#pragma once

#include "store/applied_test.h"
#include "store/table_store.h"

#include <optional>
#include <vector>

namespace heatherdrift {

/// Finds out whether a transaction whose answer was lost took effect: takes the outcomes of calls to the store and
/// returns the next call.
class write_resolution {
public:
    enum class step {
        read, ///< Read rows() one after the other, at once.
        read_later, ///< The same after a delay.
        send, ///< Commit transaction() again.
        fence, ///< Commit fence().
        finish, ///< The outcome() is known.
    };

    write_resolution(store_transaction, applied_test);

    /// The rows of the writes, then those of the checks.
    const std::vector<row_key>& rows() const { return m_rows; }
    const store_transaction& transaction() const { return m_transaction; }
    const store_transaction& fence() const { return m_fence; }
    const result<commit_receipt>& outcome() const { return m_outcome; }

    /// The present rows(), all read after the last step. isWanted: whether the transaction may still take effect.
    step rowsRead(const std::vector<stored_row>&, bool isWanted);
    step sendEnded(const result<commit_receipt>&);
    step fenceEnded(const result<commit_receipt>&);

private:
    step finish(result<commit_receipt>);
    step judgeClosed(const std::vector<stored_row>&, applied_state);
    std::optional<std::size_t> findMoved(const std::vector<stored_row>&) const;
    bool isProvenNotApplied(const std::vector<stored_row>&) const;
    bool prepareFence(const std::vector<stored_row>&);
    void rememberValues(const std::vector<stored_row>&);

    store_transaction m_transaction;
    applied_test m_isApplied;
    std::vector<row_key> m_rows;
    std::vector<row_version> m_expected;
    std::vector<std::optional<std::string>> m_valuesBefore; ///< Of rows seen with the expected version.
    store_transaction m_fence;
    int m_fenceCount = 0;
    bool m_isClosed = false; ///< Whether the transaction can no longer take effect.
    result<commit_receipt> m_outcome;
};

} // namespace heatherdrift
