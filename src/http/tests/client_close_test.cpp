#include "http/tests/raw_peers.h"
#include "http/tests/test_loop.h"

namespace heatherdrift {
namespace {

    const std::string request = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx";

    class ClientCloseTest : public testing::Test {
    protected:
        test_loop loop;
        std::vector<http_exchange_ptr> exchanges;
        std::vector<bool> hadLeft; ///< Of each request, when it was handed out.
        std::unique_ptr<http_server> server = loop.listen([this](http_exchange_ptr exchange) {
            hadLeft.push_back(exchange->hasClientLeft());
            exchanges.push_back(std::move(exchange));
        });
    };

    // Guards against requests that run after their clients have given them up: the process was paused, and both the
    // request and the close or reset of its connection are ready when it goes on.
    TEST_F(ClientCloseTest, CloseIsKnownWhenTheRequestIsHandedOut)
    {
        blocking_client accepted(server->address());
        blocking_client kept(server->address());
        kept.send(request);
        loop.runUntil([this] { return exchanges.size() == 1 && server->connectionCount() == 2; });
        // The client does not read the answer, so that its close resets the connection.
        exchanges.front()->respond({ { 200, {} }, "" });
        blocking_client unaccepted(server->address());
        for (auto* client : { &accepted, &kept, &unaccepted }) {
            client->send(request);
            client->close();
        }
        loop.runUntil([this] { return exchanges.size() == 4; });
        EXPECT_EQ(hadLeft, (std::vector<bool> { false, true, true, true }));
    }

    // Guards against taking a client for gone that waits for its answer or sends its next request.
    TEST_F(ClientCloseTest, WaitingClientHasNotLeft)
    {
        const std::string body(200000, 'b');
        blocking_client client(server->address());
        client.send(request);
        loop.runUntil([this] { return exchanges.size() == 1; });
        client.send(request);
        EXPECT_FALSE(exchanges.front()->hasClientLeft());
        exchanges.front()->respond({ { 200, {} }, body });
        std::string received;
        while (!received.ends_with("\r\n\r\n" + body)) {
            loop.runReady();
            received += client.takeArrived();
        }
        loop.runUntil([this] { return exchanges.size() == 2; });
        client.close();
        EXPECT_EQ(hadLeft, (std::vector<bool> { false, false }));
        EXPECT_TRUE(exchanges.back()->hasClientLeft());
    }

} // namespace
} // namespace heatherdrift
