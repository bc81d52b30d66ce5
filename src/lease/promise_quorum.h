#pragma once

#include "lease/lease_settings.h"
#include "store/member_row.h"

#include <map>
#include <optional>
#include <vector>

namespace heatherdrift {

/// Ends of the grants of one holder, as promised by the witnesses of its frozen set.
class promise_quorum {
public:
    /// Forgets the promises if they were given for another holder or witness set.
    void collectFor(const instance_ref& holder, const std::vector<instance_ref>& witnesses);
    /// All grants of the witness have ended at this time on the clock of the takeover; none will follow.
    void add(const instance_ref& witness, time_point end);
    bool has(const instance_ref& witness) const { return m_ends.contains(witness); }
    std::vector<instance_ref> missing() const;
    /// When a majority has no grant any more; empty without a majority, and always for the empty set.
    std::optional<time_point> releaseTime() const;

private:
    instance_ref m_holder;
    std::vector<instance_ref> m_witnesses;
    std::map<instance_ref, time_point> m_ends;
};

/// Rows seen of the instances that take part in a takeover, and what they prove about older incarnations.
class termination_record {
public:
    void learn(const member_row&, time_point now);
    /// The row with the highest incarnation.
    const member_row* find(const instance_id&) const;
    /// Since when it is known that the process has terminated; empty if it is not proven.
    std::optional<time_point> terminatedSince(const instance_ref&) const;

private:
    struct seen_row {
        member_row row;
        time_point since;
    };

    std::map<instance_id, seen_row> m_newest;
    std::map<instance_ref, endpoint> m_addresses;
};

} // namespace heatherdrift
