#pragma once

#include "lease/lease_settings.h"
#include "store/member_row.h"

#include <map>
#include <optional>
#include <vector>

namespace heatherdrift {

/// How a witness, or a witness of a candidate set, responds to the holder's renewals.
struct witness_health {
    instance_ref witness;
    bool isSilent = false; ///< No answer within silenceLimit.
    bool isReplaced = false; ///< A newer incarnation of the witness has answered.

    bool operator==(const witness_health&) const = default;
};

/// How urgently the witness set must change, in ascending order.
enum class change_urgency {
    none,
    rebalance, ///< The set has no faults, but the rendezvous hash prefers another one.
    replace, ///< A witness is missing, the set could be larger, or a zone loss would remove the majority.
    urgent, ///< A majority does not answer: the lease ends soon or has ended.
};

struct witness_plan {
    change_urgency urgency = change_urgency::none;
    std::vector<instance_ref> witnesses;

    bool operator==(const witness_plan&) const = default;
};

/// Decides when the witness set of one instance should change, and to which set. Does no input or output.
class witness_planner {
public:
    explicit witness_planner(const lease_settings&);

    /// The set that the holder should change to. The urgency is none if there is none, or if the reason for the change
    /// has not lasted for its delay yet.
    witness_plan plan(const member_row& self, const std::vector<member_row>& members,
        const std::vector<instance_ref>& current, const std::vector<witness_health>&, time_point now);

private:
    void updateHealth(const std::vector<witness_health>&, time_point now);
    bool isAvoided(const instance_ref&) const;
    change_urgency urgencyOf(const std::vector<instance_ref>& current, const std::vector<instance_ref>& ideal,
        const std::vector<member_row>& members) const;
    bool isMissing(const instance_ref& witness, const std::vector<member_row>& members) const;
    duration changeDelay(change_urgency, const instance_id& self) const;

    lease_settings m_settings;
    std::map<instance_ref, time_point> m_avoidUntil;
    change_urgency m_urgency = change_urgency::none;
    time_point m_urgencySince {};
};

} // namespace heatherdrift
