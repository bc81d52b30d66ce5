#pragma once

#include "http/http_server.h"

#include <memory>

namespace heatherdrift {

class server_connection;

/// Request on a server_connection. Answer bytes wait here until the answers to earlier requests are written.
class server_exchange : public http_exchange {
public:
    server_exchange(std::shared_ptr<server_connection>, http_request, bool isFirst, bool keepsAlive);

    const http_request& request() const override { return m_request; }
    bool isFirstOnConnection() const override { return m_isFirst; }
    bool isFromOwnHost() const override { return m_isFromOwnHost; }
    bool isOpen() const override { return m_isOpen; }
    bool hasClientLeft() const override;
    void respond(http_response) override;
    void start(http_response_head) override;
    void sendData(std::string_view) override;
    void finish() override;
    void abort() override;
    std::size_t bufferedBytes() const override;
    void onDrained(std::function<void()> call) override { m_onDrained = std::move(call); }
    void onClosed(std::function<void()> call) override { m_onClosed = std::move(call); }

    /// Reference for the handler; dropping the last copy unanswered aborts the exchange.
    static http_exchange_ptr handlerReference(std::shared_ptr<server_exchange>);

    // For the connection.
    bool hasOutput() const { return m_hasHead; }
    std::string takeOutput(bool closesConnection);
    /// The share of the answer in the memory of the process, while its output is not written.
    const std::shared_ptr<byte_share>& memory() const { return m_memory; }
    bool isFinished() const { return m_isFinished; }
    bool isAborted() const { return m_isAborted; }
    bool keepsAlive() const { return m_keepsAlive; }
    void notifyDrained();
    void notifyClosed();
    /// The answer is written completely.
    void detach();

private:
    std::string head(bool closesConnection);

    std::shared_ptr<server_connection> m_connection; ///< Empty once detached.
    http_request m_request;
    bool m_isFirst;
    bool m_isFromOwnHost;
    bool m_keepsAlive;
    bool m_isOpen = true;
    bool m_hasHead = false;
    bool m_isHeadTaken = false;
    bool m_isChunked = false;
    bool m_isFinished = false;
    bool m_isAborted = false;
    http_response_head m_head;
    std::string m_output;
    std::shared_ptr<byte_share> m_memory;
    std::function<void()> m_onDrained;
    std::function<void()> m_onClosed;
};

} // namespace heatherdrift
