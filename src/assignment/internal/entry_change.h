#pragma once

#include "assignment/page_edit.h"

namespace heatherdrift {

/// Membership row of an instance that is to be named as an owner. Fails with `conflict` if it must not be.
result<const versioned_member*> successorRow(const member_map&, const instance_id&);

/// Records the old owner, sets the new one and raises the epoch to at least the given one.
void changeOwner(page_entry&, const instance_ref& owner, epoch atLeast = 0);

/// The entry of a partition in the page, or null.
page_entry* findEntry(page_row&, partition_index);

} // namespace heatherdrift
