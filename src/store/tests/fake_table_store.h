#pragma once

#include "base/delayed_calls.h"
#include "store/table_store.h"

#include <map>
#include <string>

namespace heatherdrift {

/// What happens to one commit of fake_table_store.
enum class commit_fault {
    none,
    refuse, ///< Fails with not_run.
    lose_before, ///< Has no effect; the answer is lost.
    lose_after, ///< Takes effect; the answer is lost.
    lose_and_delay, ///< The answer is lost; takes effect after lateEffect.
};

/// Table store in memory with faults. A call takes effect after `latency`, and its answer arrives after another.
class fake_table_store : public table_store {
public:
    explicit fake_table_store(delay_function after)
        : m_after(std::move(after))
    {
    }

    // Faults; each may be changed at any time.
    std::function<duration()> chooseLatency; ///< Empty: none.
    duration lateEffect = std::chrono::seconds(1);
    bool isDown = false; ///< All calls fail; commits with not_run.
    std::function<commit_fault(const store_transaction&)> chooseFault; ///< Empty: no faults.
    std::function<bool(const row_key&)> failsRead; ///< Empty: reads succeed.

    // What happened.
    std::map<std::string, int> effects; ///< How often each operation id took effect.
    int readCount = 0;
    int commitCount = 0;
    int callsInProgress = 0;
    int mostCallsInProgress = 0;

    void read(row_key key, time_point, std::function<void(result<std::optional<stored_row>>)> done) override
    {
        ++readCount;
        begin([this, key, done] {
            if (isDown || (failsRead && failsRead(key)))
                return answer<std::optional<stored_row>>(done, notRun(error_code::store_unavailable, "fault"));
            answer<std::optional<stored_row>>(done, find(key));
        });
    }

    void scan(std::string table, time_point, std::function<void(result<std::vector<stored_row>>)> done) override
    {
        ++readCount;
        begin([this, table, done] {
            if (isDown)
                return answer<std::vector<stored_row>>(done, notRun(error_code::store_unavailable, "fault"));
            std::vector<stored_row> rows;
            for (auto row = m_rows.lower_bound({ table, "" }); row != m_rows.end() && row->first.table == table; ++row)
                rows.push_back(row->second);
            answer<std::vector<stored_row>>(done, std::move(rows));
        });
    }

    void commit(store_transaction transaction, time_point, std::function<void(result<commit_receipt>)> done) override
    {
        ++commitCount;
        begin([this, transaction, done] { answer<commit_receipt>(done, commitNow(transaction)); });
    }

    /// The row as it is now.
    std::optional<stored_row> find(const row_key& key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? std::nullopt : std::optional(found->second);
    }

    /// Applies a transaction at once.
    result<commit_receipt> apply(const store_transaction& transaction)
    {
        for (const auto& check : transaction.checks) {
            if (versionOf(check.key) != check.version)
                return conflict(check.key);
        }
        for (const auto& write : transaction.writes) {
            if (versionOf(write.key) != write.expected)
                return conflict(write.key);
        }
        commit_receipt receipt;
        for (const auto& write : transaction.writes)
            receipt.rows.push_back(m_rows[write.key] = { write.key, write.expected + 1, write.value });
        ++effects[transaction.operationId];
        return receipt;
    }

private:
    duration latency() const { return chooseLatency ? chooseLatency() : duration::zero(); }

    void begin(std::function<void()> call)
    {
        mostCallsInProgress = std::max(mostCallsInProgress, ++callsInProgress);
        m_after(latency(), std::move(call));
    }

    template <typename Value> void answer(const std::function<void(result<Value>)>& done, result<Value> outcome)
    {
        m_after(latency(), [this, done, outcome = std::move(outcome)] {
            --callsInProgress;
            done(outcome);
        });
    }

    result<commit_receipt> commitNow(const store_transaction& transaction)
    {
        const auto fail = [](verdict outcome) { return failure { outcome, error_code::store_unavailable, "fault" }; };
        if (isDown)
            return fail(verdict::not_run);
        const auto choose = chooseFault; // It may replace itself.
        switch (choose ? choose(transaction) : commit_fault::none) {
        case commit_fault::none:
            return apply(transaction);
        case commit_fault::refuse:
            return fail(verdict::not_run);
        case commit_fault::lose_before:
            break;
        case commit_fault::lose_after:
            (void)apply(transaction);
            break;
        case commit_fault::lose_and_delay:
            m_after(lateEffect, [this, transaction] { (void)apply(transaction); });
            break;
        }
        return fail(verdict::may_have_run);
    }

    row_version versionOf(const row_key& key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? 0 : found->second.version;
    }

    failure conflict(const row_key& key) const
    {
        return notRun(error_code::conflict,
            "row " + key.table + "/" + key.key + " has version " + std::to_string(versionOf(key)));
    }

    delay_function m_after;
    std::map<row_key, stored_row> m_rows;
};

} // namespace heatherdrift
