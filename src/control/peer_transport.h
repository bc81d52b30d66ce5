#pragma once

#include "base/identifiers.h"
#include "messages/generated/control_types.h"

#include <functional>

namespace heatherdrift {

/// Address of a process for control messages.
struct peer_address {
    instance_ref self;
    endpoint control;

    auto operator<=>(const peer_address&) const = default;
};

/// Port for control messages between nodes. Messages may be lost when a connection breaks, and are not repeated.
class peer_transport {
public:
    using message_handler = std::function<void(const instance_ref& sender, const wire::Message&)>;

    virtual ~peer_transport() = default;

    /// Sends on the open connection to the process, or opens one. Drops the message while connecting fails.
    virtual void send(const peer_address&, const wire::Message&) = 0;
    /// Called for each message of an identified sender, never from within send().
    virtual void onMessage(message_handler) = 0;
};

} // namespace heatherdrift
