#pragma once

#include "base/delayed_calls.h"
#include "http/http_client.h"

#include <memory>
#include <vector>

namespace heatherdrift {

/// Sends requests to one of several equal servers: to the same one as long as it answers, then to the next in order.
class server_group {
public:
    /// When a request whose attempt failed without an answer is sent to the next server.
    enum class repeat {
        if_not_written, ///< Only if no byte of it was written.
        always, ///< Each attempt gets its share of the time left.
    };
    using response_function = std::function<void(result<http_response>)>;

    server_group(event_base*, const std::vector<endpoint>& servers, int connectionsPerServer);

    /// Calls back on the event loop, never before it returns and not after this object is destroyed. The failure's
    /// verdict says whether any attempt was written.
    void send(http_request, repeat, time_point deadline, std::size_t bodyLimit, response_function);

private:
    struct request_state;

    void attempt(const std::shared_ptr<request_state>&);
    void finishAttempt(const std::shared_ptr<request_state>&, result<http_response>);
    void leave(std::size_t server);

    std::vector<std::unique_ptr<http_client>> m_clients;
    std::size_t m_preferred = 0;
    delayed_calls m_later;
};

} // namespace heatherdrift
