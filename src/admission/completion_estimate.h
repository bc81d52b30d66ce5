#pragma once

#include "admission/server_status.h"

#include <vector>

namespace heatherdrift {

/// Status of a backend server as an entry node got it, from the server's gate or from another node.
struct status_report {
    server_status status;
    time_point at {}; ///< Time at which the gate stated it, by the clock of the entry node.

    bool operator==(const status_report&) const = default;
};

/// Estimates when one backend server would start and end a request that is sent to it now, from its last status and the
/// calls that this node has sent since. Reports lose their weight with age: other nodes send requests, too, and slow
/// periods end. Designed for tens of statuses and calls per second.
class completion_estimate {
public:
    /// Ignores a report that is not newer than the present one by more than minGain. Returns whether it was used.
    bool record(const status_report&, duration minGain = {});
    /// The gate has stopped stating the status.
    void clear();
    void onCallStarted(time_point now);

    const std::optional<status_report>& last() const { return m_last; }
    /// Whether the status is recent enough to choose by it.
    bool isCurrent(time_point now) const { return m_last && now <= currentUntil(); }
    time_point currentUntil() const;
    /// Whether the backend server is cold by the last status, which holds until the server is due to be warm.
    bool isCold(time_point now) const;

    /// Expected time until the backend server starts a request of this urgency level. It fades to the usual wait with
    /// the age of the status, but not below the time until a cold server starts its next request.
    duration wait(std::size_t level, time_point now, duration usual = {}) const;
    /// Expected service time; empty if it is not known. It stays valid for longer than the wait, since it depends on
    /// the machine of the backend server.
    std::optional<duration> serviceTime(time_point now) const;
    /// Expected time until the backend server answers a request of this urgency level. The usual figures replace what
    /// is not known.
    duration completion(std::size_t level, time_point now, duration usualWait, duration usualService) const;

private:
    double weight(duration timeConstant, time_point now) const;
    duration coldWait(time_point now) const;

    std::optional<status_report> m_last;
    std::vector<time_point> m_starts; ///< Of calls since the report.
};

} // namespace heatherdrift
