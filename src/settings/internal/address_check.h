#pragma once

#include "settings/node_settings.h"

namespace heatherdrift {

/// Fails with invalid_settings if an address is given twice or is no address of one machine (0.0.0.0, ::).
result<void> checkAddresses(const node_settings&);

} // namespace heatherdrift
