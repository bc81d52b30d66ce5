#include "base/json_reader.h"
#include "http/tests/raw_peers.h"
#include "mesh/internal/crash_exchange.h"
#include "mesh/internal/member_registry.h"
#include "mesh/internal/owner_exchange.h"
#include "mesh/internal/peer_watch.h"
#include "mesh/internal/range_balancer.h"
#include "mesh/internal/range_replicas.h"
#include "mesh/internal/table_exchange.h"
#include "mesh/tests/mesh_fixture.h"

#include <regex>

namespace heatherdrift {
namespace {

    using std::chrono::seconds;

    constexpr const char* nodeTargets[] = { peer_watch::target, table_exchange::target, owner_exchange::target,
        crash_exchange::target, range_balancer::target, range_replicas::target };

    /// Two whole nodes on loopback. Callers send to the entry of "entry"; only "owner" has a backend server, which
    /// answers each request with its target and body.
    class MeshNodeTest : public mesh_fixture {
    protected:
        void SetUp() override
        {
            addService("s", "h");
            addService("foreign", "foreign");
            http_server_limits limits;
            limits.headerBytes = 1 << 20;
            backend = http_server::listen(loop.base(), { "127.0.0.1", 0 }, limits, [this](http_exchange_ptr exchange) {
                runs.push_back(exchange->request());
                auto answer = backendAnswer;
                if (const auto id = exchange->request().headers.find("id"))
                    answer.head.headers.set("id", std::string(*id));
                answer.body = bodyFor(exchange->request());
                exchange->respond(std::move(answer));
            }).value();
        }

        /// Adds a node of the service "foreign", whose listener for other nodes the test plays.
        void addForeignNode(const endpoint& forward)
        {
            mesh_member member;
            member.node = "foreign-1";
            member.zone = "z";
            member.address = forward;
            member.service = "foreign";
            member.life = "f@1";
            member.backendId = "f";
            store.apply({ {}, { { { member_registry::table, member.node }, 0, toJson(member) } } });
        }

        http_response sendToForeignNode(const std::string& target)
        {
            http_request request { "POST", target, { { "Host", "foreign" }, { "id", "f1" }, { "timeout-ms", "60000" } },
                "" };
            return loop.fetch(entry->settings().entry, std::move(request)).value();
        }

        static std::string bodyFor(const http_request& request)
        {
            return request.method + " " + request.target + " " + request.body.text();
        }

        /// Starts both nodes and waits until requests get from one to the other.
        void startNodes()
        {
            storeConfiguration();
            owner = startNode("owner", "s", backend->address());
            entry = startNode("entry", "t", backend->address());
            ASSERT_EQ(announce(*owner, "i", 1), 200);
            while (send("/", "GET").head.status != 200) { }
            runs.clear();
        }

        http_response send(const std::string& target, const std::string& method, const http_headers& extra = {})
        {
            return mesh_fixture::send(*entry, "h", target, method, extra);
        }

        std::unique_ptr<http_server> backend;
        http_response backendAnswer { { 200, { { "signed", "1" } } }, "" };
        std::vector<http_request> runs;
        std::unique_ptr<mesh_node> owner;
        std::unique_ptr<mesh_node> entry;
    };

    // Guards against a caller's request that the node of its backend server answers as a message between nodes, because
    // of its target: the caller got a success, and the request never ran.
    TEST_F(MeshNodeTest, CallersRequestRunsWhateverItsTargetIs)
    {
        startNodes();
        for (const std::string target : nodeTargets) {
            for (const std::string method : { "GET", "PUT", "POST" }) {
                runs.clear();
                const auto answer = send(target, method);
                EXPECT_EQ(runs.size(), 1u) << method << " " << target << " got " << answer.head.status;
                if (runs.size() != 1)
                    continue;
                EXPECT_EQ(runs[0].method + runs[0].target, method + target);
                EXPECT_EQ(answer.head.status, 200);
                EXPECT_EQ(answer.body, bodyFor(runs[0]));
                EXPECT_TRUE(answer.head.headers.find("signed"));
            }
        }
    }

    // Guards against mixing up what callers and backend servers send with the headers between nodes.
    TEST_F(MeshNodeTest, ProtocolHeadersOfOthersHaveNoEffect)
    {
        startNodes();
        const http_headers foreign { { "heatherdrift-service", "" }, { "HEATHERDRIFT-Service", "other" },
            { "Heatherdrift-Target", "other" }, { "heatherdrift-verdict", "not_run" },
            { "heatherdrift-timeout-us", "0" }, { "Connection", "heatherdrift-service" } };
        for (const int status : { 200, 404, 413, 500 }) {
            backendAnswer = { { status, foreign }, "" };
            backendAnswer.head.headers.add("signed", "1");
            runs.clear();
            const auto answer = send(peer_watch::target, "POST", foreign);
            ASSERT_EQ(runs.size(), 1u) << status;
            EXPECT_EQ(answer.head.status, status);
            EXPECT_EQ(answer.body, bodyFor(runs[0]));
            EXPECT_FALSE(answer.head.headers.find("heatherdrift-verdict"));
            EXPECT_FALSE(runs[0].headers.find("heatherdrift-service"));
        }
    }

    // Guards against a refusal of a backend server that the entry node takes for one of another node, and the reverse:
    // the backend server states 421, and its node is still the intended one.
    TEST_F(MeshNodeTest, MisdirectedStatusOfTheBackendServerIsNoSignOfAnotherNode)
    {
        startNodes();
        backendAnswer = { { 421, { { "not-executed", "1" } } }, "" };
        EXPECT_EQ(send("/", "POST").head.status, 503);
        backendAnswer = { { 200, { { "signed", "1" } } }, "" };
        EXPECT_EQ(send("/", "POST").head.status, 200);
    }

    // Guards against a success that no backend server gave: a node of a former version takes the request for a ping.
    TEST_F(MeshNodeTest, SuccessOfANodeWithoutTheBackendServersSignatureIsNotPassedOn)
    {
        const auto former = loop.listen([](const http_exchange_ptr& exchange) {
            gate_answer answer;
            answer.outcome = verdict::ran;
            exchange->respond(encodeAnswer(std::move(answer)));
        });
        addForeignNode(former->address());
        startNodes();
        EXPECT_EQ(sendToForeignNode(peer_watch::target).head.status, 502);
    }

    // Guards against requests that the entry node accepts and the other node does not.
    TEST_F(MeshNodeTest, HeadsUpToTheConfiguredLimitReachTheBackendServer)
    {
        current.limits.headerBytes = 200 * 1024;
        startNodes();
        const auto answer = send("/", "POST", { { "large", std::string(150 * 1024, 'a') } });
        EXPECT_EQ(answer.head.status, 200);
        EXPECT_EQ(runs.size(), 1u);
    }

    // Guards against "may have run" for a request that the other node could not read.
    TEST_F(MeshNodeTest, RequestThatTheOtherNodeCannotReadIsRefusedAsNotRun)
    {
        http_server_limits limits;
        limits.headerBytes = 1024;
        const auto strict = http_server::listen(loop.base(), { "127.0.0.1", 0 }, limits, [](const auto&) {}).value();
        strict->setRejectionHeaders(rejectionHeaders());
        addForeignNode(strict->address());
        startNodes();
        EXPECT_EQ(sendToForeignNode("/" + std::string(2000, 'a')).head.status, 503);
        const auto own = loop.fetch(owner->settings().forward,
            { "POST", "/", { { "heatherdrift-target", "owner" }, { "heatherdrift-service", "" } }, "" });
        EXPECT_EQ(decodeAnswer(own.value()).value().outcome, verdict::not_run);
    }

    // Guards against answers to callers that reach another listener of the node by mistake, and against a listener that
    // the settings name and that nobody has bound.
    TEST_F(MeshNodeTest, OtherListenersServeTheirOwnTargetsOnly)
    {
        startNodes();
        const auto statusOf = [&](const endpoint& address, const std::string& target) {
            return loop.fetch(address, { "GET", target, {}, "" }).value().head.status;
        };
        EXPECT_EQ(statusOf(owner->settings().metrics, "/metrics"), 200);
        EXPECT_EQ(statusOf(owner->settings().metrics, "/"), 404);
        EXPECT_EQ(statusOf(owner->settings().readiness, "/ready"), 200);
        EXPECT_EQ(statusOf(owner->settings().readiness, "/"), 404);
        EXPECT_EQ(statusOf(owner->settings().forward, "/"), 421);
    }

    // Guards against an explanation of another choice than the node makes, and against one that sends a request or
    // fetches a range map.
    TEST_F(MeshNodeTest, MetricsListenerExplainsWhereARequestIsSent)
    {
        int fetches = 0;
        const auto foreign = loop.listen([&](const http_exchange_ptr& exchange) {
            fetches += exchange->request().target == range_replicas::target;
            exchange->respond({ { 503, {} }, "" });
        });
        addForeignNode(foreign->address());
        current.services.back().isPartitioned = true;
        startNodes();
        const auto explain = [&](const std::string& query) {
            const auto answer
                = loop.fetch(entry->settings().metrics, { "GET", "/explain?path=/x&host=" + query, {}, "" }).value();
            return std::pair(answer.head.status, json::parse(answer.body));
        };
        const auto page = explain("h").second;
        EXPECT_EQ(page["node"], "entry");
        EXPECT_EQ(page["configuration_version"], 1);
        EXPECT_EQ(page["route"]["name"], "r-s");
        EXPECT_EQ(page["candidates"].size(), 1u);
        EXPECT_EQ(page["decision"]["node"], "owner");
        EXPECT_EQ(
            explain("nowhere").second["decision"]["status"], mesh_fixture::send(*entry, "nowhere", "/x").head.status);

        const auto keyed = explain("foreign&key=7").second;
        EXPECT_EQ(keyed["service"]["name"], "foreign");
        EXPECT_EQ(keyed["range"], nullptr);
        EXPECT_EQ(keyed["decision"]["outcome"], "refuse");
        EXPECT_EQ(explain("h&key=x").first, 400);
        EXPECT_TRUE(runs.empty());
        EXPECT_EQ(fetches, 0);
        EXPECT_EQ(mesh_fixture::send(*entry, "foreign", "/x", "GET", { { "key", "7" } }).head.status,
            keyed["decision"]["status"]);
        EXPECT_GT(fetches, 0) << "a request fetches the map";
        EXPECT_EQ(send("/x", "GET").head.status, 200);
        EXPECT_EQ(runs.size(), 1u);
    }

    // Guards against running forwarded requests that the entry node cancelled while the gate's process was paused.
    TEST_F(MeshNodeTest, ForwardedRequestThatWasCancelledBeforeItWasReadDoesNotRun)
    {
        startNodes();
        const std::string head = "POST /a HTTP/1.1\r\nheatherdrift-target: owner\r\nheatherdrift-service: s\r\n"
                                 "heatherdrift-route: r\r\nheatherdrift-request-id: c1\r\nid: c1\r\n"
                                 "heatherdrift-timeout-us: 60000000\r\nheatherdrift-objective-us: 60000000\r\n"
                                 "heatherdrift-priority: 1\r\nContent-Length: 0\r\n\r\n";
        blocking_client waiting(owner->settings().forward);
        blocking_client cancelling(owner->settings().forward);
        waiting.send(head);
        loop.runUntil([&] { return runs.size() == 1; });
        std::string answer;
        loop.runUntil([&] { return (answer += waiting.takeArrived()).find("\r\n\r\n") != std::string::npos; });
        // The gate now has a connection to the backend server on which a request is written at once.
        cancelling.send(std::regex_replace(head, std::regex("c1"), "c2"));
        cancelling.close();
        loop.runReady();
        EXPECT_EQ(send("/b", "POST").head.status, 200);
        EXPECT_EQ(runs.size(), 2u);
    }

    // Guards against a message that makes a node take its range map for one of an earlier era of the store for good.
    TEST_F(MeshNodeTest, EraThatNoStoreStatesIsIgnored)
    {
        startNodes();
        const auto statedEraAfter = [&](const std::string& era) {
            http_request request { "GET", owner_exchange::target,
                { { targetNodeHeader, "owner" }, { "heatherdrift-store-era", era } }, "" };
            const auto answer = loop.fetch(owner->settings().forward, std::move(request)).value();
            return std::string(answer.head.headers.find("heatherdrift-store-era").value_or(""));
        };
        const auto initial = statedEraAfter("-1");
        for (const auto* era : { "8192", "9223372036854775807", "99999999999999999999", "5x", "x", "" })
            EXPECT_EQ(statedEraAfter(era), initial) << era;
        EXPECT_EQ(statedEraAfter("8191"), "8191");
    }

} // namespace
} // namespace heatherdrift
