#pragma once

#include "http/http_client.h"
#include "http/http_server.h"

#include <memory>

namespace heatherdrift {

/// Forwards the response of a running call to a client. When `bufferLimit` bytes are buffered for a slow client, the
/// call is paused, so that backpressure reaches the sender.
class answer_relay : public std::enable_shared_from_this<answer_relay> {
public:
    answer_relay(http_exchange_ptr, std::size_t bufferLimit);

    /// Sets the call whose response is forwarded; the relay pauses and resumes it.
    void setSource(http_call_ptr);
    void start(const http_response_head&);
    void sendData(std::string_view);
    void finish();
    /// Ends the exchange so that the client sees an incomplete response.
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
