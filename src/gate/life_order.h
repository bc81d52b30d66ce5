#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heatherdrift {

/// One life (process lifetime) of the backend server, as its heartbeats name it.
struct stated_life {
    std::string id;
    std::int64_t bornAt = 0; ///< Start by the clock of the backend server's machine, which may be stepped back.

    bool operator==(const stated_life&) const = default;
};

/// A life with its place among the lives of the backend server: later lives have higher numbers.
struct ordered_life {
    stated_life stated;
    std::int64_t order = 0; ///< `bornAt`, or more if an earlier life states the same time or a later one.

    bool operator==(const ordered_life&) const = default;
};

enum class heartbeat_verdict {
    present, ///< The next heartbeat of the present life.
    next, ///< The first heartbeat taken of a life after the present one, which becomes the present one.
    repeated, ///< Sent by the present life before one that was taken.
    undecided, ///< Of an earlier life, or of a later one after a step of the clock; not taken.
    late, ///< Of an earlier life.
};

/// Decides which life of the backend server is the present one, by its clock where nothing speaks against it and by
/// what the node has observed where the clock may have been stepped. See docs/design/order-of-lives.md.
///
/// Designed for one backend server whose lives follow each other: one heartbeat a second, late ones of up to four
/// other lives at a time.
class life_order {
public:
    explicit life_order(duration heartbeatInterval)
        : m_heartbeatInterval(heartbeatInterval)
    {
    }

    void setHeartbeatInterval(duration interval) { m_heartbeatInterval = interval; }

    /// The present life according to the row that an earlier process of this node wrote. A life that this process has
    /// taken before it read the row counts as one that has not been seen.
    void presume(const ordered_life&, time_point now);
    /// `holdsEnd`: time from which on the present life holds no keys unless it is granted them again.
    heartbeat_verdict observe(const stated_life&, std::int64_t sequence, time_point now, time_point holdsEnd);
    /// A connection to the backend server's address was refused, so the present life has ended.
    void onPresentEnded() { m_hasEnded = true; }

    const std::optional<ordered_life>& present() const { return m_present; }
    /// Last heartbeat of the present life, or the time at which it was presumed.
    time_point heardAt() const { return m_heardAt; }
    /// Whether heartbeats of a life with this id arrive that may be a later one, so that a message that names only the
    /// id may be that life's.
    bool isUndecided(const std::string& id, time_point now) const;

private:
    /// Another life than the present one, whose heartbeats arrive.
    struct contender {
        stated_life life;
        std::int64_t sequence = 0;
        time_point firstAt {};
        time_point lastAt {};
        int heartbeats = 0;
    };

    heartbeat_verdict observeOther(const stated_life&, std::int64_t sequence, time_point now, time_point holdsEnd);
    contender& find(const stated_life&, std::int64_t sequence, time_point now);
    bool goesOn(const contender&, time_point now, time_point holdsEnd) const;
    void take(const stated_life&, std::int64_t sequence, time_point now);
    bool isKnownEarlier(const stated_life&) const;

    duration m_heartbeatInterval;
    std::optional<ordered_life> m_present;
    std::optional<std::int64_t> m_sequence; ///< Of the last heartbeat taken; empty if the life is known from the row.
    time_point m_heardAt {};
    bool m_hasEnded = false;
    std::vector<stated_life> m_earlier; ///< The last ones before the present life.
    std::vector<contender> m_contenders; ///< Since the last heartbeat of the present life.
};

} // namespace heatherdrift
