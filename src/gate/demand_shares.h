#pragma once

#include "admission/decaying_sum.h"
#include "admission/server_status.h"

#include <map>
#include <string>
#include <utility>

namespace heatherdrift {

/// Requests of one kind that come from one availability zone.
struct demand_group {
    int priority = 0; ///< 0 is the highest.
    std::string kind;
    std::string zone;

    bool operator==(const demand_group&) const = default;
};

/// Shares the capacity of a backend server between groups of one urgency level in proportion to their demand. Without
/// it, the kind with the longest objective takes the place of others in a long queue, and a zone with more callers that
/// return takes that of another one. Designed for some tens of groups with several requests per second each.
class demand_shares {
public:
    /// A first attempt arrived that needs about this much work.
    void recordDemand(const demand_group&, duration work, time_point now);
    /// A request was started, at its first attempt or at its return. Waiting ones may still be overtaken and refused.
    void recordStart(const demand_group&, duration work, time_point now);
    /// Whether the group got clearly more of its demand than its level as a whole, while the level lacks capacity.
    bool isAboveShare(const demand_group&, time_point now) const;

private:
    struct totals {
        totals();

        decaying_sum demand; ///< Seconds of work.
        decaying_sum started;
        time_point lastAt {};
    };
    using group_name = std::pair<std::string, std::string>;

    totals* find(const demand_group&, time_point now);

    std::map<std::size_t, std::map<group_name, totals>> m_levels;
};

} // namespace heatherdrift
