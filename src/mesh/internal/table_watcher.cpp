#include "mesh/internal/table_watcher.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr auto watchTime = std::chrono::seconds(20); ///< Each answer without a change costs a call.
    constexpr auto watchSlack = std::chrono::seconds(2);
    constexpr auto firstBackoff = std::chrono::milliseconds(100);

} // namespace

table_watcher::table_watcher(
    event_base* base, watched_store& store, std::string table, const watch_pace& pace, table_watcher_hooks hooks)
    : m_store(store)
    , m_table(std::move(table))
    , m_pace(pace)
    , m_hooks(std::move(hooks))
    , m_retry(base, [this] { m_needsRead ? read() : watch(); })
{
}

void table_watcher::start() { read(); }

void table_watcher::read()
{
    m_store.read(m_table, boot_clock::now() + m_pace.readTimeout, [this](result<row_snapshot> snapshot) {
        if (snapshot.has_error())
            return retry();
        // An old answer must not undo what is known already.
        if (snapshot.value().version < m_version)
            return retry();
        m_needsRead = false;
        apply(snapshot.value(), true);
        watch();
    });
}

void table_watcher::watch()
{
    m_store.watch(m_table, m_version, watchTime, boot_clock::now() + watchTime + watchSlack,
        [this](result<row_snapshot> changes) {
            if (changes.has_error()) {
                m_needsRead = m_needsRead || changes.error().code == error_code::not_found;
                return retry();
            }
            apply(changes.value(), false);
            m_retry.startOnce(m_pace.batchTime);
        });
}

void table_watcher::apply(const row_snapshot& snapshot, bool isWhole)
{
    setAvailable(true);
    m_backoff = {};
    std::map<row_key, row_version> missing;
    if (isWhole)
        missing = m_rows;
    for (const auto& row : snapshot.rows) {
        missing.erase(row.key);
        auto& known = m_rows[row.key];
        if (row.version <= known)
            continue;
        known = row.version;
        m_hooks.onRow(row);
    }
    for (const auto& [key, version] : missing) {
        m_rows.erase(key);
        m_hooks.onRow({ key, snapshot.version, std::nullopt });
    }
    m_version = std::max(m_version, snapshot.version);
    if (isWhole && m_hooks.onRead)
        m_hooks.onRead();
}

void table_watcher::retry()
{
    setAvailable(false);
    m_backoff = std::clamp<duration>(m_backoff * 2, firstBackoff, m_pace.longestBackoff);
    m_retry.startOnce(m_backoff);
}

void table_watcher::setAvailable(bool isAvailable)
{
    if (std::exchange(m_isAvailable, isAvailable) != isAvailable && m_hooks.onAvailability)
        m_hooks.onAvailability(isAvailable);
}

} // namespace heatherdrift
