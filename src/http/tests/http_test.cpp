#include "base/event_handle.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "http/tests/raw_peers.h"

#include <arpa/inet.h>
#include <csignal>
#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    const endpoint loopback { "127.0.0.1", 0 };

    time_point farDeadline() { return boot_clock::now() + std::chrono::minutes(5); }

    class HttpTest : public testing::Test {
    protected:
        void SetUp() override { signal(SIGPIPE, SIG_IGN); }

        std::unique_ptr<http_server> listen(http_handler handler, http_server_limits limits = {})
        {
            auto server = http_server::listen(base.get(), loopback, limits, std::move(handler));
            EXPECT_TRUE(server.has_value());
            return std::move(server).value();
        }

        result<http_response> fetchOnce(http_client& client, http_request request, time_point deadline = farDeadline())
        {
            std::optional<result<http_response>> answer;
            fetch(client, std::move(request), deadline, 64 << 20, [&](result<http_response> value) {
                answer = std::move(value);
                event_base_loopbreak(base.get());
            });
            event_base_loop(base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
            return *answer;
        }

        void runUntil(const std::function<bool()>& isDone)
        {
            while (!isDone())
                event_base_loop(base.get(), EVLOOP_ONCE);
        }

        event_base_handle base { event_base_new() };
    };

    TEST_F(HttpTest, CarriesMethodTargetHeadersAndBodyBothWays)
    {
        auto server = listen([](http_exchange_ptr exchange) {
            const auto& request = exchange->request();
            exchange->respond({ { 201, { { "seen", request.method + " " + request.target } } },
                request.body.text() + std::string(request.headers.find("X-Test").value_or("")) });
        });
        auto client = http_client::create(base.get(), server->address(), 1);
        const auto answer = fetchOnce(*client, { "POST", "/a?b=c", { { "x-test", "value" } }, "body-" });
        ASSERT_TRUE(answer.has_value());
        EXPECT_EQ(answer.value().head.status, 201);
        EXPECT_EQ(answer.value().head.headers.find("SEEN"), "POST /a?b=c");
        EXPECT_EQ(answer.value().body, "body-value");
    }

    // Guards against a Transfer-Encoding header that is passed on to the next hop and contradicts its framing.
    TEST_F(HttpTest, ChunkedAnswerIsDeliveredWithoutHopByHopHeaders)
    {
        auto server = listen([](http_exchange_ptr exchange) {
            exchange->start({ 200, {} });
            exchange->sendData("part");
            exchange->finish();
        });
        auto client = http_client::create(base.get(), server->address(), 1);
        const auto answer = fetchOnce(*client, {});
        ASSERT_TRUE(answer.has_value());
        EXPECT_EQ(answer.value().body, "part");
        EXPECT_FALSE(answer.value().head.headers.find("Transfer-Encoding"));
    }

    struct broken_server {
        const char* name;
        const char* answer;
        verdict expected;
    };

    // Guards against a truncated or unframed answer taken as whole, and against a library that sends a request twice:
    // each server counts the requests that reach it.
    TEST_F(HttpTest, BrokenAnswersMayHaveRunAndAreNeverSentAgain)
    {
        const broken_server cases[] = {
            { "closed without an answer", "", verdict::may_have_run },
            { "closed within the head", "HTTP/1.1 200 OK\r\nContent-Le", verdict::may_have_run },
            { "closed within the body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", verdict::may_have_run },
            { "closed within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nhalf",
                verdict::may_have_run },
            { "closed between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                verdict::may_have_run },
            { "no length", "HTTP/1.1 200 OK\r\n\r\nhalf", verdict::may_have_run },
            { "not HTTP", "hello\r\n\r\n", verdict::may_have_run },
        };
        for (const auto& entry : cases) {
            raw_server server(base.get(), entry.answer, true);
            auto client = http_client::create(base.get(), server.address(), 2);
            const auto answer = fetchOnce(*client, { "POST", "/", {}, "once" });
            ASSERT_TRUE(answer.has_error()) << entry.name;
            EXPECT_EQ(answer.error().outcome, entry.expected) << entry.name;
            EXPECT_EQ(server.requests, 1) << entry.name;
            EXPECT_EQ(client->connectionCount(), 0) << entry.name;
        }
    }

    // Guards against a resend on a connection that the server closed after an earlier answer.
    TEST_F(HttpTest, ReusedConnectionDoesNotSendARequestTwice)
    {
        int requests = 0;
        http_exchange_ptr held;
        auto server = listen([&](http_exchange_ptr exchange) {
            if (++requests == 1)
                exchange->respond({ { 200, {} }, "first" });
            else
                exchange->abort();
        });
        auto client = http_client::create(base.get(), server->address(), 1);
        ASSERT_TRUE(fetchOnce(*client, { "POST", "/", {}, "1" }).has_value());
        EXPECT_EQ(client->idleCount(), 1);
        const auto second = fetchOnce(*client, { "POST", "/", {}, "2" });
        ASSERT_TRUE(second.has_error());
        EXPECT_EQ(second.error().outcome, verdict::may_have_run);
        EXPECT_EQ(requests, 2);
    }

    // Guards against a connection's cost charged to each request, or to none.
    TEST_F(HttpTest, TellsTheFirstRequestOfAConnection)
    {
        std::vector<bool> seen;
        auto server = listen([&](http_exchange_ptr exchange) {
            seen.push_back(exchange->isFirstOnConnection());
            exchange->respond({});
        });
        for (int i = 0; i < 2; ++i) {
            auto client = http_client::create(base.get(), server->address(), 1);
            ASSERT_TRUE(fetchOnce(*client, {}).has_value());
            ASSERT_TRUE(fetchOnce(*client, {}).has_value());
        }
        EXPECT_EQ(seen, (std::vector<bool> { true, false, true, false }));
    }

    // Guards against `not_run` for a request that was written, and `may_have_run` for one that was not.
    TEST_F(HttpTest, RefusedConnectionIsNotRun)
    {
        std::uint16_t closedPort = 0;
        {
            raw_server server(base.get(), "", true);
            closedPort = server.address().port;
        }
        auto client = http_client::create(base.get(), { "127.0.0.1", closedPort }, 1);
        const auto answer = fetchOnce(*client, { "POST", "/", {}, "x" });
        ASSERT_TRUE(answer.has_error());
        EXPECT_EQ(answer.error().outcome, verdict::not_run);
        EXPECT_EQ(answer.error().code, error_code::connection_refused);
    }

    TEST_F(HttpTest, PassedDeadlineAfterWritingMayHaveRun)
    {
        std::vector<http_exchange_ptr> held;
        auto server = listen([&](http_exchange_ptr exchange) { held.push_back(std::move(exchange)); });
        auto client = http_client::create(base.get(), server->address(), 1);
        std::optional<result<http_response>> answer;
        fetch(*client, { "POST", "/", {}, "x" }, boot_clock::now() + std::chrono::milliseconds(50), 100,
            [&](result<http_response> value) { answer = std::move(value); });
        runUntil([&] { return answer.has_value(); });
        ASSERT_TRUE(answer->has_error());
        EXPECT_EQ(answer->error().code, error_code::deadline_exceeded);
        EXPECT_EQ(answer->error().outcome, held.empty() ? verdict::not_run : verdict::may_have_run);
        EXPECT_EQ(client->connectionCount(), 0);
    }

    TEST_F(HttpTest, ConnectionLimitRefusesAsNotRun)
    {
        std::vector<http_exchange_ptr> held;
        auto server = listen([&](http_exchange_ptr exchange) { held.push_back(std::move(exchange)); });
        auto client = http_client::create(base.get(), server->address(), 1);
        auto first = client->start({}, farDeadline(), {});
        const auto second = fetchOnce(*client, {});
        ASSERT_TRUE(second.has_error());
        EXPECT_EQ(second.error().outcome, verdict::not_run);
        EXPECT_EQ(second.error().code, error_code::overloaded);
        first->cancel();
        runUntil([&] { return client->connectionCount() == 0; });
    }

    // Guards against work that goes on after its caller left.
    TEST_F(HttpTest, CancelledCallIsSeenByTheServer)
    {
        http_exchange_ptr held;
        bool isClosed = false;
        auto server = listen([&](http_exchange_ptr exchange) {
            held = std::move(exchange);
            held->onClosed([&] { isClosed = true; });
        });
        auto client = http_client::create(base.get(), server->address(), 1);
        auto call = client->start({ "POST", "/", {}, "x" }, farDeadline(), {});
        runUntil([&] { return held != nullptr; });
        EXPECT_TRUE(held->isOpen());
        call->cancel();
        runUntil([&] { return isClosed; });
        EXPECT_FALSE(held->isOpen());
        held->respond({});
    }

    // Guards against a slow reader that grows the sender's memory: the sender stops at its own bound and goes on when
    // the reader does.
    TEST_F(HttpTest, SlowReaderHoldsBackTheSender)
    {
        constexpr std::size_t partBytes = 32 * 1024;
        constexpr std::size_t parts = 2048;
        http_exchange_ptr held;
        std::size_t sent = 0;
        std::size_t mostBuffered = 0;
        const std::function<void()> sendMore = [&] {
            while (sent < parts && held->bufferedBytes() < 2 * partBytes) {
                held->sendData(std::string(partBytes, 'x'));
                ++sent;
            }
            mostBuffered = std::max(mostBuffered, held->bufferedBytes());
            if (sent == parts)
                held->finish();
        };
        auto server = listen([&](http_exchange_ptr exchange) {
            held = std::move(exchange);
            held->onDrained(sendMore);
            held->start({ 200, {} });
            sendMore();
        });
        auto client = http_client::create(base.get(), server->address(), 1);
        std::size_t received = 0;
        std::optional<result<void>> outcome;
        http_call_handlers handlers;
        handlers.onData = [&](std::string_view data) { received += data.size(); };
        handlers.onDone = [&](result<void> how) { outcome = how; };
        auto call = client->start({}, farDeadline(), handlers);
        runUntil([&] { return received > 0; });
        call->pause();
        for (int i = 0; i < 2000; ++i)
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
        EXPECT_LT(sent, parts);
        EXPECT_LT(received, parts * partBytes);
        call->resume();
        runUntil([&] { return outcome.has_value(); });
        EXPECT_TRUE(outcome->has_value());
        EXPECT_EQ(received, parts * partBytes);
        EXPECT_LT(mostBuffered, 4 * partBytes);
    }

    // Guards against an aborted answer that looks whole to the client.
    TEST_F(HttpTest, AbortedAnswerIsIncomplete)
    {
        for (const bool hasLength : { false, true }) {
            http_exchange_ptr held;
            auto server = listen([&](http_exchange_ptr exchange) {
                held = std::move(exchange);
                http_response_head head;
                if (hasLength)
                    head.headers.add("Content-Length", "100");
                held->start(head);
                held->sendData("part");
                held->onDrained([&] { held->abort(); });
            });
            auto client = http_client::create(base.get(), server->address(), 1);
            const auto answer = fetchOnce(*client, {});
            ASSERT_TRUE(answer.has_error());
            EXPECT_EQ(answer.error().outcome, verdict::may_have_run);
        }
    }

    struct bad_request_case {
        const char* name;
        std::string bytes;
        const char* expectedStatus; ///< Empty: the connection is closed without an answer.
    };

    // Guards against malformed, oversized or pipelined input that crashes the process or reaches the handler.
    TEST_F(HttpTest, MalformedInputNeverReachesTheHandler)
    {
        const bad_request_case cases[] = {
            { "not HTTP", "hello\r\n\r\n", "400" },
            { "bad version", "GET / HTTP/x.1\r\n\r\n", "400" },
            { "header without colon", "GET / HTTP/1.1\r\nbroken\r\n\r\n", "400" },
            { "negative length", "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", "400" },
            { "length is no number", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400" },
            { "body above the limit", "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "413" },
            { "headers above the limit", "GET / HTTP/1.1\r\nh: " + std::string(64 * 1024, 'a') + "\r\n\r\n", "431" },
            { "bad chunk size", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400" },
        };
        int handled = 0;
        auto server = listen([&](http_exchange_ptr exchange) {
            ++handled;
            exchange->respond({});
        });
        for (const auto& entry : cases) {
            std::string received;
            bool isClosed = false;
            auto* stream = bufferevent_socket_new(base.get(), -1, BEV_OPT_CLOSE_ON_FREE);
            struct watch {
                std::string& received;
                bool& isClosed;
            } state { received, isClosed };
            bufferevent_setcb(
                stream,
                [](bufferevent* from, void* argument) {
                    char buffer[4096];
                    const auto size = bufferevent_read(from, buffer, sizeof(buffer));
                    static_cast<watch*>(argument)->received.append(buffer, size);
                },
                nullptr,
                [](bufferevent*, short what, void* argument) {
                    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                        static_cast<watch*>(argument)->isClosed = true;
                },
                &state);
            bufferevent_enable(stream, EV_READ | EV_WRITE);
            bufferevent_write(stream, entry.bytes.data(), entry.bytes.size());
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(server->address().port);
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            bufferevent_socket_connect(stream, reinterpret_cast<sockaddr*>(&address), sizeof(address));
            runUntil([&] { return isClosed || received.find("\r\n\r\n") != std::string::npos; });
            EXPECT_NE(received.find(entry.expectedStatus), std::string::npos) << entry.name << ": " << received;
            bufferevent_free(stream);
        }
        EXPECT_EQ(handled, 0);
    }

    // Guards against a pipelining client that stops the process: evhttp treats early bytes as a fatal error by itself.
    TEST_F(HttpTest, PipelinedRequestsAreAnsweredInOrder)
    {
        std::vector<http_exchange_ptr> held;
        auto server = listen([&](http_exchange_ptr exchange) { held.push_back(std::move(exchange)); });
        std::string received;
        auto* stream = bufferevent_socket_new(base.get(), -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
            stream,
            [](bufferevent* from, void* argument) {
                char buffer[4096];
                const auto size = bufferevent_read(from, buffer, sizeof(buffer));
                static_cast<std::string*>(argument)->append(buffer, size);
            },
            nullptr, nullptr, &received);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        const std::string request = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";
        const std::string second = "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n";
        bufferevent_write(stream, request.data(), request.size());
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server->address().port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bufferevent_socket_connect(stream, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        runUntil([&] { return held.size() == 1; });
        bufferevent_write(stream, second.data(), second.size());
        for (int i = 0; i < 200; ++i)
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
        EXPECT_EQ(held.size(), 1u);
        held[0]->respond({ { 200, {} }, "one" });
        runUntil([&] { return held.size() == 2; });
        held[1]->respond({ { 200, {} }, "two" });
        runUntil([&] { return received.find("two") != std::string::npos; });
        EXPECT_LT(received.find("one"), received.find("two"));
        bufferevent_free(stream);
    }

    // Guards against a long download that is cut off because its client sends nothing meanwhile, and against a
    // connection that is never closed once it is idle. Waits for 2 s and then for the idle timeout of 1 s.
    TEST_F(HttpTest, IdleTimeoutSparesAnswersInProgress)
    {
        http_exchange_ptr held;
        http_server_limits limits;
        limits.idleTimeoutSeconds = 1;
        auto server = listen(
            [&](http_exchange_ptr exchange) {
                held = std::move(exchange);
                held->start({ 200, { { "Content-Length", "8" } } });
                held->sendData("half");
            },
            limits);
        auto client = http_client::create(base.get(), server->address(), 1);
        std::optional<result<void>> outcome;
        http_call_handlers handlers;
        handlers.onDone = [&](result<void> how) { outcome = how; };
        client->start({}, farDeadline(), handlers);
        timer finish(base.get(), [&] {
            held->sendData("half");
            held->finish();
        });
        finish.startOnce(std::chrono::seconds(2));
        runUntil([&] { return outcome.has_value(); });
        EXPECT_TRUE(outcome->has_value());
        bool isClosed = false;
        auto* stream = bufferevent_socket_new(base.get(), -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
            stream, nullptr, nullptr,
            [](bufferevent*, short what, void* argument) {
                if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                    *static_cast<bool*>(argument) = true;
            },
            &isClosed);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        bufferevent_write(stream, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 27);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server->address().port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        held = nullptr;
        bufferevent_socket_connect(stream, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        runUntil([&] { return held != nullptr; });
        held->sendData("half");
        held->finish();
        runUntil([&] { return isClosed; });
        bufferevent_free(stream);
    }

    TEST_F(HttpTest, ListeningTwiceOnAnAddressFails)
    {
        auto server = listen([](http_exchange_ptr exchange) { exchange->respond({}); });
        const auto second = http_server::listen(base.get(), server->address(), {}, {});
        ASSERT_TRUE(second.has_error());
        EXPECT_EQ(second.error().code, error_code::invalid_settings);
    }

} // namespace
} // namespace heatherdrift
