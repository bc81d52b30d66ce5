#pragma once

#include "mesh/platform_port.h"
#include "ranges/hold_manager.h"

#include <algorithm>
#include <random>
#include <utility>

namespace heatherdrift {

/// Keys that a backend server holds with one token, or on which requests that began under it are at work.
struct worked_row {
    key_range keys;
    fencing_token fence = 0;
    time_point holdEnd {};
    bool isUsed = true; ///< For new requests: the last response that was applied contains the row.
    time_point workEnd = time_point::max(); ///< End of the requests that are at work, if the row is not used any more.

    time_point end() const { return isUsed ? holdEnd : std::min(holdEnd, workEnd); }
};

/// A backend server with one row per token, which stays at work on rows that it has to release.
class working_backend {
public:
    struct sent_heartbeat {
        time_point at {};
        backend_announcement announcement;
    };

    working_backend(std::string id, std::int64_t startedAt)
        : m_id(std::move(id))
        , m_startedAt(startedAt)
    {
    }

    life_name life() const { return makeLife(m_id, m_startedAt); }
    const std::vector<worked_row>& rows() const { return m_rows; }
    bool isHeartbeatDue(time_point now) const { return now >= m_nextHeartbeat; }

    sent_heartbeat sendHeartbeat(time_point now)
    {
        endWork(now);
        sent_heartbeat sent { now, {} };
        auto& announcement = sent.announcement;
        announcement.id = m_id;
        announcement.startedAt = m_startedAt;
        announcement.sequence = ++m_sequence;
        for (const auto& row : m_rows)
            announcement.holds.push_back({ row.keys, row.fence });
        for (auto& [range, reportedIn] : m_released) {
            announcement.released.push_back(range);
            reportedIn = reportedIn == 0 ? m_sequence : reportedIn;
        }
        m_nextHeartbeat = now + (hasLeftOutRows() ? releaseInterval : heartbeatInterval);
        return sent;
    }

    /// Applies the response to a heartbeat, unless it is too late or a response to a later one has been applied.
    /// Returns whether the grant was applied.
    bool receive(const sent_heartbeat& sent, const hold_grant& grant, time_point now, std::mt19937_64& random)
    {
        endWork(now);
        const auto sequence = sent.announcement.sequence;
        if (now > sent.at + longestResponseTime)
            return false;
        std::erase_if(m_released, [&](const auto& entry) { return entry.second != 0 && entry.second <= sequence; });
        if (!grant.isValid || sequence < m_appliedSequence)
            return false;
        m_appliedSequence = sequence;
        // The clock that measures the hold may run 2% slow.
        apply(grant.ranges, sent.at + std::chrono::duration_cast<duration>(grant.hold * 1.02), now, random);
        endWork(now);
        if (hasLeftOutRows())
            m_nextHeartbeat = std::min<time_point>(m_nextHeartbeat, now + releaseInterval);
        return true;
    }

    /// Drops rows whose hold has run out, and reports those as released whose requests have ended before.
    void endWork(time_point now)
    {
        for (const auto& row : m_rows) {
            if (row.isUsed || now < row.workEnd || now >= row.holdEnd)
                continue;
            m_released.push_back({ { row.keys, "from " + std::to_string(row.fence) }, 0 });
            m_nextHeartbeat = std::min<time_point>(m_nextHeartbeat, now + releaseInterval);
        }
        std::erase_if(m_rows, [&](const auto& row) { return now >= row.end(); });
    }

private:
    static constexpr auto heartbeatInterval = std::chrono::milliseconds(870);
    static constexpr auto releaseInterval = std::chrono::milliseconds(100);
    static constexpr auto longestResponseTime = std::chrono::seconds(1);
    static constexpr int longestWorkMs = 6000;

    bool hasLeftOutRows() const
    {
        return std::ranges::any_of(m_rows, [](const auto& row) { return !row.isUsed; });
    }

    void apply(const std::vector<granted_range>& ranges, time_point holdEnd, time_point now, std::mt19937_64& random)
    {
        std::vector<granted_range> accepted;
        std::ranges::copy_if(ranges, std::back_inserter(accepted), [&](const auto& range) { return mayTake(range); });
        for (const auto& range : accepted)
            splitRows(range.keys);
        for (auto& row : m_rows) {
            const bool isGranted = std::ranges::any_of(
                accepted, [&](const auto& range) { return range.fence == row.fence && range.keys.covers(row.keys); });
            if (isGranted) {
                row.isUsed = true;
                row.holdEnd = std::max(row.holdEnd, holdEnd);
            } else if (std::exchange(row.isUsed, false))
                row.workEnd = now + workLength(random);
        }
        for (const auto& range : accepted)
            openRows(range, holdEnd);
    }

    /// A row is not taken if a higher token was seen for one of its keys.
    bool mayTake(const granted_range& range)
    {
        const bool isOutdated = std::ranges::any_of(
            m_seen, [&](const auto& seen) { return seen.fence > range.fence && seen.keys.intersects(range.keys); });
        if (isOutdated)
            return false;
        std::erase_if(m_seen, [&](const auto& seen) { return range.keys.covers(seen.keys); });
        m_seen.push_back({ range.keys, range.fence });
        return true;
    }

    void splitRows(key_range keys)
    {
        std::vector<worked_row> pieces;
        for (const auto& row : m_rows) {
            auto rest = row;
            if (rest.keys.first < keys.first && keys.first <= rest.keys.last) {
                pieces.push_back(rest);
                pieces.back().keys.last = keys.first - 1;
                rest.keys.first = keys.first;
            }
            if (rest.keys.first <= keys.last && keys.last < rest.keys.last) {
                pieces.push_back(rest);
                pieces.back().keys.last = keys.last;
                rest.keys.first = keys.last + 1;
            }
            pieces.push_back(rest);
        }
        m_rows = std::move(pieces);
    }

    /// Opens a row for each part of the range that is not held with its token yet.
    void openRows(const granted_range& range, time_point holdEnd)
    {
        std::vector<key_range> held;
        for (const auto& row : m_rows) {
            if (row.fence == range.fence && row.keys.intersects(range.keys))
                held.push_back(row.keys);
        }
        std::ranges::sort(held);
        auto first = range.keys.first;
        for (const auto& keys : held) {
            if (first < keys.first)
                m_rows.push_back({ { first, keys.first - 1 }, range.fence, holdEnd });
            first = keys.last + 1;
        }
        if (first <= range.keys.last)
            m_rows.push_back({ { first, range.keys.last }, range.fence, holdEnd });
    }

    static duration workLength(std::mt19937_64& random)
    {
        const auto kind = random() % 5;
        const int longest = kind < 2 ? 1 : kind < 4 ? 500 : longestWorkMs;
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(0, longest - 1)(random));
    }

    std::string m_id;
    std::int64_t m_startedAt = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_appliedSequence = 0; ///< Of the heartbeat whose response was applied last.
    std::vector<worked_row> m_rows;
    std::vector<held_range> m_seen; ///< Highest tokens seen.
    /// Each with the first heartbeat that contained it; 0: none yet.
    std::vector<std::pair<released_range, std::int64_t>> m_released;
    time_point m_nextHeartbeat {};
};

} // namespace heatherdrift
