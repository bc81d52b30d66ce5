#pragma once

#include "base/clock.h"
#include "ranges/range_map.h"

namespace heatherdrift {

/// Terms of the holds that a backend server is given.
struct hold_terms {
    duration lease {}; ///< A hold ends at the latest this long after the range map was confirmed.
    duration promise {}; ///< Other owners promise for this long that they take no keys over.
    duration mostExtension {}; ///< Promises extend a hold at most this long beyond its lease.
    duration longestHold {}; ///< Backend servers accept no longer hold.
    double clockDrift = 0.02; ///< Share by which a backend server's clock may run slow.

    bool operator==(const hold_terms&) const = default;
};

/// Keys that a backend server says it holds or still works on.
struct held_range {
    key_range keys;
    fencing_token fence = 0;

    bool operator==(const held_range&) const = default;
};

/// Keys that a backend server gave up, with what lets the next owner start with its state.
struct released_range {
    key_range keys;
    std::string handover;

    bool operator==(const released_range&) const = default;
};

/// What a backend server says of its keys.
struct hold_report {
    life_name life;
    std::vector<held_range> holds;
    std::vector<released_range> released;

    bool operator==(const hold_report&) const = default;
};

/// What a backend server is to hold.
struct granted_range {
    key_range keys;
    fencing_token fence = 0;
    std::string handover;

    bool operator==(const granted_range&) const = default;
};

struct hold_grant {
    bool isValid = false; ///< False: nothing is renewed and nothing is taken away.
    std::vector<granted_range> ranges;
    duration hold {}; ///< Counted by the backend server from when it sent its report.

    bool operator==(const hold_grant&) const = default;
};

/// Decides what the backend server beside this node may hold, and when it holds something no more. Holds end by the
/// boot clock, which a suspended machine does not stop.
class hold_keeper {
public:
    /// At the start of a process, holds that an earlier process gave may last for a whole lease.
    hold_keeper(const hold_terms&, time_point startedAt);

    /// The range map was the current one in the store at the time, or later.
    void confirm(const range_map&, time_point at);
    /// All other owners promised at the time, or later, not to take keys of the life over.
    void extend(time_point at);
    /// A newer range map is known; the time of the last confirmation stays.
    void setMap(const range_map& map);
    /// A backend server with another life answers from now on; the earlier one has ended.
    void startLife(const life_name&);
    const life_name& life() const { return m_life; }
    time_point confirmedAt() const { return m_confirmedAt; }

    /// Takes in a report of the life; reports come in the order in which they were sent.
    void report(const hold_report&);
    /// What the backend server is told as the answer to its last report.
    hold_grant grant(time_point receivedAt);
    /// Range map with what the backend server of this life holds no more; equal to the given one if that is nothing.
    range_map releaseUnheld(const range_map&, time_point now) const;
    /// Whether a request for the key may be sent to the backend server.
    bool mayServe(key_number, time_point now) const;
    /// The backend server said that it does not hold the key.
    void distrustGrants() { m_granted.clear(); }
    std::size_t grantedCount() const { return m_granted.size(); }

private:
    time_point latestHoldEnd() const;
    duration holdAt(time_point receivedAt) const;
    bool isHeld(key_range) const;

    hold_terms m_terms;
    life_name m_life;
    range_map m_map;
    time_point m_confirmedAt {}; ///< The epoch of the clock: never.
    time_point m_promisedUntil = time_point::min();
    time_point m_holdEnd; ///< No hold that was ever given to the life lasts longer.
    std::vector<granted_range> m_granted; ///< By the last answer.
    std::vector<granted_range> m_grantedBefore; ///< By the answer that the last report may not have known.
    std::vector<held_range> m_reported;
    std::vector<released_range> m_released;
    int m_reportCount = 0;
};

} // namespace heatherdrift
