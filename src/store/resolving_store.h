#pragma once

#include "base/delayed_calls.h"
#include "store/applied_test.h"
#include "store/store_health.h"
#include "store/table_store.h"

#include <memory>

namespace heatherdrift {

struct resolving_store_options {
    clock_function now;
    delay_function after; ///< On the event loop of the table store.
    std::function<double()> random; ///< Evenly distributed from 0 to 1.
    duration callTimeout = std::chrono::seconds(2); ///< For each call to the store.
    duration firstDelay = std::chrono::milliseconds(100); ///< Before the first read-back; doubles with each failure.
    duration longestDelay = std::chrono::seconds(10);
    int roundsAtOnce = 4; ///< Read-backs in progress; one while the store is unavailable.
    row_key probe { "members", "probe" }; ///< Read to learn that the store answers again; the row need not exist.
    store_health_limits health;
};

/// Table store whose commits end with a known outcome: a transaction whose answer was lost is read back until it is
/// known whether it took effect, however long the store is away. Logs E1601, E1602 and E1603. For one event loop.
///
/// Every written value must differ from all earlier values of its row (a fresh operation id in it does this), rows must
/// never be deleted, and expected versions must come from the store.
class resolving_store {
public:
    /// The table store must outlive this object. Destroying it drops unresolved writes without calling back.
    resolving_store(table_store&, resolving_store_options);
    ~resolving_store();
    resolving_store(const resolving_store&) = delete;
    resolving_store& operator=(const resolving_store&) = delete;

    void read(row_key, time_point deadline, std::function<void(result<std::optional<stored_row>>)>);
    void scan(std::string table, time_point deadline, std::function<void(result<std::vector<stored_row>>)>);

    /// Until the deadline, a transaction that is found not to have taken effect is sent again; later it is kept from
    /// taking effect. The outcome may come long after the deadline:
    /// - success: it took effect; the rows are as last seen, possibly with later writes of others.
    /// - `conflict`, `store_unavailable`, `too_large` or `bad_request` with not_run: it has not and will not take
    /// effect.
    /// - `conflict` with may_have_run: it will not take effect any more, and whether it did cannot be told, because
    ///   others have replaced its rows. The present rows are what counts.
    void commit(store_transaction, time_point deadline, applied_test, std::function<void(result<commit_receipt>)>);
    /// With operationIdTest() of the transaction.
    void commit(store_transaction, time_point deadline, std::function<void(result<commit_receipt>)>);

    /// Writes whose outcome is being looked for.
    std::size_t unresolvedCount() const;
    const store_health& health() const;

private:
    class driver;

    std::shared_ptr<driver> m_driver;
};

} // namespace heatherdrift
