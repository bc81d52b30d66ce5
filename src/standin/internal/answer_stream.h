#pragma once

#include "base/event_handle.h"
#include "http/http_server.h"
#include "standin/answer_content.h"

#include <memory>

namespace heatherdrift {

/// Sends a body in parts, at most at a given rate and no faster than the client reads.
class answer_stream {
public:
    /// bytesPerSecond 0: no limit. onSent is called when the last part is sent; it may destroy this object.
    answer_stream(
        event_base*, http_exchange_ptr, answer_content, std::int64_t bytesPerSecond, std::function<void()> onSent);
    ~answer_stream();
    answer_stream(const answer_stream&) = delete;
    answer_stream& operator=(const answer_stream&) = delete;

    void start(http_response_head);

private:
    void sendMore();
    std::size_t allowedBytes() const;

    http_exchange_ptr m_exchange;
    answer_content m_content;
    std::int64_t m_bytesPerSecond;
    std::function<void()> m_onSent;
    time_point m_startedAt;
    std::size_t m_sent = 0;
    timer m_pace;
};

} // namespace heatherdrift
