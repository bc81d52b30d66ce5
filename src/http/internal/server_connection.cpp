#include "http/internal/server_connection.h"

#include "http/internal/server_exchange.h"

#include <algorithm>
#include <sys/socket.h>

namespace heatherdrift {

namespace {

    /// Bytes that a client may send ahead of the answers to its requests.
    constexpr std::size_t pipelinedBytes = 64 * 1024;
    constexpr std::size_t minCountedBytes = 16 * 1024; ///< Smaller bodies do not count against the memory for bodies.
    /// A body in chunks grows by this part of its size at a time.
    constexpr std::size_t bodyGrowthDivisor = 2;
    constexpr int statusBadRequest = 400;
    constexpr int statusTooLarge = 413;
    constexpr int statusHeadTooLarge = 431;
    constexpr int statusUnavailable = 503;
    /// Time for the client to read the last answer over a slow link and to close the connection. Closing earlier may
    /// cut the answer (mondego-mesh-grown scale-1: a download was cut 1 s after it was written).
    constexpr auto lingerTime = std::chrono::seconds(5);

    bool expectsContinue(const http_headers& headers)
    {
        const auto value = headers.find("Expect");
        return value && isSameHeaderName(*value, "100-continue");
    }

} // namespace

server_connection::server_connection(std::shared_ptr<server_context> context, int descriptor)
    : m_context(std::move(context))
    , m_stream(bufferevent_socket_new(m_context->base, descriptor, BEV_OPT_CLOSE_ON_FREE))
    , m_isFromOwnHost(localAddress(descriptor).ip == remoteAddress(descriptor).ip)
    , m_parser(message_parser::side::requests, m_context->limits.headerBytes,
          { [this] { return acceptHead(); }, [this](std::string_view part) { appendToBody(part); },
              [this] { return acceptRequest(); } })
    , m_idle(m_context->base, [this] { close(); })
{
}

server_connection::~server_connection() = default;

void server_connection::open()
{
    bufferevent_setcb(
        m_stream.get(), &server_connection::readable, &server_connection::written, &server_connection::changed, this);
    bufferevent_setwatermark(m_stream.get(), EV_READ, 0, pipelinedBytes);
    bufferevent_enable(m_stream.get(), EV_READ);
    raiseTransferSizes(m_stream.get());
    restartIdleTimer();
}

void server_connection::close()
{
    if (!m_stream)
        return;
    const auto keepAlive = shared_from_this();
    m_isReading = false;
    m_idle.stop();
    bufferevent_setcb(m_stream.get(), nullptr, nullptr, nullptr, nullptr);
    m_stream = nullptr;
    m_unsentMemory.clear();
    m_memory = nullptr;
    const auto exchanges = std::exchange(m_exchanges, {});
    for (const auto& exchange : exchanges)
        exchange->notifyClosed();
    if (m_context->forget)
        m_context->forget(this);
}

void server_connection::closeIfIdle()
{
    if (!hasUnsentAnswers() && !m_parser.isInMessage())
        close();
}

std::size_t server_connection::bufferedBytes() const
{
    return m_stream ? evbuffer_get_length(bufferevent_get_output(m_stream.get())) : 0;
}

bool server_connection::hasClientLeft() const { return !m_stream || isEnded(bufferevent_getfd(m_stream.get())); }

bool server_connection::acceptHead()
{
    freeText(m_body);
    m_memory = nullptr;
    const auto announced = m_parser.announcedLength();
    m_isBodyTooLarge = announced > m_context->limits.bodyBytes;
    if (m_isBodyTooLarge || m_parser.method() == "CONNECT")
        return false;
    if (announced >= minCountedBytes && !takeMemory(announced))
        return false;
    m_body.reserve(announced);
    if (expectsContinue(m_parser.headers()) && m_exchanges.empty()) {
        static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        sendOutput(m_stream.get(), interim);
    }
    return true;
}

bool server_connection::takeMemory(std::size_t bytes)
{
    if (!m_context->memory)
        return true;
    if (!m_memory)
        m_memory = m_context->memory->openShare([this] { giveBodyUp(); });
    if (!m_memory->grow(bytes))
        giveBodyUp();
    return !m_isBodyGivenUp;
}

void server_connection::appendToBody(std::string_view part)
{
    if (m_isBodyGivenUp)
        return;
    const auto size = m_body.size() + part.size();
    if (size > m_context->limits.bodyBytes) {
        m_isBodyTooLarge = true;
        return;
    }
    // The memory for a body of announced length was taken with its head.
    if (m_parser.announcedLength() > 0 || growBody(size))
        m_body.append(part);
}

/// Makes room for a body in chunks. What is allocated counts, not what has arrived, and while the bytes are copied both
/// the earlier and the larger buffer exist.
bool server_connection::growBody(std::size_t size)
{
    const auto earlier = m_body.capacity();
    if (size <= earlier)
        return true;
    const auto capacity = std::min(std::max(size, earlier + earlier / bodyGrowthDivisor), m_context->limits.bodyBytes);
    if (capacity >= minCountedBytes && !takeMemory(capacity))
        return false;
    std::string larger;
    larger.reserve(capacity);
    larger.append(m_body);
    m_body.swap(larger);
    freeText(larger);
    if (m_memory && earlier >= minCountedBytes)
        m_memory->shrink(earlier);
    return true;
}

void server_connection::giveBodyUp()
{
    m_isBodyGivenUp = true;
    m_memory = nullptr;
    freeText(m_body);
    // Another connection has needed the memory; otherwise the parser's caller rejects the request.
    if (!m_isParsing)
        rejectUnreadable();
}

bool server_connection::acceptRequest()
{
    if (m_isBodyTooLarge || m_isBodyGivenUp)
        return false;
    if (m_memory)
        m_memory->complete();
    http_request request { std::string(m_parser.method()), m_parser.target(), std::move(m_parser.headers()),
        message_body(std::move(m_body), std::move(m_memory)) };
    freeText(m_body);
    auto exchange = std::make_shared<server_exchange>(
        shared_from_this(), std::move(request), std::exchange(m_isFirstRequest, false), m_parser.keepsAlive());
    m_exchanges.push_back(exchange);
    m_isReading = m_parser.keepsAlive();
    m_idle.stop();
    m_context->handler(server_exchange::handlerReference(std::move(exchange)));
    return m_isReading && m_exchanges.size() < m_context->limits.pipelineDepth;
}

void server_connection::parseInput()
{
    if (std::exchange(m_isParsing, true))
        return;
    const auto keepAlive = shared_from_this();
    m_parser.proceed();
    while (m_stream && m_isReading && m_exchanges.size() < m_context->limits.pipelineDepth) {
        auto* input = bufferevent_get_input(m_stream.get());
        // The handlers may close the connection and free its buffer while the parser reads.
        const std::string piece(firstPiece(input));
        if (piece.empty())
            break;
        const std::size_t taken = m_parser.parse(piece);
        if (!m_stream)
            break;
        evbuffer_drain(bufferevent_get_input(m_stream.get()), taken);
        if (m_isBodyTooLarge || m_isBodyGivenUp || m_parser.hasFailed())
            rejectUnreadable();
        m_parser.proceed();
    }
    m_isParsing = false;
    if (m_stream && m_exchanges.empty() && !m_isClosing)
        restartIdleTimer();
}

void server_connection::rejectUnreadable()
{
    if (m_isBodyGivenUp)
        return reject(statusUnavailable, m_context->overloadHeaders);
    if (m_isBodyTooLarge)
        return reject(statusTooLarge, m_context->rejectionHeaders);
    reject(m_parser.isHeadTooLarge() ? statusHeadTooLarge : statusBadRequest, m_context->rejectionHeaders);
}

void server_connection::reject(int status, http_headers headers)
{
    m_isReading = false;
    auto exchange = std::make_shared<server_exchange>(shared_from_this(), http_request {}, false, false);
    m_exchanges.push_back(exchange);
    exchange->respond({ { status, std::move(headers) }, "" });
}

void server_connection::exchangeChanged()
{
    if (!m_stream)
        return;
    flush();
    if (m_stream && !m_isClosing)
        parseInput();
}

bool server_connection::isLastAnswer() const
{
    const auto& front = *m_exchanges.front();
    if (!front.keepsAlive())
        return true;
    return m_context->closesAfterAnswers && m_exchanges.size() == 1 && !m_parser.isInMessage();
}

void server_connection::flush()
{
    if (std::exchange(m_isFlushing, true))
        return;
    const auto keepAlive = shared_from_this();
    while (m_stream && !m_exchanges.empty() && !m_isClosing) {
        const auto exchange = m_exchanges.front();
        if (exchange->isAborted()) {
            close();
            break;
        }
        if (!exchange->hasOutput())
            break;
        const bool isLast = isLastAnswer();
        if (isLast)
            m_isReading = false;
        const std::string output = exchange->takeOutput(isLast);
        sendOutput(m_stream.get(), output);
        if (!exchange->isFinished()) {
            // The handler is told that the output is written after it has returned.
            if (bufferedBytes() == 0)
                bufferevent_trigger(m_stream.get(), EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
            break;
        }
        if (exchange->memory() && bufferedBytes() > 0)
            m_unsentMemory.push_back(exchange->memory());
        m_exchanges.pop_front();
        exchange->detach();
        if (isLast)
            closeAfterFlush();
    }
    m_isFlushing = false;
}

void server_connection::closeAfterFlush()
{
    m_isClosing = true;
    m_isReading = false;
    if (bufferedBytes() == 0)
        startLinger();
}

void server_connection::startLinger()
{
    shutdown(bufferevent_getfd(m_stream.get()), SHUT_WR);
    m_idle.startOnce(lingerTime);
}

void server_connection::restartIdleTimer()
{
    m_idle.startOnce(std::chrono::seconds(m_context->limits.idleTimeoutSeconds));
}

void server_connection::readable(bufferevent* stream, void* argument)
{
    auto& self = *static_cast<server_connection*>(argument);
    if (self.m_isClosing || (!self.m_isReading && self.m_exchanges.empty())) {
        auto* input = bufferevent_get_input(stream);
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    self.parseInput();
}

void server_connection::written(bufferevent*, void* argument)
{
    auto& self = *static_cast<server_connection*>(argument);
    const auto keepAlive = self.shared_from_this();
    self.m_unsentMemory.clear();
    if (self.m_isClosing)
        return self.startLinger();
    if (!self.m_exchanges.empty()) {
        const auto front = self.m_exchanges.front();
        front->notifyDrained();
    }
}

void server_connection::changed(bufferevent*, short what, void* argument)
{
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
        static_cast<server_connection*>(argument)->close();
}

} // namespace heatherdrift
