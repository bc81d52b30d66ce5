#pragma once

#include "base/failure.h"
#include "messages/generated/control_types.h"

#include <event2/buffer.h>
#include <optional>
#include <string>

namespace heatherdrift {

/// Largest frame body that is sent or accepted.
constexpr std::size_t maximumFrameBytes = 1 << 20;
/// Largest number of elements of one list in a message.
constexpr int maximumListElements = 65536;

/// A frame: the body's length as 4 bytes in network order, then the message in Thrift's compact protocol.
/// Fails with `too_large` above maximumFrameBytes.
result<std::string> encodeFrame(const wire::Message&);

/// Takes one whole frame from the buffer; empty if more bytes are needed. Fails with `bad_request` for a length or a
/// body that is not valid; the connection is then unusable.
result<std::optional<wire::Message>> takeFrame(evbuffer*);

} // namespace heatherdrift
