#pragma once

#include "assignment/pool_member.h"
#include "base/clock.h"

#include <map>

namespace heatherdrift {

struct capacity_ramp_options {
    double firstShare = 0.1; ///< Share of its capacity that a new member may fill at once.
    duration length = std::chrono::seconds(60); ///< Until it may fill all of it.
};

/// Remembers when this node first saw each member active, by its own clock. Members that are active when the node
/// starts count as warm.
class capacity_ramp {
public:
    explicit capacity_ramp(capacity_ramp_options options = {})
        : m_options(options)
    {
    }

    /// Called with the membership rows whenever they change.
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
