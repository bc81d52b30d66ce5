#pragma once

#include "http/progress_fetch.h"

namespace heatherdrift {

/// Limits of a transfer of state that begins now between this node and another one; the request has a body of this
/// size.
transfer_limits peerTransferLimits(std::size_t requestBytes = 0);

} // namespace heatherdrift
