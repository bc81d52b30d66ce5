#pragma once

#include "base/event_handle.h"
#include "http/http_server.h"
#include "http/internal/message_parser.h"
#include "http/internal/stream.h"

#include <deque>

namespace heatherdrift {

class server_exchange;

/// What the connections of one server share.
struct server_context {
    event_base* base = nullptr;
    http_server_limits limits;
    http_handler handler;
    http_headers rejectionHeaders;
    std::shared_ptr<byte_budget> memory; ///< For the bodies of requests; may be null.
    http_headers overloadHeaders; ///< Of the rejection of a request for which there is no memory.
    bool closesAfterAnswers = false;
    std::function<void(class server_connection*)> forget; ///< Drops the server's reference to a closed connection.
};

/// One connection of a client: reads requests, hands them out and writes the answers in the order of the requests.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(std::shared_ptr<server_context>, int descriptor);
    ~server_connection();
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /// Begins to read; the connection must be owned by a shared_ptr.
    void open();
    /// Closes at once; exchanges that are not answered are told.
    void close();
    /// Closes if no request has arrived that is not answered.
    void closeIfIdle();

    /// A connection that is being closed counts until its client has closed it, too, since only that shows that the
    /// last answer has arrived.
    bool hasUnsentAnswers() const { return !m_exchanges.empty() || bufferedBytes() > 0 || m_isClosing; }
    std::size_t bufferedBytes() const;
    bool isFromOwnHost() const { return m_isFromOwnHost; }
    /// Whether the client has closed the connection, or half of it.
    bool hasClientLeft() const;
    /// An exchange has something to write, is complete or was aborted.
    void exchangeChanged();

private:
    static void readable(bufferevent*, void*);
    static void written(bufferevent*, void*);
    static void changed(bufferevent*, short, void*);

    bool acceptHead();
    bool acceptRequest();
    void parseInput();
    /// Whether there is memory for more bytes of the body.
    bool takeMemory(std::size_t bytes);
    void appendToBody(std::string_view);
    bool growBody(std::size_t size);
    void giveBodyUp();
    void rejectUnreadable();
    void reject(int status, http_headers);
    void flush();
    bool isLastAnswer() const;
    void closeAfterFlush();
    void restartIdleTimer();
    void startLinger();

    std::shared_ptr<server_context> m_context;
    stream_handle m_stream;
    bool m_isFromOwnHost;
    message_parser m_parser;
    std::string m_body;
    bool m_isBodyTooLarge = false;
    bool m_isBodyGivenUp = false; ///< There is no memory for it.
    std::shared_ptr<byte_share> m_memory; ///< For the body that is being read; null if it is small.
    std::deque<std::shared_ptr<server_exchange>> m_exchanges; ///< Not completely written, oldest first.
    /// Shares of the answers whose last bytes wait in the output of the connection.
    std::vector<std::shared_ptr<byte_share>> m_unsentMemory;
    timer m_idle;
    bool m_isFirstRequest = true;
    bool m_isReading = true; ///< False after a request that ends the connection.
    bool m_isClosing = false; ///< The last answer was written.
    bool m_isParsing = false;
    bool m_isFlushing = false;
};

} // namespace heatherdrift
