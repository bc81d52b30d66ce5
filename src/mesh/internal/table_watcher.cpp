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
    return { m_hooks.place(), m_currentAt, m_answeredAt, m_failures, m_hasChanges,
        isOfEarlierEra() ? m_restoredAt : time_point() };
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
    if (needsRead())
        return read();
    watch(request.wait);
}

void table_watcher::read()
{
    const auto now = boot_clock::now();
    ++m_request;
    m_isReading = true;
    m_store.read(m_table, now + m_timing.readTimeout, [this, now](const result<row_snapshot>& snapshot) {
        m_isReading = false;
        logAnswer(now, snapshot);
        if (snapshot.has_error())
            return handleFailure(snapshot.error());
        // An outdated response must not undo newer changes.
        if (snapshot.value().version < m_copy.version())
            return handleFailure({ verdict::not_run, error_code::store_unavailable,
                "the store returned an older version of the table" });
        const bool isOtherEra = m_isRead && eraOf(snapshot.value().version) > m_copy.era();
        m_needsRead = false;
        m_isRead = true;
        notifyRows(m_copy.replace(snapshot.value()), isOtherEra);
        if (m_hooks.onRead)
            m_hooks.onRead();
        // Unlike a watch, which may wait, a read shows the table at the time of the request or later.
        handleAnswer(false, now);
    });
}

void table_watcher::watch(duration wait)
{
    const auto now = boot_clock::now();
    const auto slack = std::max<duration>(watchSlack, m_timing.readTimeout - wait);
    m_store.watch(m_table, m_copy.version(), wait, now + wait + slack,
        [this, wait, now, request = ++m_request](const result<row_snapshot>& changes) {
            logAnswer(now, changes);
            if (request != m_request)
                return;
            if (changes.has_error())
                return handleFailure(changes.error());
            // Another node has moved the copy to a later era meanwhile.
            if (eraOf(changes.value().version) < m_copy.era())
                return handleFailure({ verdict::not_run, error_code::store_unavailable,
                    "the store returned changes of an earlier era" });
            const bool hasChanges = !changes.value().rows.empty();
            notifyRows(m_copy.merge(changes.value()), false);
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

void table_watcher::notifyRows(const std::vector<row_change>& changes, bool isOtherEra)
{
    for (const auto& row : changes) {
        const bool isMissing = isOtherEra && !row.value && m_hooks.onMissing;
        (isMissing ? m_hooks.onMissing : m_hooks.onRow)(row);
    }
    if (isOtherEra && m_hooks.onReplaced)
        m_hooks.onReplaced(m_copy.era());
}

void table_watcher::applyUpdate(const table_update& update)
{
    if (!m_isRead)
        return;
    const auto previousEra = m_copy.era();
    const auto changes = m_copy.applyUpdate(update);
    notifyRows(changes, m_copy.era() > previousEra);
}

void table_watcher::onStoreRestored(store_era era)
{
    m_storeEra = std::max(m_storeEra, era);
    m_restoredAt = boot_clock::now();
    // The answer to a read in progress is either of the later era or a failure.
    if (!m_isRead || m_isReading || !isOfEarlierEra())
        return;
    // A watch from a version of the earlier era may not be answered for a long time, so its answer is not awaited.
    ++m_request;
    if (m_hooks.place().isReader())
        m_failures = 0;
    schedule();
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
