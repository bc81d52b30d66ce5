#pragma once

#include "store/watched_store.h"

#include <algorithm>
#include <deque>
#include <map>

namespace heatherdrift {

/// Rows in memory that can be replaced by an older copy, after which the numbers of their versions are given out again.
class simulated_store {
public:
    struct row {
        std::int64_t number = 0;
        std::string value;
    };

    store_era era() const { return m_era; }
    const std::map<row_key, row>& rows() const { return m_rows; }
    /// Rows that were removed in this era, with the numbers of their removals.
    const std::map<row_key, std::int64_t>& removals() const { return m_removals; }

    row_change current(const row_key& key) const
    {
        const auto found = m_rows.find(key);
        if (found == m_rows.end())
            return { key, 0, std::nullopt };
        return { key, makeVersion(m_era, found->second.number), found->second.value };
    }

    /// Compares numbers only, as the store of the platform does.
    write_outcome apply(const conditional_write& write)
    {
        write_outcome out { true, makeVersion(m_era, m_number), {} };
        for (const auto& check : write.checks) {
            out.current.push_back(current(check.key));
            out.isApplied = out.isApplied && numberOf(out.current.back().version) == numberOf(check.version);
        }
        if (!out.isApplied)
            return out;
        if (!write.changes.empty())
            ++m_number;
        for (const auto& change : write.changes) {
            if (change.value)
                m_rows[change.key] = { m_number, *change.value };
            else {
                m_rows.erase(change.key);
                m_removals[change.key] = m_number;
            }
        }
        return { true, makeVersion(m_era, m_number), {} };
    }

    void saveCopy(time_point now)
    {
        m_copies[now] = { m_number, m_rows };
        m_copies.erase(m_copies.begin(), m_copies.lower_bound(now - std::chrono::seconds(20)));
    }

    /// Comes back from the newest copy that is not newer than the given time; other writers then write some rows.
    void restore(time_point copiedAt, int otherWrites)
    {
        const auto after = m_copies.upper_bound(copiedAt);
        const auto& copy = after == m_copies.begin() ? m_copies.begin()->second : std::prev(after)->second;
        m_rows = copy.rows;
        m_removals.clear();
        m_number = copy.number + otherWrites;
        ++m_era;
    }

private:
    struct saved_copy {
        std::int64_t number = 0;
        std::map<row_key, row> rows;
    };

    store_era m_era = 1;
    std::int64_t m_number = 0;
    std::map<row_key, row> m_rows;
    std::map<row_key, std::int64_t> m_removals;
    std::map<time_point, saved_copy> m_copies;
};

/// Client of one node for the simulated store. Queues the writes until the simulation answers them or reports them as
/// lost.
class simulated_store_client : public watched_store {
public:
    struct pending_write {
        conditional_write write;
        std::function<void(result<write_outcome>)> done;
    };

    void read(std::string, time_point, std::function<void(result<row_snapshot>)>) override { }
    void watch(std::string, row_version, duration, time_point, std::function<void(result<row_snapshot>)>) override { }
    void write(conditional_write write, time_point, std::function<void(result<write_outcome>)> done) override
    {
        queue.push_back({ std::move(write), std::move(done) });
    }
    void onRestored(std::function<void(store_era)> hook) override { m_onRestored = std::move(hook); }

    /// Applies a write and returns the answer as the node receives it at once.
    result<write_outcome> answer(simulated_store& store, const conditional_write& write)
    {
        return receive(write, store.apply(write));
    }

    /// The answer as the node receives it, possibly some time after the write was applied.
    result<write_outcome> receive(const conditional_write& write, const write_outcome& outcome)
    {
        const auto era = eraOf(outcome.version);
        noteEra(era);
        const bool isOfEarlierEra = std::ranges::any_of(
            write.checks, [&](const auto& check) { return check.version > 0 && eraOf(check.version) < era; });
        if (isOfEarlierEra)
            return mayHaveRun(error_code::store_restored, "the store came back from an older copy");
        auto received = outcome;
        for (auto& row : received.current)
            onRow(row);
        return received;
    }

    /// Called with the era of each answer.
    void noteEra(store_era era)
    {
        const auto before = std::exchange(m_era, std::max(m_era, era));
        if (before > 0 && before < era && m_onRestored)
            m_onRestored(era);
    }

    std::deque<pending_write> queue;
    /// May change a row before the node receives it.
    std::function<void(row_change&)> onRow = [](row_change&) {};

private:
    store_era m_era = 0; ///< Of the newest answer; 0 before the first one.
    std::function<void(store_era)> m_onRestored;
};

} // namespace heatherdrift
