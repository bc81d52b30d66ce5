#include "http/internal/client_connection.h"

#include "base/hash.h"

#include <cerrno>
#include <charconv>
#include <event2/util.h>
#include <sys/socket.h>

namespace heatherdrift {

namespace {

    constexpr std::size_t headerLimitBytes = 64 * 1024;
    /// Part of a server's keep-alive time for which a connection is used again; the rest covers the way of a request.
    constexpr double keepAliveShare = 0.8;
    /// Bytes of one request's answers that are not its body: heads, framing, interim answers, those of other requests.
    constexpr std::size_t maxOverheadBytes = 1 << 20;
    /// A chunk of one byte takes six more, with a usual form of its size.
    constexpr std::size_t maxOverheadPerBodyByte = 16;
    /// Bounds of the status of a final answer (RFC 9110, section 15).
    constexpr int minFinalStatus = 200;
    constexpr int maxFinalStatus = 599;
    constexpr std::size_t maxRequests = 4096; ///< Per connection; bounds the memory for their ids.

    std::string requestHead(const http_request& request, const std::string& peerName)
    {
        std::string text;
        text.reserve(512);
        text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
        if (!request.headers.find("Host"))
            text.append("Host: ").append(peerName).append("\r\n");
        for (const auto& [name, value] : request.headers.fields()) {
            if (!isSameHeaderName(name, "Content-Length"))
                text.append(name).append(": ").append(value).append("\r\n");
        }
        const bool needsLength = !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
        if (needsLength)
            text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
        return text.append("\r\n");
    }

    /// Headers such as Transfer-Encoding have done their work here; passed on, they would contradict the framing of the
    /// next hop.
    http_headers withoutHopByHop(const http_headers& headers)
    {
        http_headers kept;
        for (const auto& [name, value] : headers.fields()) {
            if (!isHopByHopHeader(name))
                kept.add(name, value);
        }
        return kept;
    }

    connection_end endOfError(int reason)
    {
        switch (reason) {
        case ECONNREFUSED:
            return connection_end::refused;
        case ETIMEDOUT:
        case EHOSTUNREACH:
            return connection_end::silent;
        default:
            return connection_end::lost;
        }
    }

} // namespace

client_connection::client_connection(event_base* base, const endpoint& server, const http_client_options& options)
    : m_peerName(toString(server))
    , m_acceptsUnframed(options.acceptsUnframedAnswers)
    , m_idleConnectionTimeout(options.idleConnectionTimeout)
    , m_connectTimer(base, [this] { end(connection_end::silent); })
    , m_parser(message_parser::side::responses, headerLimitBytes,
          { [this] { return acceptHead(); },
              [this](std::string_view data) {
                  if (m_isInterim)
                      return;
                  m_bodyBytes += data.size();
                  if (m_handlers.onData)
                      m_handlers.onData(data);
              },
              [this] { return acceptEnd(); } })
{
    sockaddr_storage storage {};
    int size = sizeof(storage);
    if (evutil_parse_sockaddr_port(m_peerName.c_str(), reinterpret_cast<sockaddr*>(&storage), &size) != 0)
        return;
    m_stream.reset(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE));
    raiseTransferSizes(m_stream.get());
    bufferevent_setcb(m_stream.get(), &client_connection::readable, nullptr, &client_connection::changed, this);
    evbuffer_add_cb(bufferevent_get_output(m_stream.get()), &client_connection::outputChanged, this);
    if (bufferevent_socket_connect(m_stream.get(), reinterpret_cast<sockaddr*>(&storage), size) != 0) {
        m_stream = nullptr;
        return;
    }
    const int descriptor = bufferevent_getfd(m_stream.get());
    disableNagle(descriptor);
    if (options.silenceLimit > duration::zero())
        detectSilence(descriptor,
            static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(options.silenceLimit).count()));
    if (options.connectTimeout > duration::zero())
        m_connectTimer.startOnce(options.connectTimeout);
    bufferevent_enable(m_stream.get(), EV_READ | EV_WRITE);
}

client_connection::~client_connection()
{
    if (!m_stream)
        return;
    bufferevent_setcb(m_stream.get(), nullptr, nullptr, nullptr, nullptr);
    evbuffer_remove_cb(bufferevent_get_output(m_stream.get()), &client_connection::outputChanged, this);
    discardUnsent(bufferevent_getfd(m_stream.get()));
}

void client_connection::send(const http_request& request, handlers handlers)
{
    m_handlers = std::move(handlers);
    m_onLost = nullptr;
    m_isBusy = true;
    m_hasWritten = false;
    m_isInterim = false;
    m_failure = connection_end::lost;
    m_readBytes = m_bodyBytes = 0;
    m_mayHaveOtherAnswers = !m_carriedIds.empty();
    m_carriedIds.insert(hashBytes(m_handlers.matching.requestId));
    if (request.method == "HEAD")
        m_parser.expectNoBody();
    const std::string head = requestHead(request, m_peerName);
    if (m_isConnected)
        return sendOutput(m_stream.get(), head, request.body);
    appendOutput(m_stream.get(), head, request.body);
}

void client_connection::watchIdle(std::function<void()> onLost)
{
    m_onLost = std::move(onLost);
    setReading(true);
}

bool client_connection::isReusable(time_point now) const
{
    return m_stream && !m_isBusy && !m_isDirty && m_keepsAlive && now < m_usableUntil
        && m_carriedIds.size() < maxRequests && evbuffer_get_length(bufferevent_get_output(m_stream.get())) == 0;
}

bool client_connection::canMatch(const answer_matching& matching) const
{
    if (!matching.originOf)
        return true;
    return !matching.requestId.empty() && !m_carriedIds.contains(hashBytes(matching.requestId));
}

bool client_connection::hasUnreadInput() const
{
    char byte = 0;
    const auto size = recv(bufferevent_getfd(m_stream.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void client_connection::halt()
{
    m_connectTimer.stop();
    m_keepsAlive = false;
    m_handlers = {};
    m_onLost = nullptr;
    if (m_stream)
        bufferevent_disable(m_stream.get(), EV_READ | EV_WRITE);
}

void client_connection::setReading(bool isReading)
{
    if (!m_stream)
        return;
    if (isReading)
        bufferevent_enable(m_stream.get(), EV_READ);
    else
        bufferevent_disable(m_stream.get(), EV_READ);
}

void client_connection::outputChanged(evbuffer*, const evbuffer_cb_info* info, void* argument)
{
    if (info->n_deleted > 0)
        static_cast<client_connection*>(argument)->m_hasWritten = true;
}

void client_connection::readable(bufferevent*, void* argument) { static_cast<client_connection*>(argument)->read(); }

void client_connection::read()
{
    auto* input = bufferevent_get_input(m_stream.get());
    // Bytes that came before the request are not its answer, and the request must not be written after them.
    if (m_isBusy && !m_hasWritten)
        return end(connection_end::lost);
    while (m_isBusy && evbuffer_get_length(input) > 0) {
        const auto piece = firstPiece(input);
        const std::size_t taken = m_parser.parse(piece);
        evbuffer_drain(input, taken);
        m_readBytes += taken;
        if (m_parser.hasFailed())
            return end(m_failure);
        if (m_isBusy && m_readBytes - m_bodyBytes > maxOverheadBytes + maxOverheadPerBodyByte * m_bodyBytes)
            return end(connection_end::excessive);
        if (taken == 0 && m_isBusy)
            m_parser.proceed();
    }
    if (evbuffer_get_length(input) > 0)
        m_isDirty = true;
    if (m_isBusy)
        return;
    if (m_handlers.onEnd)
        return std::exchange(m_handlers, {}).onEnd(connection_end::whole);
    if (const auto call = std::exchange(m_onLost, nullptr))
        call();
}

bool client_connection::acceptHead()
{
    http_response_head head { m_parser.status(), withoutHopByHop(m_parser.headers()) };
    if (!acceptOrigin(head))
        return false;
    if (m_isInterim)
        return !m_parser.isUnframed();
    if (head.status < minFinalStatus || head.status > maxFinalStatus)
        return false;
    if (m_parser.isUnframed() && !m_acceptsUnframed)
        return false;
    m_keepsAlive = m_parser.keepsAlive() && !m_parser.isUnframed();
    learnKeepAlive(m_parser.headers());
    if (m_handlers.onHead)
        m_handlers.onHead(head);
    return true;
}

bool client_connection::acceptOrigin(const http_response_head& head)
{
    m_isInterim = m_parser.status() / 100 == 1;
    if (m_isInterim || !m_handlers.matching.originOf)
        return true;
    const auto origin = m_handlers.matching.originOf(head);
    if (origin == answer_origin::other_request)
        m_isInterim = m_mayHaveOtherAnswers = true;
    if (origin != answer_origin::unstated || !m_mayHaveOtherAnswers)
        return true;
    m_failure = connection_end::unmatched;
    return false;
}

bool client_connection::acceptEnd()
{
    if (std::exchange(m_isInterim, false))
        return true;
    m_isBusy = false;
    return false;
}

void client_connection::learnKeepAlive(const http_headers& headers)
{
    const auto now = boot_clock::now();
    m_usableUntil = now + m_idleConnectionTimeout;
    const auto value = headers.find("Keep-Alive");
    if (!value)
        return;
    static constexpr std::string_view name = "timeout=";
    const auto position = value->find(name);
    int seconds = 0;
    if (position == std::string_view::npos)
        return;
    const auto digits = value->substr(position + name.size());
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc())
        return;
    const auto usable = std::chrono::duration_cast<duration>(std::chrono::seconds(seconds) * keepAliveShare);
    m_usableUntil = std::min(m_usableUntil, now + usable);
}

void client_connection::end(connection_end how)
{
    m_isBusy = false;
    m_keepsAlive = false;
    if (m_handlers.onEnd)
        return std::exchange(m_handlers, {}).onEnd(how);
    if (const auto call = std::exchange(m_onLost, nullptr))
        call();
}

void client_connection::changed(bufferevent*, short what, void* argument)
{
    const int reason = EVUTIL_SOCKET_ERROR();
    auto& self = *static_cast<client_connection*>(argument);
    self.m_connectTimer.stop();
    if (what & BEV_EVENT_CONNECTED) {
        self.m_isConnected = true;
        return;
    }
    const bool isOrderly = what & BEV_EVENT_EOF;
    if (isOrderly && self.m_isBusy && !self.m_isInterim) {
        self.m_parser.finish();
        const bool isWhole = !self.m_isBusy && !self.m_parser.hasFailed();
        return self.end(isWhole ? connection_end::whole : connection_end::lost);
    }
    self.end(what & BEV_EVENT_ERROR ? endOfError(reason) : connection_end::lost);
}

} // namespace heatherdrift
