#pragma once

#include "http/http_client.h"
#include "http/http_server.h"

#include <memory>

namespace heatherdrift {

/// Passes the answer of a running call on to a client. At most `bufferLimit` bytes wait for a slow client; above that
/// the call is paused, so that the sender is slowed down as well.
class answer_relay : public std::enable_shared_from_this<answer_relay> {
public:
    answer_relay(http_exchange_ptr, std::size_t bufferLimit);

    /// The call whose answer is passed on; it is paused and resumed.
    void setSource(http_call_ptr);
    void start(const http_response_head&);
    void sendData(std::string_view);
    void finish();
    /// The client sees an incomplete answer.
    void abort();

    bool hasStarted() const { return m_hasStarted; }

private:
    void resumeSource();

    http_exchange_ptr m_exchange;
    std::size_t m_bufferLimit;
    http_call_ptr m_source;
    bool m_hasStarted = false;
    bool m_isPaused = false;
};

} // namespace heatherdrift
