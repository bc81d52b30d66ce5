#pragma once

#include "base/event_handle.h"
#include "gate/transfer_queue.h"
#include "http/http_server.h"

#include <map>

namespace heatherdrift {

/// Sends the gate's responses to other nodes; large ones are paced to the bandwidth of the instance's link.
class answer_sender {
public:
    answer_sender(event_base*, double linkBytesPerSecond);

    /// Registers a request of this kind from another node. Its response is sent or dropped by the returned number.
    request_number expect(const std::string& kind);
    /// Expected time until the response to a request of this kind has been transmitted over the link.
    duration deliveryTime(const std::string& kind) const;
    /// Records the size of a response of this kind.
    void recordSize(const std::string& kind, std::size_t bytes) { m_queue.recordResponseSize(kind, bytes); }
    void send(request_number, const http_exchange_ptr&, http_response);
    /// Discards the response because the other node no longer waits for it.
    void drop(request_number);

private:
    struct waiting_answer {
        http_exchange_ptr exchange;
        http_response response;
    };

    void sendNext();

    transfer_queue m_queue;
    std::map<request_number, waiting_answer> m_waiting;
    request_number m_lastNumber = 0;
    timer m_next;
};

} // namespace heatherdrift
