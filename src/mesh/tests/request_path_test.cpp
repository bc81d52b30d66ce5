#include "http/tests/test_loop.h"
#include "mesh/internal/entry_service.h"

#include <climits>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// A port with headers of its own.
    platform_port makeTestPort()
    {
        platform_port port;
        port.decodeRequest = [](const http_request& message) -> result<caller_request> {
            caller_request out;
            out.id = message.headers.find("id").value_or("");
            out.host = message.headers.find("Host").value_or("");
            out.path = message.target;
            if (const auto timeout = message.headers.find("timeout-ms"))
                out.timeout = milliseconds(std::stoi(std::string(*timeout)));
            if (const auto key = message.headers.find("key"))
                out.key = static_cast<key_number>(std::stoi(std::string(*key)));
            return out;
        };
        port.addBackendHeaders = [](http_headers& headers, const backend_call& call) {
            headers.set("only", call.backendId);
            headers.set("caller", call.callerService);
        };
        port.decodeAnswer = [](const http_response_head& head) {
            return backend_answer { std::string(head.headers.find("id").value_or("")),
                head.headers.find("not-executed").has_value(), head.headers.find("signed").has_value() };
        };
        port.addRetryAfter = [](http_response_head& head, duration delay) {
            head.headers.set("retry-after-us", std::to_string(delay.count()));
        };
        return port;
    }

    /// One node with its backend server, which answers as the test says.
    class RequestPathTest : public testing::Test {
    protected:
        void SetUp() override
        {
            backend = loop.listen([this](http_exchange_ptr exchange) {
                ++arrivals;
                lastRequest = exchange->request();
                onRequest(std::move(exchange));
            });
            settings.node = "n1";
            settings.zone = "z1";
            settings.service = "s";
            settings.backend = backend->address();
            gate = std::make_unique<gate_service>(loop.base(), settings, port,
                gate_hooks { [this](key_number) { return access; }, [] { return std::int64_t { 0 }; },
                    [] { return std::optional<known_tables>(); }, [] {} });
            gate->setBackend({ "i@1", "i", 2 });
            directory = std::make_unique<mesh_directory>(loop.base(), settings);
            mesh_member self;
            self.node = "n1";
            self.zone = "z1";
            self.service = "s";
            self.life = "i@1";
            directory->update(self, boot_clock::now());
            map = range_map().assign({ 0, lastKey }, "i@1", 1);
            entry = std::make_unique<entry_service>(
                entry_context { loop.base(), settings, port, routes, *directory, *gate, &metrics,
                    [this](const std::string&) { return mapQuestions++ < unansweredMapQuestions ? nullptr : &map; },
                    [](const std::string&) {}, [](const instance_id&) {}, [](const instance_id&) {},
                    [](const std::string&, const instance_id&, row_version) {},
                    [](const instance_id&, const known_tables&, time_point) {} });
            server = loop.listen([this](http_exchange_ptr exchange) { entry->handle(std::move(exchange)); });
        }

        void configure(bool isIdempotent, bool isPartitioned = false)
        {
            route_configuration configuration;
            configuration.version = 1;
            configuration.routes.push_back(
                { "r", "h", "/", isIdempotent, { { "s", 1 } }, 2, seconds(5), milliseconds(500), 1 });
            configuration.services.push_back({ "s", 10, isPartitioned });
            routes.apply(configuration);
        }

        http_response fetch(int timeoutMs = 2000)
        {
            http_request request { "POST", "/a",
                { { "Host", "h" }, { "id", "r1" }, { "caller", "forged" }, { "key", "5" },
                    { "timeout-ms", std::to_string(timeoutMs) } },
                "body" };
            const auto client = http_client::create(loop.base(), server->address(), 1);
            return loop.fetch(*client, std::move(request)).value();
        }

        static http_response signedAnswer(int status, const std::string& body)
        {
            return { { status, { { "signed", "1" }, { "id", "r1" } } }, body };
        }

        test_loop loop;
        mesh_settings settings;
        platform_port port = makeTestPort();
        mesh_metrics metrics;
        route_table routes;
        range_map map;
        int mapQuestions = 0;
        int unansweredMapQuestions = 0;
        key_access access = key_access::serve;
        std::unique_ptr<http_server> backend;
        std::unique_ptr<gate_service> gate;
        std::unique_ptr<mesh_directory> directory;
        std::unique_ptr<entry_service> entry;
        std::unique_ptr<http_server> server;
        int arrivals = 0;
        http_request lastRequest;
        std::function<void(http_exchange_ptr)> onRequest
            = [](http_exchange_ptr exchange) { exchange->respond(signedAnswer(200, "whole")); };
    };

    TEST_F(RequestPathTest, RequestAndAnswerComeThroughUnchanged)
    {
        configure(true);
        const auto answer = fetch();
        EXPECT_EQ(answer.head.status, 200);
        EXPECT_EQ(answer.body, "whole");
        EXPECT_TRUE(answer.head.headers.find("signed"));
        EXPECT_EQ(lastRequest.body, "body");
        EXPECT_EQ(lastRequest.headers.find("caller"), "s");
        EXPECT_EQ(lastRequest.headers.find("only"), "i");
        EXPECT_FALSE(lastRequest.headers.find("heatherdrift-verdict"));
    }

    // Guards against 404 by a node that knows no configuration yet.
    TEST_F(RequestPathTest, WithoutAConfigurationRequestsAreRefused)
    {
        EXPECT_EQ(fetch().head.status, 503);
        configure(true);
        routes.apply({ 2, {}, {}, {} });
        EXPECT_EQ(fetch().head.status, 404);
        EXPECT_EQ(arrivals, 0);
    }

    // Guards against a request that runs twice, and against "not run" for one that may have run.
    TEST_F(RequestPathTest, LostAnswerOfARequestThatMayRunOnceIsNotRepeated)
    {
        configure(false);
        onRequest = [](http_exchange_ptr exchange) { exchange->abort(); };
        EXPECT_EQ(fetch().head.status, 502);
        EXPECT_EQ(arrivals, 1);
    }

    // Guards against a success that a broken backend server never made.
    TEST_F(RequestPathTest, SuccessWithoutTheBackendServersMarkIsAFailure)
    {
        configure(false);
        onRequest = [](http_exchange_ptr exchange) { exchange->respond({ { 200, { { "id", "r1" } } }, "x" }); };
        EXPECT_EQ(fetch().head.status, 502);
    }

    // Guards against a failure in place of a promise: the backend server said that it did not run the request.
    TEST_F(RequestPathTest, RequestThatTheBackendServerDidNotRunIsRefusedWithATime)
    {
        configure(false);
        onRequest = [](http_exchange_ptr exchange) { exchange->respond({ { 503, { { "not-executed", "1" } } }, "" }); };
        const auto answer = fetch();
        EXPECT_EQ(answer.head.status, 503);
        EXPECT_TRUE(answer.head.headers.find("retry-after-us"));
    }

    // Guards against an own failure in place of the backend server's.
    TEST_F(RequestPathTest, FailureOfTheBackendServerIsDelivered)
    {
        configure(true);
        onRequest = [](http_exchange_ptr exchange) { exchange->respond(signedAnswer(500, "broken")); };
        const auto answer = fetch();
        EXPECT_EQ(answer.head.status, 500);
        EXPECT_EQ(answer.body, "broken");
    }

    // Guards against a request for a key that reaches a backend server that is not its owner.
    TEST_F(RequestPathTest, KeysOfOthersAreNotSentToTheBackendServer)
    {
        configure(true, true);
        access = key_access::refuse;
        EXPECT_EQ(fetch().head.status, 503);
        EXPECT_EQ(arrivals, 0);
    }

    // Pattern "first seconds": guards against refusals because a node that has just started does not know the range map
    // yet (iarc-mesh-grown quiet-1: 373 refusals in the first second).
    TEST_F(RequestPathTest, FirstRequestForAKeyAwaitsTheRangeMap)
    {
        configure(true, true);
        unansweredMapQuestions = 2;
        EXPECT_EQ(fetch().head.status, 200);
        unansweredMapQuestions = INT_MAX;
        EXPECT_EQ(fetch().head.status, 503);
    }

    // Guards against requests that reach a backend server after it was told that it may leave.
    TEST_F(RequestPathTest, ClosedGateSendsNothing)
    {
        configure(true);
        gate->closeAt(boot_clock::now());
        EXPECT_EQ(fetch().head.status, 503);
        EXPECT_EQ(arrivals, 0);
        EXPECT_TRUE(gate->load().isDraining);
    }

    // Guards against a request that is taken by a stopping process and cut when it ends (iarc-mesh trouble-3, seed
    // 1039176871820).
    TEST_F(RequestPathTest, StoppingNodeRefusesWhatMayOutlastIt)
    {
        configure(true);
        entry->endAt(boot_clock::now() + seconds(60));
        EXPECT_EQ(fetch(2000).head.status, 200);
        entry->endAt(boot_clock::now() + seconds(1));
        EXPECT_EQ(fetch(4000).head.status, 503);
        EXPECT_EQ(arrivals, 1);
    }

    // Guards against work for a caller that is gone: its connection to the backend server is closed.
    TEST_F(RequestPathTest, CallerThatLeavesCancelsItsRequest)
    {
        configure(true);
        http_exchange_ptr held;
        bool isCancelled = false;
        onRequest = [&](http_exchange_ptr exchange) {
            held = std::move(exchange);
            held->onClosed([&] { isCancelled = true; });
        };
        const auto client = http_client::create(loop.base(), server->address(), 1);
        http_request request { "POST", "/a", { { "Host", "h" }, { "id", "r1" } }, "" };
        const auto call = client->start(std::move(request), test_loop::farDeadline(), {});
        loop.runUntil([&] { return held != nullptr; });
        call->cancel();
        loop.runUntil([&] { return isCancelled; });
        EXPECT_EQ(gate->inProgress(), 0u);
    }

    // Pattern "hangs when full": guards against more requests at the backend server than it has slots.
    TEST_F(RequestPathTest, RequestsBeyondTheSlotsWaitAtTheGate)
    {
        configure(true);
        std::vector<http_exchange_ptr> held;
        onRequest = [&](http_exchange_ptr exchange) { held.push_back(std::move(exchange)); };
        const auto client = http_client::create(loop.base(), server->address(), 4);
        int answered = 0;
        for (int i = 0; i < 4; ++i) {
            http_call_handlers handlers;
            handlers.onDone = [&](const result<void>& how) { answered += how.has_value(); };
            client->start(
                { "POST", "/a", { { "Host", "h" }, { "id", "r1" } }, "" }, test_loop::farDeadline(), handlers);
        }
        loop.runUntil([&] { return held.size() == 2; });
        for (int i = 0; i < 10; ++i)
            loop.runReady();
        EXPECT_EQ(held.size(), 2u);
        for (std::size_t i = 0; i < 4; ++i) {
            loop.runUntil([&] { return held.size() > i; });
            held[i]->respond(signedAnswer(200, "x"));
        }
        loop.runUntil([&] { return answered == 4; });
    }

} // namespace
} // namespace heatherdrift
