#pragma once

#include "admission/random_function.h"
#include "admission/retry_backoff.h"

#include <algorithm>

namespace heatherdrift {

/// Connections to one backend server, or a number of them to open, by class of the calls that they carry.
struct connection_counts {
    int forShort = 0;
    int forLong = 0;

    bool operator==(const connection_counts&) const = default;
};

/// Settings of connection_plan; see docs/admission.md.
struct connection_plan_settings {
    int most = 90; ///< Connections that the backend server accepts.
    int spare = 2; ///< Kept beyond the concurrent calls of each class, for connections that close.
    int mostOpening = 4; ///< Connections being opened at once.
    double opensPerSecond = 50;
    backoff_settings backoff { std::chrono::milliseconds(100), std::chrono::seconds(5) };

    bool operator==(const connection_plan_settings&) const = default;
};

/// Connections to keep open for up to `slots` short and `longSlots` long calls at once, within the limit.
connection_counts connectionTargets(int slots, int longSlots, const connection_plan_settings&);

/// Says when to open connections to one backend server: ahead of need, at a bounded rate, slower after failures.
class connection_plan {
public:
    connection_plan(connection_counts targets, random_function, const connection_plan_settings& = {});

    void setTargets(connection_counts targets) { m_targets = targets; }
    const connection_counts& targets() const { return m_targets; }

    /// How many connections to open now, given those that are open (idle or in use) and those being opened.
    /// Each one must be reported by onOpened() or onFailed().
    connection_counts due(connection_counts open, connection_counts opening, time_point now);
    void onOpened();
    void onFailed(time_point now);
    /// Earliest time at which due() may ask for more.
    time_point nextAt() const { return std::max(m_nextAt, m_backoffUntil); }

private:
    connection_counts m_targets;
    random_function m_random;
    connection_plan_settings m_settings;
    time_point m_nextAt = time_point::min(); // By the rate.
    time_point m_backoffUntil = time_point::min();
    int m_failures = 0;
};

} // namespace heatherdrift
