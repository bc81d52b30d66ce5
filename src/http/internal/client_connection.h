#pragma once

#include "base/event_handle.h"
#include "http/http_client.h"
#include "http/internal/message_parser.h"
#include "http/internal/stream.h"

#include <unordered_set>

namespace heatherdrift {

/// How a connection's answer ended.
enum class connection_end {
    whole,
    refused, ///< Nothing listens at the server's address.
    silent, ///< The server's machine acknowledged nothing for the time limit.
    lost, ///< Closed, reset, or not an answer in the protocol.
    excessive, ///< Too many bytes arrived that are not in the body of the request's answer.
    unmatched, ///< An answer arrived that names no request and may belong to an earlier one.
};

/// One connection to a server, which carries one request at a time.
class client_connection {
public:
    struct handlers {
        std::function<void(const http_response_head&)> onHead;
        std::function<void(std::string_view)> onData;
        answer_matching matching;
        /// The answer is whole, or the connection failed.
        std::function<void(connection_end)> onEnd;
    };

    client_connection(event_base*, const endpoint&, const http_client_options&);
    ~client_connection();
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// False if no connection could be started.
    bool isUsable() const { return static_cast<bool>(m_stream); }
    /// Writes a request; the connection must carry no other one.
    void send(const http_request&, handlers);
    /// Between two requests: calls back when the server closes the connection or sends what nobody asked for.
    void watchIdle(std::function<void()> onLost);
    /// Whether the next request may use the connection.
    bool isReusable(time_point now) const;
    /// Whether an answer that is read from now on can be matched to the request.
    bool canMatch(const answer_matching&) const;
    /// Whether bytes of an idle connection, or its close, have arrived and were not read.
    bool hasUnreadInput() const;
    void setReading(bool);
    /// Nothing is written or reported from now on.
    void halt();
    /// Whether any byte of the current request was written.
    bool hasWritten() const { return m_hasWritten; }
    const std::string& peerName() const { return m_peerName; }

private:
    static void readable(bufferevent*, void*);
    static void changed(bufferevent*, short, void*);
    static void outputChanged(evbuffer*, const evbuffer_cb_info*, void*);

    void read();
    bool acceptHead();
    bool acceptOrigin(const http_response_head&);
    bool acceptEnd();
    void end(connection_end);
    void learnKeepAlive(const http_headers&);

    std::string m_peerName;
    bool m_acceptsUnframed;
    duration m_idleConnectionTimeout;
    timer m_connectTimer;
    stream_handle m_stream;
    message_parser m_parser;
    handlers m_handlers;
    std::function<void()> m_onLost;
    time_point m_usableUntil {};
    bool m_isBusy = false;
    bool m_isConnected = false;
    bool m_hasWritten = false;
    bool m_keepsAlive = true;
    bool m_isInterim = false; ///< The current answer is a 1xx one or belongs to another request.
    bool m_mayHaveOtherAnswers = false; ///< Earlier requests were sent, or answers of others were dropped.
    std::size_t m_readBytes = 0; ///< Since the request was sent.
    std::size_t m_bodyBytes = 0; ///< Of them, in the body of its own answer.
    connection_end m_failure = connection_end::lost; ///< Reported if the parser fails.
    std::unordered_set<std::uint64_t> m_carriedIds; ///< Hashes of the ids of all requests sent.
    bool m_isDirty = false; ///< Bytes arrived that belong to no request.
};

} // namespace heatherdrift
