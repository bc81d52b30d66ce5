#pragma once

#include "lease/lease_settings.h"
#include "store/member_row.h"

#include <map>
#include <optional>
#include <vector>

namespace heatherdrift {

/// Promises of the witnesses in the final witness set of one holder, with the time at which their grants expire.
class promise_quorum {
public:
    /// Discards the promises collected so far if they are for another holder or witness set.
    void collectFor(const instance_ref& holder, const std::vector<instance_ref>& witnesses);
    /// All grants of the witness have expired at this time on the clock of the takeover, and it gives no new ones.
    void add(const instance_ref& witness, time_point end);
    bool has(const instance_ref& witness) const { return m_ends.contains(witness); }
    std::vector<instance_ref> missing() const;
    /// When the grants of a majority have expired; empty without promises of a majority, and always for the empty set.
    std::optional<time_point> releaseTime() const;

private:
    instance_ref m_holder;
    std::vector<instance_ref> m_witnesses;
    std::map<instance_ref, time_point> m_ends;
};

/// Newest rows of the instances that take part in a takeover, and what they prove about older incarnations.
class termination_record {
public:
    void update(const member_row&, time_point now);
    /// The row with the highest incarnation.
    const member_row* find(const instance_id&) const;
    /// When the row arrived that proves the termination of the process; empty if it is not proven.
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
