#pragma once

#include "base/event_handle.h"
#include "mesh/tests/simulated_store.h"

namespace heatherdrift {

/// Client of the simulated store for nodes that run on a real event loop.
class loop_store_client : public watched_store {
public:
    loop_store_client(event_base* base, simulated_store& store)
        : m_store(store)
        , m_tick(base, [this] { proceed(); })
    {
        m_tick.startRepeating(std::chrono::milliseconds(5));
    }

    void read(std::string table, time_point, std::function<void(result<row_snapshot>)> done) override
    {
        m_pending.push_back([this, table, done] {
            done(snapshot(table, -1));
            return true;
        });
    }

    void watch(std::string table, row_version after, duration wait, time_point,
        std::function<void(result<row_snapshot>)> done) override
    {
        m_pending.push_back([this, table, after, endsAt = boot_clock::now() + wait, done] {
            auto changes = snapshot(table, after);
            if (changes.rows.empty() && boot_clock::now() < endsAt)
                return false;
            done(std::move(changes));
            return true;
        });
    }

    void write(conditional_write write, time_point, std::function<void(result<write_outcome>)> done) override
    {
        m_pending.push_back([this, write, done] {
            done(m_store.apply(write));
            return true;
        });
    }

private:
    row_snapshot snapshot(const std::string& table, row_version after)
    {
        row_snapshot out;
        out.version = m_store.apply({}).version;
        for (const auto& [key, row] : m_store.rows()) {
            auto current = m_store.current(key);
            if (key.table == table && current.version > after)
                out.rows.push_back(std::move(current));
        }
        for (const auto& [key, number] : m_store.removals()) {
            const auto version = makeVersion(m_store.era(), number);
            if (after >= 0 && key.table == table && version > after && !m_store.rows().contains(key))
                out.rows.push_back({ key, version, std::nullopt });
        }
        return out;
    }

    void proceed()
    {
        for (auto& isDone : std::exchange(m_pending, {})) {
            if (!isDone())
                m_pending.push_back(std::move(isDone));
        }
    }

    simulated_store& m_store;
    std::vector<std::function<bool()>> m_pending; ///< Return whether they have called back.
    timer m_tick;
};

} // namespace heatherdrift
