#include "mesh/internal/table_watcher.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// Way of a question to the store and back, beside the time that it waits there.
    constexpr auto watchSlack = std::chrono::milliseconds(500);
    constexpr int mostFailures = 1000; ///< Only the first few matter.

} // namespace

table_watcher::table_watcher(
    event_base* base, watched_store& store, std::string table, const watch_terms& terms, table_watcher_hooks hooks)
    : m_store(store)
    , m_table(std::move(table))
    , m_terms(terms)
    , m_hooks(std::move(hooks))
    , m_timer(base, [this] { askIfDue(); })
{
}

void table_watcher::start() { read(); }

watch_state table_watcher::state() const
{
    return { m_hooks.place(), m_currentAt, m_answeredAt, m_failures, m_hasNews };
}

watch_question table_watcher::next() const { return nextQuestion(m_terms, state(), m_chance); }

void table_watcher::schedule()
{
    m_chance = m_hooks.random();
    m_timer.startAt(next().at);
}

void table_watcher::askIfDue()
{
    // Other nodes may have told of the table since the question was scheduled.
    const auto question = next();
    if (question.at > boot_clock::now())
        return m_timer.startAt(question.at);
    if (m_needsRead)
        return read();
    watch(question.wait);
}

void table_watcher::read()
{
    const auto now = boot_clock::now();
    m_store.read(m_table, now + m_terms.readTimeout, [this, now](const result<row_snapshot>& snapshot) {
        if (snapshot.has_error())
            return failed(snapshot.error());
        // An old answer must not undo what is known already.
        if (snapshot.value().version < m_copy.version())
            return failed({ verdict::not_run, error_code::store_unavailable, "an old state of the table" });
        m_needsRead = false;
        m_isRead = true;
        tell(m_copy.replace(snapshot.value()));
        if (m_hooks.onRead)
            m_hooks.onRead();
        answered(!snapshot.value().rows.empty(), now);
    });
}

void table_watcher::watch(duration wait)
{
    const auto now = boot_clock::now();
    const auto slack = std::max<duration>(watchSlack, m_terms.readTimeout - wait);
    m_store.watch(
        m_table, m_copy.version(), wait, now + wait + slack, [this, wait, now](const result<row_snapshot>& changes) {
            if (changes.has_error())
                return failed(changes.error());
            const bool hasNews = !changes.value().rows.empty();
            tell(m_copy.merge(changes.value()));
            // Without a change, the store answered after the whole wait.
            answered(hasNews, hasNews ? now : now + wait);
        });
}

void table_watcher::answered(bool hasNews, time_point currentAt)
{
    setAvailable(true);
    m_answeredAt = boot_clock::now();
    m_failures = 0;
    m_hasNews = hasNews;
    m_currentAt = std::max(m_currentAt, currentAt);
    schedule();
}

void table_watcher::failed(const failure& reason)
{
    m_answeredAt = boot_clock::now();
    // The store answers, but no longer knows the changes since this copy.
    const bool isHistoryLost = reason.code == error_code::not_found;
    m_needsRead = m_needsRead || isHistoryLost;
    m_failures = isHistoryLost ? 0 : std::min(m_failures + 1, mostFailures);
    setAvailable(isHistoryLost);
    schedule();
}

bool table_watcher::needsReader(time_point now) const { return m_isRead && asksReader(m_terms, state(), now); }

void table_watcher::tell(const std::vector<row_change>& news)
{
    for (const auto& row : news)
        m_hooks.onRow(row);
}

void table_watcher::take(const table_news& news)
{
    if (m_isRead)
        tell(m_copy.take(news));
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
