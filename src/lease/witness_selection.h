#pragma once

#include "store/member_row.h"

#include <functional>
#include <vector>

namespace heatherdrift {

/// Number of witnesses that form a majority of the set; 0 for the empty set.
constexpr std::size_t majorityOf(std::size_t witnesses) { return witnesses == 0 ? 0 : witnesses / 2 + 1; }

/// Whether `other` may be a witness for `self`: another instance in the same region, joining or active.
bool isWitnessCandidate(const member_row& self, const member_row& other);

/// Selects the witnesses of an instance, in the order of their ranks: an odd number of up to five candidates, spread
/// over the availability zones so that the loss of any one zone leaves a majority, if the members allow it. Empty if
/// there is no candidate. `members` are all rows, in any order, with or without that of `self`. Candidates for which
/// `isUsable` returns false are excluded.
std::vector<instance_ref> chooseWitnesses(const member_row& self, const std::vector<member_row>& members,
    const std::function<bool(const member_row&)>& isUsable = {});

/// Whether the loss of any one availability zone leaves a majority of the witnesses. False if a witness has no row.
bool survivesZoneLoss(const std::vector<instance_ref>& witnesses, const std::vector<member_row>& members);

} // namespace heatherdrift
