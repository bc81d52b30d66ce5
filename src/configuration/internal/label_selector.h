#pragma once

#include "configuration/labels.h"

namespace heatherdrift {

/// Whether `wide` matches every label set that `narrow` matches. Both must be as parsed: one condition for each label,
/// with sorted values.
bool covers(const label_selector& wide, const label_selector& narrow);

/// Inverse of parseLabelSelector().
json toJson(const label_selector&);

} // namespace heatherdrift
