#pragma once

#include "base/event_handle.h"
#include "http/http_client.h"
#include "http/http_server.h"

#include <csignal>
#include <gtest/gtest.h>

namespace heatherdrift {

/// Event loop for tests that use sockets on loopback.
class test_loop {
public:
    /// libevent schedules by a coarse clock, so that a delay may be shorter by up to one tick of the kernel.
    static constexpr duration clockTick = std::chrono::milliseconds(10);

    test_loop() { std::signal(SIGPIPE, SIG_IGN); }

    event_base* base() { return m_base.get(); }

    /// A deadline that no test reaches, however slow the machine is.
    static time_point farDeadline() { return boot_clock::now() + std::chrono::minutes(30); }

    void runUntil(const std::function<bool()>& isDone)
    {
        while (!isDone())
            event_base_loop(base(), EVLOOP_ONCE);
    }

    /// Runs what is ready, without waiting for anything.
    void runReady()
    {
        for (int i = 0; i < 100; ++i)
            event_base_loop(base(), EVLOOP_NONBLOCK);
    }

    result<http_response> fetch(http_client& client, http_request request, time_point deadline = farDeadline())
    {
        std::optional<result<http_response>> answer;
        heatherdrift::fetch(client, std::move(request), deadline, 64 << 20,
            [&](result<http_response> value) { answer = std::move(value); });
        runUntil([&] { return answer.has_value(); });
        return *answer;
    }

    /// On a connection of its own.
    result<http_response> fetch(const endpoint& server, http_request request)
    {
        const auto client = http_client::create(base(), server, 1);
        return fetch(*client, std::move(request));
    }

    /// Sets the faults of a stand-in, which must accept them.
    void putFaults(const endpoint& control, const std::string& faults)
    {
        const auto answer = fetch(control, { "PUT", "/faults", {}, faults });
        ASSERT_TRUE(answer.has_value());
        ASSERT_EQ(answer.value().head.status, 200) << answer.value().body;
    }

    std::unique_ptr<http_server> listen(http_handler handler)
    {
        auto server = http_server::listen(base(), { "127.0.0.1", 0 }, {}, std::move(handler));
        EXPECT_TRUE(server.has_value());
        return std::move(server).value();
    }

private:
    event_base_handle m_base { event_base_new() };
};

} // namespace heatherdrift
