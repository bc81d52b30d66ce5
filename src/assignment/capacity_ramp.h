#pragma once

#include "assignment/pool_member.h"
#include "base/clock.h"

#include <map>

namespace heatherdrift {

struct capacity_ramp_options {
    double initialShare = 0.1; ///< Share of its capacity that a new member may fill immediately.
    duration rampDuration = std::chrono::seconds(60); ///< Time until it may fill its full capacity.
};

/// Slow start of new members: the share of its capacity that a member may fill grows linearly from when this node first
/// saw it active, by the node's own clock. Members that are already active when the node starts get their full capacity
/// at once.
class capacity_ramp {
public:
    explicit capacity_ramp(capacity_ramp_options options = {})
        : m_options(options)
    {
    }

    /// Must be called with the membership rows whenever they change.
    void onMembers(const member_map&, time_point now);
    /// Share of its capacity that a member may fill, from 0 to 1.
    double ramp(const instance_ref&, time_point now) const;

private:
    struct ramp_times {
        time_point start;
        time_point end;
    };

    capacity_ramp_options m_options;
    bool m_hasMembers = false;
    std::map<instance_ref, ramp_times> m_members;
};

} // namespace heatherdrift
