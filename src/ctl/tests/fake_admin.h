#pragma once

#include "base/json_reader.h"
#include "base/mailbox.h"
#include "http/http_server.h"

#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace heatherdrift {

inline http_response jsonResponse(const json& document, int status = 200)
{
    return { { status, { { "Content-Type", "application/json" } } }, document.dump() };
}

inline http_response failureResponse(int status, const char* verdict, const char* error, const char* message)
{
    return jsonResponse({ { "verdict", verdict }, { "error", error }, { "message", message } }, status);
}

/// An HTTP server on a thread of its own that answers with a function. Without an answer the connection is closed, or
/// left open if the server hangs.
class fake_admin {
public:
    using handler = std::function<std::optional<http_response>(const http_request&)>;

    explicit fake_admin(handler answer, bool hangs = false)
        : m_base(event_base_new())
        , m_stop(m_base.get(), [this] { event_base_loopbreak(m_base.get()); })
    {
        m_server = http_server::listen(m_base.get(), { "127.0.0.1", 0 }, {},
            [this, answer = std::move(answer), hangs](http_exchange_ptr exchange) {
                {
                    std::lock_guard lock(m_mutex);
                    m_requests.push_back(exchange->request());
                }
                const auto response = answer(exchange->request());
                if (response)
                    exchange->respond(*response);
                else if (hangs)
                    m_held.push_back(exchange);
            }).value();
        m_address = m_server->address();
        m_thread = std::thread([this] { event_base_loop(m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY); });
    }
    ~fake_admin()
    {
        m_stop.wake();
        m_thread.join();
        m_held.clear();
    }

    std::string address() const { return toString(m_address); }
    std::vector<http_request> requests(const std::string& method = "") const
    {
        std::lock_guard lock(m_mutex);
        std::vector<http_request> found;
        for (const auto& request : m_requests) {
            if (method.empty() || request.method == method)
                found.push_back(request);
        }
        return found;
    }

private:
    event_base_handle m_base;
    loop_waker m_stop;
    std::unique_ptr<http_server> m_server;
    endpoint m_address;
    mutable std::mutex m_mutex;
    std::vector<http_request> m_requests;
    std::vector<http_exchange_ptr> m_held;
    std::thread m_thread;
};

} // namespace heatherdrift
