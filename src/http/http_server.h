#pragma once

#include "base/clock.h"
#include "base/failure.h"
#include "base/identifiers.h"
#include "http/byte_budget.h"
#include "http/http_message.h"

#include <event2/event.h>
#include <functional>
#include <memory>

namespace heatherdrift {

/// One request from a client and the answer to it. Owned by whoever answers; if it is destroyed unanswered, the
/// client's connection is closed. All functions are for the event loop's thread only.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;
    /// Whether this is the first request on its connection.
    virtual bool isFirstOnConnection() const = 0;
    /// Whether the client has the address of the listener itself, so that it runs on the same host.
    virtual bool isFromOwnHost() const = 0;
    /// False once the client is gone or the answer is complete; sending is then without effect.
    virtual bool isOpen() const = 0;
    /// Asks the kernel whether the client has closed its connection, or half of it. The event loop reports that a turn
    /// after the last bytes, so that a request may be handed out long after its client has left.
    virtual bool hasClientLeft() const = 0;

    /// Sends the whole answer.
    virtual void respond(http_response) = 0;

    /// Starts an answer whose body follows in parts. With a Content-Length header the parts must add up to it.
    virtual void start(http_response_head) = 0;
    virtual void sendData(std::string_view) = 0;
    virtual void finish() = 0;
    /// Closes the connection, so that the client sees an incomplete answer.
    virtual void abort() = 0;

    /// Bytes accepted by sendData() and not yet taken by the kernel.
    virtual std::size_t bufferedBytes() const = 0;
    /// Called when all buffered bytes are sent.
    virtual void onDrained(std::function<void()>) = 0;
    /// Called once if the client closes its connection, or half of it, before the answer is complete.
    virtual void onClosed(std::function<void()>) = 0;
};

using http_exchange_ptr = std::shared_ptr<http_exchange>;
using http_handler = std::function<void(http_exchange_ptr)>;

struct http_server_limits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1 << 20;
    int idleTimeoutSeconds = 120; ///< Also bounds how long a client may take to send a request.
    std::size_t pipelineDepth = 1; ///< Requests of one connection that are handed out before the first is answered.

    bool operator==(const http_server_limits&) const = default;
};

/// Listens for HTTP/1.1 requests. Requests that are malformed or above the limits are answered with status 400, 413 or
/// 431 and never reach the handler. Answers go out in the order of the requests.
class http_server {
public:
    virtual ~http_server() = default;

    /// Port 0 binds a free port. Fails with `invalid_settings` if the address cannot be bound.
    static result<std::unique_ptr<http_server>> listen(
        event_base*, const endpoint&, const http_server_limits&, http_handler);

    virtual endpoint address() const = 0;
    /// Applies to what arrives from now on.
    virtual void setLimits(const http_server_limits&) = 0;
    /// Fields of the answers with status 400, 413 and 431 that the server gives by itself.
    virtual void setRejectionHeaders(http_headers) = 0;
    /// Bounds the bodies of all requests. One for which there is no room is rejected with status 503 and these fields,
    /// before its body is read if its length is announced.
    virtual void setMemory(std::shared_ptr<byte_budget>, http_headers rejectionHeaders) = 0;
    /// Closes the listening socket; exchanges in progress go on.
    virtual void stopListening() = 0;
    /// From now on each connection is closed after the answer to the last request that has arrived on it.
    virtual void closeAfterAnswers() = 0;
    /// Closes connections on which no request has arrived that is not answered, and whose answers are sent.
    virtual void closeIdle() = 0;
    /// Whether answers are due, not yet handed to the kernel completely, or the last ones of connections that their
    /// clients have not closed yet.
    virtual bool hasUnsentAnswers() const = 0;
    virtual std::size_t connectionCount() const = 0;
};

} // namespace heatherdrift
