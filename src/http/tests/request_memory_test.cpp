#include "http/tests/raw_peers.h"
#include "http/tests/test_loop.h"

namespace heatherdrift {
namespace {

    constexpr std::size_t memoryBytes = 300'000;

    /// A server with memory for few large requests, which holds the requests until the test answers them.
    class RequestMemoryTest : public testing::Test {
    protected:
        RequestMemoryTest() { server->setMemory(budget, { { "Retry-After", "1" } }); }

        static std::string head(std::size_t length)
        {
            return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
        }

        std::string readAnswer(blocking_client& client)
        {
            std::string answer;
            loop.runUntil([&] { return (answer += client.takeArrived()).find("\r\n\r\n") != std::string::npos; });
            return answer;
        }

        /// Writes until the server has closed the connection or has the bytes.
        void upload(blocking_client& client, std::size_t size)
        {
            constexpr std::size_t step = 10'000;
            for (std::size_t sent = 0; sent < size; sent += step) {
                client.send(std::string(std::min(step, size - sent), 'x'));
                loop.runReady();
            }
        }

        test_loop loop;
        std::shared_ptr<byte_budget> budget = byte_budget::create(memoryBytes);
        std::vector<http_exchange_ptr> held;
        std::unique_ptr<http_server> server = http_server::listen(
            loop.base(), { "127.0.0.1", 0 }, { 16 * 1024, 64u << 20, 120, 1 }, [this](http_exchange_ptr exchange) {
                held.push_back(std::move(exchange));
            }).value();
    };

    // Guards against uploads at the same time, each within the limit, that together end the process for its memory: the
    // second one is refused before its body is read.
    TEST_F(RequestMemoryTest, RequestWithoutRoomIsRefusedBeforeItsBodyIsRead)
    {
        blocking_client first(server->address());
        blocking_client second(server->address());
        first.send(head(200'000));
        loop.runUntil([&] { return budget->usedBytes() == 200'000; });
        second.send(head(250'000));
        const auto refusal = readAnswer(second);
        EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503 ")) << refusal;
        EXPECT_NE(refusal.find("Retry-After: 1\r\n"), std::string::npos);
        upload(first, 200'000);
        loop.runUntil([&] { return held.size() == 1; });
        EXPECT_EQ(held[0]->request().body.size(), 200'000u);
    }

    // Guards against memory that is not free again after the answer.
    TEST_F(RequestMemoryTest, MemoryIsFreeAgainAfterTheAnswer)
    {
        for (int i = 0; i < 3; ++i) {
            blocking_client client(server->address());
            client.send(head(200'000));
            upload(client, 200'000);
            loop.runUntil([&] { return held.size() == 1; });
            const auto passedOn = held[0]->request().body;
            held[0]->respond({ { 200, {} }, "" });
            EXPECT_TRUE(readAnswer(client).starts_with("HTTP/1.1 200 "));
            held.clear();
            EXPECT_EQ(budget->usedBytes(), 200'000u) << "the body is held by another hop";
        }
        loop.runReady();
        EXPECT_EQ(budget->usedBytes(), 0u);
    }

    // Guards against a body without a length that takes all memory.
    TEST_F(RequestMemoryTest, EndlessBodyIsGivenUp)
    {
        blocking_client client(server->address());
        client.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        std::string answer;
        for (int i = 0; i < 100 && answer.empty(); ++i) {
            client.send("2710\r\n" + std::string(10'000, 'x') + "\r\n");
            loop.runReady();
            answer += client.takeArrived();
            EXPECT_LE(budget->usedBytes(), memoryBytes);
        }
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
        EXPECT_EQ(budget->usedBytes(), 0u);
        EXPECT_TRUE(held.empty());
    }

    // Guards against small requests that wait for, or are refused for, large ones; the largest incomplete one makes
    // room.
    TEST_F(RequestMemoryTest, SmallRequestsRunWhileMemoryIsUsedUp)
    {
        blocking_client large(server->address());
        blocking_client medium(server->address());
        blocking_client small(server->address());
        large.send(head(300'000));
        loop.runUntil([&] { return budget->usedBytes() == 300'000; });
        small.send(head(5) + "small");
        loop.runUntil([&] { return held.size() == 1; });
        medium.send(head(20'000));
        EXPECT_TRUE(readAnswer(large).starts_with("HTTP/1.1 503 "));
        upload(medium, 20'000);
        loop.runUntil([&] { return held.size() == 2; });
    }

    // Guards against memory that a client keeps that leaves in the middle of its body.
    TEST_F(RequestMemoryTest, ClientThatLeavesFreesItsMemory)
    {
        blocking_client client(server->address());
        client.send(head(200'000) + std::string(50'000, 'x'));
        loop.runUntil([&] { return budget->usedBytes() == 200'000; });
        client.close();
        loop.runUntil([&] { return budget->usedBytes() == 0; });
        EXPECT_TRUE(held.empty());
    }

    // Guards against a request whose body is copied at each step on its way.
    TEST(MessageBody, CopiesShareTheBytes)
    {
        const http_request request { "POST", "/", {}, std::string(100'000, 'x') };
        const auto copy = request;
        EXPECT_EQ(copy.body.text().data(), request.body.text().data());
        EXPECT_EQ(copy, request);
        EXPECT_NE(copy.body, message_body("y"));
        EXPECT_TRUE(message_body("").empty());
    }

} // namespace
} // namespace heatherdrift
