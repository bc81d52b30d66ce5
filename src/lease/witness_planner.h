#pragma once

#include "lease/lease_settings.h"
#include "store/member_row.h"

#include <map>
#include <optional>
#include <vector>

namespace heatherdrift {

/// How a witness, or a candidate that was asked for a trial, answers the holder's renewals.
struct witness_health {
    instance_ref witness;
    bool isSilent = false; ///< No answer for the silence limit.
    bool isGone = false; ///< Another incarnation answers in its place.

    bool operator==(const witness_health&) const = default;
};

/// How much the witness set needs a change, in rising order.
enum class witness_need {
    none,
    rebalance, ///< All is well, but the rendezvous hash prefers another set.
    replace, ///< A witness is missing, the set could be larger, or a zone loss would cost the majority.
    urgent, ///< A majority does not answer: the lease ends soon or has ended.
};

struct witness_plan {
    witness_need need = witness_need::none;
    std::vector<instance_ref> witnesses;

    bool operator==(const witness_plan&) const = default;
};

/// Decides when the witness set of one instance should change, and to what. Pure; no input or output of its own.
class witness_planner {
public:
    explicit witness_planner(const lease_settings&);

    /// A set that the holder should try, once the need has lasted long enough; need none if there is none.
    witness_plan plan(const member_row& self, const std::vector<member_row>& members,
        const std::vector<instance_ref>& current, const std::vector<witness_health>&, time_point now);

private:
    void noteHealth(const std::vector<witness_health>&, time_point now);
    bool isAvoided(const instance_ref&) const;
    witness_need needFor(const std::vector<instance_ref>& current, const std::vector<instance_ref>& ideal,
        const std::vector<member_row>& members) const;
    bool isMissing(const instance_ref& witness, const std::vector<member_row>& members) const;
    duration patience(witness_need, const instance_id& self) const;

    lease_settings m_settings;
    std::map<instance_ref, time_point> m_avoidUntil;
    witness_need m_need = witness_need::none;
    time_point m_needSince {};
};

} // namespace heatherdrift
