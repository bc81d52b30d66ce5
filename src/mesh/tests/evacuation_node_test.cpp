#include "mesh/tests/mesh_fixture.h"

namespace heatherdrift {
namespace {

    using std::chrono::seconds;

    /// Whole nodes: the entry in the zone "e", and two nodes of the service "s" in the zones "a" and "b".
    class EvacuationNodeTest : public mesh_fixture {
    protected:
        void SetUp() override
        {
            addService("s", "h");
            storeConfiguration();
            scheduling.evacuationTime = seconds(5);
            for (const char* name : { "a", "b" }) {
                backends.push_back(loop.listen([this, name](http_exchange_ptr exchange) {
                    runs.emplace_back(name);
                    const std::string id(exchange->request().headers.find("id").value_or(""));
                    exchange->respond({ { 200, { { "signed", "1" }, { "id", id } } }, "" });
                }));
                zone = name;
                nodes.push_back(startNode(name, "s", backends.back()->address()));
            }
            zone = "e";
            entry = startNode("e", "other", { "127.0.0.1", 1 });
            for (const auto& node : nodes)
                announce(*node, "i-" + node->settings().node, 1);
        }

        void setEvacuated(const std::string& name, bool isEvacuated)
        {
            const auto value = isEvacuated ? std::optional<std::string>("") : std::nullopt;
            store.apply({ {}, { { { port.configurationRow.table, "evacuate/" + name }, 0, value } } });
        }

        void wait(duration length)
        {
            bool isOver = false;
            timer end(loop.base(), [&] { isOver = true; });
            end.startOnce(length);
            loop.runUntil([&] { return isOver; });
        }

        /// Sends requests until one has the expected result.
        void sendUntil(const std::function<bool(const http_response&)>& isExpected)
        {
            const auto endsAt = boot_clock::now() + seconds(30);
            while (!isExpected(send(*entry, "h", "/")))
                ASSERT_LT(boot_clock::now(), endsAt);
        }

        bool isServedBy(const std::string& name) const { return !runs.empty() && runs.back() == name; }

        std::vector<std::string> runs; ///< Names of the nodes whose backend servers ran the requests.
        std::vector<std::unique_ptr<http_server>> backends;
        std::vector<std::unique_ptr<mesh_node>> nodes;
        std::unique_ptr<mesh_node> entry;
    };

    // Guards against requests to an evacuated zone, against a Retry-After that is missing when all zones are evacuated,
    // and against a zone that stays closed after the withdrawal.
    TEST_F(EvacuationNodeTest, RequestsFollowTheEvacuations)
    {
        sendUntil([&](const auto&) { return isServedBy("a"); });
        sendUntil([&](const auto&) { return isServedBy("b"); });
        setEvacuated("a", true);
        wait(seconds(2));
        runs.clear();
        for (int i = 0; i < 20; ++i)
            EXPECT_EQ(send(*entry, "h", "/").head.status, 200);
        EXPECT_EQ(std::ranges::count(runs, "b"), 20);
        setEvacuated("b", true);
        sendUntil([&](const http_response& answer) { return answer.head.status == 503; });
        wait(seconds(2));
        runs.clear();
        EXPECT_TRUE(send(*entry, "h", "/").head.headers.find("retry-after-us"));
        EXPECT_TRUE(runs.empty());
        setEvacuated("a", false);
        sendUntil([&](const http_response& answer) { return answer.head.status == 200; });
        EXPECT_TRUE(isServedBy("a"));
    }

} // namespace
} // namespace heatherdrift
