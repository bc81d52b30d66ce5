#pragma once

#include "configuration/configuration.h"

namespace heatherdrift {

/// Checks what concerns more than one entry: names, references, selectors that never match, slots for long calls.
/// Fails with invalid_configuration and the field's path.
result<void> checkEntries(const configuration&);

} // namespace heatherdrift
