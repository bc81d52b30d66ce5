#pragma once

#include "http/progress_fetch.h"

namespace heatherdrift {

/// Time after which a node gives up a transfer from another one.
constexpr auto maxTransferTime = std::chrono::seconds(10);

/// Limits of a transfer of state that begins now between this node and another one; the request has a body of this
/// size.
transfer_limits peerTransferLimits(std::size_t requestBytes = 0);

} // namespace heatherdrift
