#include "mesh/internal/table_watcher.h"

#include "telemetry/log_event.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// Round trip of a watch request, in addition to the time that it waits at the store.
    constexpr auto watchSlack = std::chrono::milliseconds(500);
    constexpr int maxFailures = 1000; ///< The backoff depends only on the first few.

} // namespace

table_watcher::table_watcher(
    event_base* base, watched_store& store, std::string table, const watch_timing& timing, table_watcher_hooks hooks)
    : m_store(store)
    , m_table(std::move(table))
    , m_timing(timing)
    , m_hooks(std::move(hooks))
    , m_timer(base, [this] { askIfDue(); })
{
}

void table_watcher::start() { read(); }

watch_state table_watcher::state() const
{
    return { m_hooks.place(), m_currentAt, m_answeredAt, m_failures, m_hasChanges };
}

watch_request table_watcher::next() const { return nextRequest(m_timing, state(), m_jitter); }

void table_watcher::schedule()
{
    m_jitter = m_hooks.random();
    m_timer.startAt(next().at);
}

void table_watcher::askIfDue()
{
    // Other nodes may have confirmed the copy since the request was scheduled.
    const auto request = next();
    if (request.at > boot_clock::now())
        return m_timer.startAt(request.at);
    if (m_needsRead)
        return read();
    watch(request.wait);
}

void table_watcher::read()
{
    const auto now = boot_clock::now();
    m_store.read(m_table, now + m_timing.readTimeout, [this, now](const result<row_snapshot>& snapshot) {
        logAnswer(now, snapshot);
        if (snapshot.has_error())
            return handleFailure(snapshot.error());
        // An outdated response must not undo newer changes.
        if (snapshot.value().version < m_copy.version())
            return handleFailure({ verdict::not_run, error_code::store_unavailable,
                "the store returned an older version of the table" });
        m_needsRead = false;
        m_isRead = true;
        notifyRows(m_copy.replace(snapshot.value()));
        if (m_hooks.onRead)
            m_hooks.onRead();
        handleAnswer(!snapshot.value().rows.empty(), now);
    });
}

void table_watcher::watch(duration wait)
{
    const auto now = boot_clock::now();
    const auto slack = std::max<duration>(watchSlack, m_timing.readTimeout - wait);
    m_store.watch(
        m_table, m_copy.version(), wait, now + wait + slack, [this, wait, now](const result<row_snapshot>& changes) {
            logAnswer(now, changes);
            if (changes.has_error())
                return handleFailure(changes.error());
            const bool hasChanges = !changes.value().rows.empty();
            notifyRows(m_copy.merge(changes.value()));
            // Without a change, the store responded after the whole wait, so the copy was current at its end.
            handleAnswer(hasChanges, hasChanges ? now : now + wait);
        });
}

void table_watcher::handleAnswer(bool hasChanges, time_point currentAt)
{
    setAvailable(true);
    m_answeredAt = boot_clock::now();
    m_failures = 0;
    m_hasChanges = hasChanges;
    m_currentAt = std::max(m_currentAt, currentAt);
    schedule();
}

void table_watcher::handleFailure(const failure& reason)
{
    m_answeredAt = boot_clock::now();
    // The store responded, but its history no longer reaches back to the version of this copy.
    const bool isHistoryLost = reason.code == error_code::not_found;
    m_needsRead = m_needsRead || isHistoryLost;
    m_failures = isHistoryLost ? 0 : std::min(m_failures + 1, maxFailures);
    setAvailable(isHistoryLost);
    schedule();
}

void table_watcher::logAnswer(time_point askedAt, const result<row_snapshot>& answer) const
{
    const auto elapsed = millisecondsText(boot_clock::now() - askedAt);
    if (answer.has_error())
        return logEvent(log_event::table_read_failed,
            { { "table", m_table }, { "ms", elapsed }, { "reason", answer.error().message } });
    // Answers without changes are the usual case and say nothing.
    if (answer.value().rows.empty())
        return;
    std::size_t bytes = 0;
    for (const auto& row : answer.value().rows)
        bytes += row.value ? row.value->size() : 0;
    logEvent(log_event::table_read,
        { { "table", m_table }, { "ms", elapsed }, { "rows", std::to_string(answer.value().rows.size()) },
            { "bytes", std::to_string(bytes) }, { "version", std::to_string(answer.value().version) } });
}

bool table_watcher::needsReader(time_point now) const { return m_isRead && isReaderRequestDue(m_timing, state(), now); }

void table_watcher::notifyRows(const std::vector<row_change>& changes)
{
    for (const auto& row : changes)
        m_hooks.onRow(row);
}

void table_watcher::applyUpdate(const table_update& update)
{
    if (m_isRead)
        notifyRows(m_copy.applyUpdate(update));
}

void table_watcher::confirm(time_point at)
{
    if (m_isRead)
        m_currentAt = std::max(m_currentAt, at);
}

void table_watcher::setAvailable(bool isAvailable)
{
    if (std::exchange(m_isAvailable, isAvailable) != isAvailable && m_hooks.onAvailability)
        m_hooks.onAvailability(isAvailable);
}

} // namespace heatherdrift
