#pragma once

#include "store/member_row.h"

#include <functional>
#include <vector>

namespace heatherdrift {

/// How many of a witness set are a majority; 0 for the empty set.
constexpr std::size_t majorityOf(std::size_t witnesses) { return witnesses == 0 ? 0 : witnesses / 2 + 1; }

/// Whether the instance may be chosen as a witness for `self`: another one in the region, joining or active.
bool isWitnessCandidate(const member_row& self, const member_row& other);

/// Witnesses for an instance, in the order of their ranks: an odd number of up to five candidates, spread over the
/// availability zones so that the loss of any one zone leaves a majority where the members allow it. Empty if there is
/// no candidate. `members` are all rows; their order and the row of `self` among them do not matter. The filter leaves
/// candidates out.
std::vector<instance_ref> chooseWitnesses(const member_row& self, const std::vector<member_row>& members,
    const std::function<bool(const member_row&)>& isUsable = {});

/// Whether the loss of any one availability zone leaves a majority of the witnesses. False if a row is missing.
bool survivesZoneLoss(const std::vector<instance_ref>& witnesses, const std::vector<member_row>& members);

} // namespace heatherdrift
