#include "store/resolving_store.h"

#include "store/internal/write_resolution.h"
#include "telemetry/log_event.h"

#include <algorithm>
#include <deque>

namespace heatherdrift {

namespace {

    using commit_function = std::function<void(result<commit_receipt>)>;

    /// Before the next probe of a store that has begun to answer again.
    constexpr duration probeInterval = std::chrono::milliseconds(500);

    struct unresolved_write {
        write_resolution resolution;
        time_point deadline;
        commit_function done;
        time_point lostAt;
        int failedRounds = 0;
        std::vector<stored_row> rows; ///< Read in the present round.
    };

    using unresolved_write_ptr = std::shared_ptr<unresolved_write>;

    /// Whether the store answered; a transaction that was refused before it was sent says nothing about the store.
    template <typename Value> std::optional<bool> isAnswered(const result<Value>& outcome)
    {
        if (outcome.has_value() || outcome.error().code == error_code::conflict)
            return true;
        if (outcome.error().code == error_code::too_large || outcome.error().code == error_code::bad_request)
            return std::nullopt;
        return false;
    }

} // namespace

/// Shared with the callbacks in progress, so that they find it gone after the store is destroyed.
class resolving_store::driver : public std::enable_shared_from_this<driver> {
public:
    driver(table_store& store, resolving_store_options options)
        : m_store(store)
        , m_options(std::move(options))
        , m_health(m_options.health)
    {
    }

    table_store& store() { return m_store; }
    const store_health& health() const { return m_health; }
    std::size_t unresolvedCount() const { return m_unresolvedCount; }

    /// Wraps a callback, so that the outcome counts for the store's health.
    template <typename Value> std::function<void(result<Value>)> observed(std::function<void(result<Value>)> done)
    {
        return [weak = weak_from_this(), done = std::move(done)](result<Value> outcome) {
            const auto self = weak.lock();
            if (!self)
                return;
            self->observe(isAnswered(outcome));
            done(std::move(outcome));
        };
    }

    void commit(store_transaction transaction, time_point deadline, applied_test isApplied, commit_function done)
    {
        auto write = std::make_shared<unresolved_write>(
            unresolved_write { { transaction, std::move(isApplied) }, deadline, std::move(done), {}, 0, {} });
        const auto timeout = std::min(deadline, m_options.now() + m_options.callTimeout);
        send(std::move(transaction), timeout, [this, write](result<commit_receipt> outcome) {
            if (outcome.has_value() || outcome.error().outcome == verdict::not_run)
                return write->done(std::move(outcome));
            write->lostAt = m_options.now();
            ++m_unresolvedCount;
            waitForRound(write);
        });
    }

private:
    time_point callDeadline() const { return m_options.now() + m_options.callTimeout; }

    void send(store_transaction transaction, time_point deadline, commit_function done)
    {
        m_store.commit(std::move(transaction), deadline, observed<commit_receipt>(std::move(done)));
    }

    /// Runs the function after the delay unless this object is gone.
    void after(duration delay, std::function<void(driver&)> call)
    {
        m_options.after(delay, [weak = weak_from_this(), call = std::move(call)] {
            if (const auto self = weak.lock())
                call(*self);
        });
    }

    /// Doubles with each failure. The jitter keeps instances that lost their answers at the same time from reading back
    /// in step.
    duration backoff(int failures) const
    {
        constexpr int mostDoublings = 20;
        const auto longest = m_options.longestDelay;
        const auto delay = std::min(longest, m_options.firstDelay * (1 << std::min(failures, mostDoublings)));
        return std::chrono::duration_cast<duration>(delay * (0.5 + m_options.random()));
    }

    void waitForRound(const unresolved_write_ptr& write)
    {
        after(backoff(write->failedRounds++), [write](driver& self) {
            self.m_ready.push_back(write);
            self.startRounds();
        });
    }

    void startRounds()
    {
        const int limit = m_health.isAvailable() ? m_options.roundsAtOnce : 1;
        while (m_roundCount < limit && !m_ready.empty()) {
            const auto write = m_ready.front();
            m_ready.pop_front();
            ++m_roundCount;
            readRows(write);
        }
    }

    void readRows(const unresolved_write_ptr& write)
    {
        write->rows.clear();
        readNextRow(write);
    }

    /// Reads one row after the other, so that a store that does not answer gets one request per round.
    void readNextRow(const unresolved_write_ptr& write)
    {
        const auto& keys = write->resolution.rows();
        if (write->rows.size() == keys.size())
            return take(write, write->resolution.rowsRead(write->rows, m_options.now() < write->deadline));
        const auto& key = keys[write->rows.size()];
        m_store.read(key, callDeadline(),
            observed<std::optional<stored_row>>([this, write, key](result<std::optional<stored_row>> outcome) {
                if (outcome.has_error())
                    return take(write, write_resolution::step::read_later);
                write->rows.push_back(outcome.value().value_or(stored_row { key, 0, {} }));
                readNextRow(write);
            }));
    }

    void take(const unresolved_write_ptr& write, write_resolution::step next)
    {
        switch (next) {
        case write_resolution::step::read:
            return readRows(write);
        case write_resolution::step::send:
            return send(
                write->resolution.transaction(), callDeadline(), [this, write](const result<commit_receipt>& outcome) {
                    take(write, write->resolution.sendEnded(outcome));
                });
        case write_resolution::step::fence:
            return send(
                write->resolution.fence(), callDeadline(), [this, write](const result<commit_receipt>& outcome) {
                    take(write, write->resolution.fenceEnded(outcome));
                });
        case write_resolution::step::read_later:
            --m_roundCount;
            waitForRound(write);
            return startRounds();
        case write_resolution::step::finish:
            return finish(write);
        }
    }

    void finish(const unresolved_write_ptr& write)
    {
        --m_roundCount;
        --m_unresolvedCount;
        const auto& outcome = write->resolution.outcome();
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.now() - write->lostAt);
        logEvent(log_event::store_write_resolved,
            { { "operation", write->resolution.transaction().operationId },
                { "outcome", std::string(toString(outcome.has_value() ? verdict::ran : outcome.error().outcome)) },
                { "after_ms", std::to_string(elapsed.count()) } });
        startRounds();
        write->done(outcome);
    }

    void observe(std::optional<bool> isAnswer)
    {
        if (!isAnswer)
            return;
        const auto now = m_options.now();
        const bool hasChanged = *isAnswer ? m_health.recordAnswer(now) : m_health.recordFailure(now);
        if (!hasChanged)
            return;
        if (m_health.isAvailable()) {
            logEvent(log_event::store_available);
            return startRounds();
        }
        logEvent(log_event::store_unavailable);
        m_failedProbes = 0;
        if (!std::exchange(m_isProbing, true))
            probeLater(backoff(0));
    }

    /// Keeps asking while the store is unavailable, because nothing else may be sent to it.
    void probeLater(duration delay)
    {
        after(delay, [](driver& self) {
            self.m_store.read(self.m_options.probe, self.callDeadline(),
                self.observed<std::optional<stored_row>>([&self](const result<std::optional<stored_row>>& outcome) {
                    self.m_failedProbes = outcome.has_value() ? 0 : self.m_failedProbes + 1;
                    if (self.m_health.isAvailable())
                        self.m_isProbing = false;
                    else
                        self.probeLater(outcome.has_value() ? probeInterval : self.backoff(self.m_failedProbes));
                }));
        });
    }

    table_store& m_store;
    resolving_store_options m_options;
    store_health m_health;
    std::deque<unresolved_write_ptr> m_ready;
    std::size_t m_unresolvedCount = 0;
    int m_roundCount = 0;
    int m_failedProbes = 0;
    bool m_isProbing = false;
};

resolving_store::resolving_store(table_store& store, resolving_store_options options)
    : m_driver(std::make_shared<driver>(store, std::move(options)))
{
}

resolving_store::~resolving_store() = default;

void resolving_store::read(
    row_key key, time_point deadline, std::function<void(result<std::optional<stored_row>>)> done)
{
    m_driver->store().read(std::move(key), deadline, m_driver->observed<std::optional<stored_row>>(std::move(done)));
}

void resolving_store::scan(
    std::string table, time_point deadline, std::function<void(result<std::vector<stored_row>>)> done)
{
    m_driver->store().scan(std::move(table), deadline, m_driver->observed<std::vector<stored_row>>(std::move(done)));
}

void resolving_store::commit(
    store_transaction transaction, time_point deadline, applied_test isApplied, commit_function done)
{
    m_driver->commit(std::move(transaction), deadline, std::move(isApplied), std::move(done));
}

void resolving_store::commit(store_transaction transaction, time_point deadline, commit_function done)
{
    auto test = operationIdTest(transaction.operationId);
    commit(std::move(transaction), deadline, std::move(test), std::move(done));
}

std::size_t resolving_store::unresolvedCount() const { return m_driver->unresolvedCount(); }

const store_health& resolving_store::health() const { return m_driver->health(); }

} // namespace heatherdrift
