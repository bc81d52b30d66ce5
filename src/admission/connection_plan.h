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
    int maxConnections = 90; ///< Connections that the backend server accepts.
    int spare = 2; ///< Kept open beyond the concurrent calls of each class, to replace connections that close.
    int maxOpening = 4; ///< Maximum number of connections being opened at the same time.
    double opensPerSecond = 50;
    backoff_settings backoff { std::chrono::milliseconds(100), std::chrono::seconds(5) };

    bool operator==(const connection_plan_settings&) const = default;
};

/// Connections to keep open for up to `slots` short and `longSlots` long calls at once, within the limit.
connection_counts connectionTargets(int slots, int longSlots, const connection_plan_settings&);

/// Decides when to open connections to one backend server: before calls need them, at a bounded rate, and with
/// exponential backoff after failures.
class connection_plan {
public:
    connection_plan(connection_counts targets, random_function, const connection_plan_settings& = {});

    void setTargets(connection_counts targets) { m_targets = targets; }
    const connection_counts& targets() const { return m_targets; }

    /// Number of connections to open now, given those that are open (idle or in use) and those being opened.
    /// Each one must be reported by onOpened() or onFailed().
    connection_counts connectionsToOpen(connection_counts open, connection_counts opening, time_point now);
    void onOpened();
    void onFailed(time_point now);
    /// Earliest time at which connectionsToOpen() may return more connections.
    time_point nextAt() const { return std::max(m_nextAt, m_backoffUntil); }

private:
    connection_counts m_targets;
    random_function m_random;
    connection_plan_settings m_settings;
    time_point m_nextAt = time_point::min(); // Earliest next opening by the rate limit.
    time_point m_backoffUntil = time_point::min();
    int m_failures = 0;
};

} // namespace heatherdrift
