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

/// Interface for control messages between nodes. Messages can be lost when a connection breaks and are not resent.
class peer_transport {
public:
    using message_handler = std::function<void(const instance_ref& sender, const wire::Message&)>;

    virtual ~peer_transport() = default;

    /// Sends on the open connection to the process, or opens one. The message is dropped if connecting fails or the
    /// reconnect delay has not passed.
    virtual void send(const peer_address&, const wire::Message&) = 0;
    /// Sets the handler of messages from identified senders. It is never called from within send().
    virtual void onMessage(message_handler) = 0;
};

} // namespace heatherdrift
