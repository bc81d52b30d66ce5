#pragma once

#include "base/identifiers.h"
#include "http/message_body.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <memory>
#include <string_view>

namespace heatherdrift {

struct stream_deleter {
    void operator()(bufferevent* value) const { bufferevent_free(value); }
};

using stream_handle = std::unique_ptr<bufferevent, stream_deleter>;

void disableNagle(int descriptor);
/// Makes the kernel notice a connection whose other side is silent within about this time, in milliseconds.
void detectSilence(int descriptor, int milliseconds);
/// Closes with a reset when the descriptor is closed. Otherwise the kernel may deliver the rest of an abandoned request
/// long after its caller was told how the request ended.
void discardUnsent(int descriptor);
/// Address that a socket is bound to.
endpoint localAddress(int descriptor);
/// Address of the other side of a connection.
endpoint remoteAddress(int descriptor);
/// Whether the kernel has all that the other side sent, and it was read: the other side has closed the connection, or
/// half of it, or has reset it.
bool isEnded(int descriptor);
/// Lets a turn of the event loop read and write more bytes than by default.
void raiseTransferSizes(bufferevent*);
/// Appends a message to the output of a connected stream and writes what the socket takes at once; the event loop
/// writes the rest. Without it, each message takes two changes of the watched events and another turn of the loop. A
/// large body is not copied; its bytes stay alive until they are written.
void sendOutput(bufferevent*, std::string_view head, const message_body& = {});
/// The same for a stream that is not connected yet: nothing is written.
void appendOutput(bufferevent*, std::string_view head, const message_body&);
/// Bytes of the buffer that lie in one piece at its start.
std::string_view firstPiece(evbuffer*);

} // namespace heatherdrift
