#pragma once

#include "assignment/page_edit.h"

namespace heatherdrift {

/// Membership row of an instance that is to become an owner. Fails with `conflict` if the instance is not eligible.
result<const versioned_member*> successorRow(const member_map&, const instance_id&);

/// Sets the new owner, records the old one as the previous owner, and raises the epoch to at least minEpoch.
void changeOwner(page_entry&, const instance_ref& owner, epoch minEpoch = 0);

/// The entry of a partition in the page; null if the partition is not in the page.
page_entry* findEntry(page_row&, partition_index);

} // namespace heatherdrift
