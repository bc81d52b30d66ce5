#pragma once

#include "base/event_handle.h"
#include "gate/transfer_queue.h"
#include "http/http_server.h"

#include <map>

namespace heatherdrift {

/// Writes the gate's answers to the other nodes, large ones at the speed of the instance's link.
class answer_sender {
public:
    answer_sender(event_base*, double linkBytesPerSecond);

    /// A request of this kind came from another node; answers are sent or dropped by the returned number.
    request_number expect(const std::string& kind);
    /// Time until the answer to a request of this kind would have crossed the link.
    duration deliveryTime(const std::string& kind) const;
    /// Answers of this kind have this size.
    void learn(const std::string& kind, std::size_t bytes) { m_queue.learn(kind, bytes); }
    void send(request_number, const http_exchange_ptr&, http_response);
    /// The other node does not wait any more.
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
