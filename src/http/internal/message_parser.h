#pragma once

#include "http/http_message.h"

#include <functional>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace heatherdrift {

/// Reads the HTTP/1.1 messages of one connection. Framing that two readers could understand differently is an error.
class message_parser {
public:
    enum class side { requests, responses };

    struct handlers {
        /// The head is complete. Returning false makes the parser fail.
        std::function<bool()> onHead;
        std::function<void(std::string_view)> onBody;
        /// The message is complete. Returning false stops the parser before the next message.
        std::function<bool()> onComplete;
    };

    message_parser(side, std::size_t headerLimitBytes, handlers);
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// Number of bytes taken. Fewer than given: stopped between two messages, or failed.
    std::size_t parse(std::string_view);
    /// The connection was closed in order; completes a response whose end is the end of its connection.
    void finish();
    /// Goes on after onComplete() returned false.
    void proceed();

    bool hasFailed() const;
    bool isHeadTooLarge() const { return m_headerBytes > m_headerLimitBytes; }
    /// Whether a message has begun and is not complete.
    bool isInMessage() const { return m_isInMessage; }

    const std::string& target() const { return m_target; }
    http_headers& headers() { return m_headers; }
    std::string_view method() const;
    int status() const { return static_cast<int>(m_native.status_code); }
    /// Whether the connection may carry another message after this one. Valid from onHead() on.
    bool keepsAlive() const { return m_keepsAlive; }
    /// Whether the body ends with the connection. Valid from onHead() on.
    bool isUnframed() const { return m_isUnframed; }
    /// Content-Length, or 0 if there is none.
    std::size_t announcedLength() const { return m_announcedLength; }
    /// The next response has no body whatever its head says (answer to HEAD).
    void expectNoBody() { m_expectsNoBody = true; }

private:
    static const http_parser_settings& callbacks();
    static message_parser& self(http_parser* native) { return *static_cast<message_parser*>(native->data); }

    int begin();
    int checkStatus(const char* reason);
    int addField(std::string_view);
    int addValue(std::string_view);
    int completeHead();
    int complete();
    bool countHeaderBytes(std::size_t size);
    void storeHeader();

    http_parser m_native {};
    std::size_t m_headerLimitBytes;
    handlers m_handlers;
    /// The bytes that are being parsed, and the last ones before them, for statuses that arrive in pieces.
    std::string_view m_piece;
    std::string m_earlierBytes;
    bool m_isStatusChecked = false;
    std::size_t m_headerBytes = 0;
    std::string m_target;
    http_headers m_headers;
    std::string m_field;
    std::string m_value;
    bool m_isValue = false;
    bool m_isInMessage = false;
    bool m_keepsAlive = true;
    bool m_isUnframed = false;
    bool m_expectsNoBody = false;
    std::size_t m_announcedLength = 0;
};

} // namespace heatherdrift
