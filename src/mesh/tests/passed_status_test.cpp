#include "mesh/tests/mesh_fixture.h"

namespace heatherdrift {
namespace {

    /// Two nodes with backend servers of one service, and a node of another service that callers send to.
    class PassedStatusTest : public mesh_fixture {
    protected:
        void start(bool statesLoad)
        {
            addService("s", "h");
            port.decodeAnswer = [statesLoad](const http_response_head& head) {
                backend_answer out;
                out.requestId = head.headers.find("id").value_or("");
                out.isFromBackend = true;
                if (statesLoad)
                    out.load = server_load { 1, 0, 4, 1 };
                return out;
            };
            backend = http_server::listen(loop.base(), { "127.0.0.1", 0 }, {}, [](const http_exchange_ptr& exchange) {
                http_response answer { { 200, {} }, "" };
                if (const auto id = exchange->request().headers.find("id"))
                    answer.head.headers.set("id", std::string(*id));
                exchange->respond(std::move(answer));
            }).value();
            storeConfiguration();
            first = startNode("first", "s", backend->address());
            second = startNode("second", "s", backend->address());
            entry = startNode("entry", "t", backend->address());
            ASSERT_EQ(announce(*first, "b1", 1), 200);
            ASSERT_EQ(announce(*second, "b2", 1), 200);
        }

        void sendMany(const mesh_node& node)
        {
            for (int count = 0; count < 40; ++count)
                send(node, "h", "/", "GET");
        }

        std::string metric(const mesh_node& node, const std::string& name)
        {
            const auto text = loop.fetch(node.settings().metrics, { "GET", "/metrics", {}, "" }).value().body;
            const auto at = text.find("\n" + name + " ");
            if (at == std::string::npos)
                return "";
            const auto value = at + name.size() + 2;
            return text.substr(value, text.find('\n', value) - value);
        }

        std::unique_ptr<http_server> backend;
        std::unique_ptr<mesh_node> first;
        std::unique_ptr<mesh_node> second;
        std::unique_ptr<mesh_node> entry;
    };

    const std::string known = "heatherdrift_known_statuses{service=\"s\"}";
    const std::string passed = "heatherdrift_statuses_exchanged_total{direction=\"passed\"}";
    const std::string learned = "heatherdrift_statuses_exchanged_total{direction=\"learned\"}";

    // Guards against nodes that keep to themselves what they know about the servers of their service.
    TEST_F(PassedStatusTest, NodesPassStatusesOn)
    {
        start(true);
        while (send(*entry, "h", "/", "GET").head.status != 200 || send(*first, "h", "/", "GET").head.status != 200) { }
        for (const auto* node : { first.get(), entry.get(), first.get(), entry.get() })
            sendMany(*node);
        EXPECT_EQ(metric(*entry, known), "2");
        EXPECT_NE(metric(*first, passed), "");
        EXPECT_NE(metric(*entry, learned) + metric(*first, learned) + metric(*second, learned), "");
    }

    // Guards against bytes and decisions in deployments whose backend servers do not state their load.
    TEST_F(PassedStatusTest, NothingIsPassedOnWithoutLoad)
    {
        start(false);
        while (send(*entry, "h", "/", "GET").head.status != 200) { }
        for (const auto* node : { first.get(), entry.get() })
            sendMany(*node);
        EXPECT_EQ(metric(*entry, known), "0");
        EXPECT_EQ(metric(*first, passed) + metric(*second, passed), "");
    }

} // namespace
} // namespace heatherdrift
