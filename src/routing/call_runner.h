#pragma once

#include "http/http_client.h"
#include "routing/call.h"

namespace heatherdrift {

/// Runs a call at the node of its target: the executor of this process, or another node.
///
/// The handlers receive either a head whose heatherdrift-verdict header holds the call's outcome, or a failure.
class call_runner {
public:
    virtual ~call_runner() = default;

    virtual http_call_ptr run(call, call_target, http_call_handlers) = 0;
};

} // namespace heatherdrift
