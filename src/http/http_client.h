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

/// Request that an answer names as the one it belongs to.
enum class answer_origin { this_request, other_request, unstated };

/// How answers are matched to a request on a connection that carries several. An answer of another request is dropped,
/// and the next one is awaited. One that names no request is accepted only as the first of its connection; otherwise it
/// may be a repeated answer of an earlier request, and the connection is lost.
struct answer_matching {
    std::function<answer_origin(const http_response_head&)> originOf; ///< Without it every answer is this request's.
    /// Id that the answer repeats. No connection carries an id twice; a request without an id gets a new connection.
    std::string requestId;
};

/// Receives the parts of one answer, on the event loop's thread, never before http_client::start() returns.
struct http_call_handlers {
    answer_matching matching;
    std::function<void(const http_response_head&)> onHead; ///< Without hop-by-hop headers.
    std::function<void(std::string_view)> onData;
    /// Called exactly once unless the call is cancelled. Success: the answer is whole and its status is 200 to 599.
    /// Failure: `not_run` if no byte of
    /// the request was written to the connection (connection_failed, connection_refused, unreachable,
    /// deadline_exceeded, overloaded: no connection free), otherwise `may_have_run` (connection_lost, unreachable,
    /// deadline_exceeded).
    std::function<void(result<void>)> onDone;
};

/// One request on its way. Destroying it does not cancel it.
class http_call {
public:
    virtual ~http_call() = default;

    /// Closes the call's connection; no handler is called afterwards.
    virtual void cancel() = 0;
    /// Stops reading the answer, so that the server is slowed down by TCP; a few kilobytes may still arrive.
    virtual void pause() = 0;
    virtual void resume() = 0;
    /// Whether any byte of the request was written to the connection.
    virtual bool hasWritten() const = 0;
};

using http_call_ptr = std::shared_ptr<http_call>;

struct http_client_options {
    int maximumConnections = 1;
    /// Whether an answer without a length is whole when its connection is closed in order. It never is after a reset.
    bool acceptsUnframedAnswers = false;
    /// Idle connections are used again for this long, or for a little less than the server's Keep-Alive header says.
    duration idleConnectionTimeout = std::chrono::hours(24);
    /// Silence after which the kernel gives a connection up; zero: the kernel's own default.
    duration silenceLimit {};
    /// Time to establish a connection; zero: the deadline of the call alone.
    duration connectTimeout {};
};

/// Connections to one server; each carries one request at a time and is kept for the next. A request is written to one
/// connection at most once. Must not be destroyed from within onHead or onData.
class http_client {
public:
    virtual ~http_client() = default;

    static std::unique_ptr<http_client> create(event_base*, const endpoint&, const http_client_options&);
    static std::unique_ptr<http_client> create(event_base*, const endpoint&, int maximumConnections);

    /// Sends a request on an idle or new connection.
    virtual http_call_ptr start(http_request, time_point deadline, http_call_handlers) = 0;

    virtual int connectionCount() const = 0;
    virtual int idleCount() const = 0;
    virtual void setMaximumConnections(int) = 0;
    /// Connections opened so far.
    virtual std::uint64_t openedCount() const = 0;
    virtual const endpoint& server() const = 0;
    /// Event loop on which the handlers are called.
    virtual event_base* base() const = 0;
};

/// Sends a request and collects the whole answer. A body above the limit fails with `too_large`, may_have_run.
http_call_ptr fetch(
    http_client&, http_request, time_point deadline, std::size_t bodyLimit, std::function<void(result<http_response>)>);

/// Bounds on the memory for an answer.
struct answer_memory {
    std::size_t bodyLimit = 0;
    std::shared_ptr<byte_budget> budget {}; ///< Of all messages; may be null.
    std::size_t copies = 1; ///< Of the answer that may exist at the same time; each counts against the budget.
};

/// The same, for a server whose answers name their requests.
http_call_ptr fetchOwn(http_client&, http_request, time_point deadline, const answer_memory&, answer_matching,
    std::function<void(result<http_response>)>);

} // namespace heatherdrift
