#include "http/internal/server_exchange.h"

#include "http/internal/server_connection.h"

#include <charconv>

namespace heatherdrift {

namespace {

    std::string_view reasonPhrase(int status) { return http_status_str(static_cast<http_status>(status)); }

    std::string hexadecimal(std::size_t value)
    {
        char text[2 * sizeof(value)];
        const auto end = std::to_chars(std::begin(text), std::end(text), value, 16).ptr;
        return { std::begin(text), end };
    }

} // namespace

server_exchange::server_exchange(
    std::shared_ptr<server_connection> connection, http_request request, bool isFirst, bool keepsAlive)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_isFirst(isFirst)
    , m_isFromOwnHost(m_connection->isFromOwnHost())
    , m_keepsAlive(keepsAlive)
{
}

http_exchange_ptr server_exchange::handlerReference(std::shared_ptr<server_exchange> exchange)
{
    auto* raw = exchange.get();
    return { raw, [exchange = std::move(exchange)](http_exchange*) { exchange->abort(); } };
}

void server_exchange::respond(http_response response)
{
    if (!m_isOpen)
        return;
    response.head.headers.set("Content-Length", std::to_string(response.body.size()));
    start(std::move(response.head));
    m_memory = std::move(response.memory);
    m_output = std::move(response.body);
    finish();
}

void server_exchange::start(http_response_head head)
{
    if (!m_isOpen || m_hasHead)
        return;
    m_hasHead = true;
    m_head = std::move(head);
    m_isChunked = !m_head.headers.find("Content-Length") && m_request.method != "HEAD";
    if (m_isChunked)
        m_head.headers.set("Transfer-Encoding", "chunked");
}

void server_exchange::sendData(std::string_view data)
{
    if (!m_isOpen || data.empty())
        return;
    if (m_isChunked)
        m_output.append(hexadecimal(data.size())).append("\r\n").append(data).append("\r\n");
    else
        m_output.append(data);
    const auto connection = m_connection;
    connection->exchangeChanged();
}

void server_exchange::finish()
{
    if (!m_isOpen)
        return;
    if (m_isChunked)
        m_output.append("0\r\n\r\n");
    if (m_request.method == "HEAD")
        m_output.clear();
    m_isFinished = true;
    m_isOpen = false;
    // The callbacks often hold this exchange, so keeping them after the answer would keep it forever.
    m_onDrained = nullptr;
    m_onClosed = nullptr;
    const auto connection = m_connection;
    connection->exchangeChanged();
}

void server_exchange::abort()
{
    if (!m_isOpen)
        return;
    m_isOpen = false;
    m_isAborted = true;
    m_onDrained = nullptr;
    m_onClosed = nullptr;
    const auto connection = m_connection;
    connection->exchangeChanged();
}

bool server_exchange::hasClientLeft() const { return !m_connection || m_connection->hasClientLeft(); }

std::size_t server_exchange::bufferedBytes() const
{
    return m_output.size() + (m_connection ? m_connection->bufferedBytes() : 0);
}

std::string server_exchange::head(bool closesConnection)
{
    std::string text = "HTTP/1.1 " + std::to_string(m_head.status) + " ";
    text.append(reasonPhrase(m_head.status)).append("\r\n");
    for (const auto& [name, value] : m_head.headers.fields())
        text.append(name).append(": ").append(value).append("\r\n");
    if (closesConnection)
        text.append("Connection: close\r\n");
    return text.append("\r\n");
}

std::string server_exchange::takeOutput(bool closesConnection)
{
    const bool needsHead = !std::exchange(m_isHeadTaken, true);
    std::string text = needsHead ? head(closesConnection) : std::string();
    text.append(m_output);
    freeText(m_output);
    return text;
}

void server_exchange::notifyDrained()
{
    if (const auto call = m_onDrained)
        call();
}

void server_exchange::notifyClosed()
{
    m_connection = nullptr;
    m_isOpen = false;
    m_onDrained = nullptr;
    if (const auto call = std::exchange(m_onClosed, nullptr))
        call();
}

void server_exchange::detach() { m_connection = nullptr; }

} // namespace heatherdrift
