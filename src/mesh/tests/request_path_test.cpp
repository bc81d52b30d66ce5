#include "http/tests/raw_peers.h"
#include "http/tests/test_loop.h"
#include "mesh/internal/entry_service.h"
#include "mesh/internal/retry_time.h"
#include "mesh/tests/test_port.h"

#include <climits>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// One node with a backend server whose responses the test sets.
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
                    [] { return std::optional<table_statements>(); }, [](const backend_question&) {} });
            gate->setBackend({ "i@1", "i", 2 });
            directory = std::make_unique<mesh_directory>(loop.base(), settings);
            mesh_member self;
            self.node = "n1";
            self.zone = "z1";
            self.service = "s";
            self.life = "i@1";
            directory->update(self, boot_clock::now());
            map = range_map().assign({ 0, lastKey }, "i@1", 1);
            entry = std::make_unique<entry_service>(entry_context { loop.base(), settings, port, routes, *directory,
                *gate, &metrics,
                [this](const std::string&) { return mapLookups++ < failingMapLookups ? nullptr : &map; },
                [](const std::string&) {}, [](const peer_question&) {}, [](const instance_id&) {},
                [](const std::string&, const instance_id&, row_version) {},
                [](const instance_id&, const table_statements&, time_point) {}, [this] { return configurationWait; } });
            server = loop.listen([this](http_exchange_ptr exchange) { entry->handle(std::move(exchange)); });
        }

        void configure(bool isIdempotent, bool isPartitioned = false)
        {
            route_configuration configuration;
            configuration.version = routes.version() + 1;
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
        int mapLookups = 0;
        int failingMapLookups = 0;
        std::optional<duration> configurationWait;
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

    TEST_F(RequestPathTest, RequestAndResponseArePassedUnchanged)
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

    // Guards against uploads that end a backend server for its memory without a figure that shows it.
    TEST_F(RequestPathTest, BytesThatTheBackendServerHoldsAreCounted)
    {
        configure(true);
        std::size_t during = 0;
        onRequest = [&](http_exchange_ptr exchange) {
            during = gate->bytesAtBackend();
            exchange->respond(signedAnswer(200, "whole"));
        };
        fetch();
        EXPECT_EQ(during, 4u);
        EXPECT_EQ(gate->bytesAtBackend(), 0u);
        EXPECT_EQ(gate->mostBytesAtBackend(), 4u);
    }

    // Guards against a 404 response by a node that has no configuration yet.
    TEST_F(RequestPathTest, WithoutAConfigurationRequestsAreRefused)
    {
        EXPECT_EQ(fetch().head.status, 503);
        configure(true);
        routes.apply({ 2, {}, {}, {} });
        EXPECT_EQ(fetch().head.status, 404);
        EXPECT_EQ(arrivals, 0);
    }

    // Guards against a 404 response for a route that exists in a newer configuration, which the node has heard of and
    // not received yet: proper requests were denied for seconds.
    TEST_F(RequestPathTest, UnknownRouteIsRefusedAsNotRunWhileANewerConfigurationIsOnItsWay)
    {
        configure(true);
        routes.apply({ 2, {}, {}, {} });
        configurationWait = milliseconds(200);
        const auto answer = fetch();
        EXPECT_EQ(answer.head.status, 503);
        const auto retryAfter = answer.head.headers.find("retry-after-us");
        ASSERT_TRUE(retryAfter);
        const milliseconds delay(std::stoi(std::string(*retryAfter)) / 1000);
        EXPECT_GE(delay, milliseconds(100));
        EXPECT_LE(delay, milliseconds(300));
        configurationWait.reset();
        EXPECT_EQ(fetch().head.status, 404);
        EXPECT_EQ(arrivals, 0);
    }

    // Guards against running a request twice and against reporting "not run" for one that may have run.
    TEST_F(RequestPathTest, NonIdempotentRequestIsNotRetriedAfterALostResponse)
    {
        configure(false);
        onRequest = [](http_exchange_ptr exchange) { exchange->abort(); };
        EXPECT_EQ(fetch().head.status, 502);
        EXPECT_EQ(arrivals, 1);
    }

    // Guards against a signed answer with a status that callers do not understand, which is passed on.
    TEST_F(RequestPathTest, InvalidStatusIsABrokenAnswer)
    {
        configure(false);
        for (const int status : { 0, 99, 600, 999 }) {
            arrivals = 0;
            onRequest = [&](http_exchange_ptr exchange) { exchange->respond(signedAnswer(status, "whole")); };
            EXPECT_EQ(fetch().head.status, 502) << status;
            EXPECT_EQ(arrivals, 1) << status;
        }
    }

    // The same for a request that may be sent again. A retry for a key goes to the same backend server.
    TEST_F(RequestPathTest, SafeRequestIsSentAgainAfterAnInvalidStatus)
    {
        settings.retryShare = 4; // The budget does not decide.
        configure(true, true);
        onRequest = [&](http_exchange_ptr exchange) {
            exchange->respond(signedAnswer(arrivals % 2 == 1 ? 0 : 200, "whole"));
        };
        EXPECT_EQ(fetch().head.status, 200);
        EXPECT_EQ(arrivals, 2);
    }

    // Guards against passing on a success response that the backend server itself did not produce.
    TEST_F(RequestPathTest, SuccessWithoutTheBackendServersSignatureIsAFailure)
    {
        configure(false);
        onRequest = [](http_exchange_ptr exchange) { exchange->respond({ { 200, { { "id", "r1" } } }, "x" }); };
        EXPECT_EQ(fetch().head.status, 502);
    }

    // Guards against an error response where the backend server stated that it did not run the request and a refusal
    // with a retry time is due.
    TEST_F(RequestPathTest, RequestThatTheBackendServerDidNotRunIsRefusedWithARetryTime)
    {
        configure(false);
        onRequest = [](http_exchange_ptr exchange) { exchange->respond({ { 503, { { "not-executed", "1" } } }, "" }); };
        const auto answer = fetch();
        EXPECT_EQ(answer.head.status, 503);
        EXPECT_TRUE(answer.head.headers.find("retry-after-us"));
    }

    // Guards against replacing the backend server's error response by one of the node.
    TEST_F(RequestPathTest, ErrorResponseOfTheBackendServerIsReturned)
    {
        configure(true);
        onRequest = [](http_exchange_ptr exchange) { exchange->respond(signedAnswer(500, "broken")); };
        const auto answer = fetch();
        EXPECT_EQ(answer.head.status, 500);
        EXPECT_EQ(answer.body, "broken");
    }

    // Guards against sending a request for a key to a backend server that does not own it.
    TEST_F(RequestPathTest, RequestsForKeysOfOthersAreNotSentToTheBackendServer)
    {
        configure(true, true);
        access = key_access::refuse;
        EXPECT_EQ(fetch().head.status, 503);
        EXPECT_EQ(arrivals, 0);
    }

    // Guards against keyed requests that are refused while the keys of an evacuated owner could still move, that are
    // sent to it later, or that do not follow the keys to their new owner.
    TEST_F(RequestPathTest, KeyedRequestsFollowTheKeysOutOfAnEvacuatedZone)
    {
        configure(false, true);
        mesh_member other;
        other.node = "n2";
        other.zone = "z2";
        other.service = "s";
        other.life = "j@1";
        directory->update(other, boot_clock::now());
        const auto now = boot_clock::now();
        directory->setEvacuated({ { "z1", { now, now + seconds(60) } } }, now);
        EXPECT_EQ(fetch().head.status, 200);
        directory->setEvacuated({ { "z1", { now, now } } }, now);
        EXPECT_EQ(fetch().head.status, 503);
        EXPECT_EQ(arrivals, 1);
        directory->setEvacuated({ { "z2", { now, now } } }, now);
        map = range_map().assign({ 0, lastKey }, "j@1", 2);
        timer newMap(loop.base(), [this] { map = range_map().assign({ 0, lastKey }, "i@1", 3); });
        newMap.startOnce(milliseconds(50));
        EXPECT_EQ(fetch().head.status, 200);
    }

    // Guards against requests that wait for a server, or are told to return at once, while all zones are evacuated.
    TEST_F(RequestPathTest, RequestsOfAWhollyEvacuatedServiceAreRefusedAtOnce)
    {
        for (const bool isPartitioned : { false, true }) {
            configure(true, isPartitioned);
            const auto now = boot_clock::now();
            directory->setEvacuated({ { "z1", { now, now + seconds(60) } } }, now);
            const auto answer = fetch();
            EXPECT_EQ(answer.head.status, 503);
            EXPECT_GT(std::stoi(std::string(answer.head.headers.find("retry-after-us").value_or("0"))), 1'000'000);
        }
        EXPECT_EQ(arrivals, 0);
    }

    // Guards against refusals by a node that has just started and has no range map yet (373 refusals were seen in the
    // first second).
    TEST_F(RequestPathTest, FirstRequestForAKeyAwaitsTheRangeMap)
    {
        configure(true, true);
        failingMapLookups = 2;
        EXPECT_EQ(fetch().head.status, 200);
        failingMapLookups = INT_MAX;
        EXPECT_EQ(fetch().head.status, 503);
    }

    // Guards against requests that reach a backend server after the end of its drain time.
    TEST_F(RequestPathTest, ClosedGateSendsNothing)
    {
        configure(true);
        gate->closeAt(boot_clock::now());
        EXPECT_EQ(fetch().head.status, 503);
        EXPECT_EQ(arrivals, 0);
        EXPECT_TRUE(gate->load().isDraining);
    }

    // Guards against a request that a stopping process accepts and then aborts when it ends.
    TEST_F(RequestPathTest, StoppingNodeRefusesRequestsWithLaterDeadlines)
    {
        configure(true);
        entry->endAt(boot_clock::now() + seconds(60));
        EXPECT_EQ(fetch(2000).head.status, 200);
        entry->endAt(boot_clock::now() + seconds(1));
        EXPECT_EQ(fetch(4000).head.status, 503);
        EXPECT_EQ(arrivals, 1);
    }

    // Guards against requests of other nodes that a stopping node passes on late and cuts when its process ends, among
    // them those that may not be repeated.
    TEST_F(RequestPathTest, GateOfAStoppingNodeRefusesRequestsWithLaterDeadlines)
    {
        configure(false);
        gate->endAt(boot_clock::now() + seconds(1));
        EXPECT_EQ(fetch(4000).head.status, 503);
        EXPECT_EQ(arrivals, 0);
        gate->endAt(boot_clock::now() + seconds(60));
        EXPECT_EQ(fetch(4000).head.status, 200);
        EXPECT_EQ(arrivals, 1);
    }

    // Guards against a retry that is scheduled for a time after the caller's deadline: while the keys of a restarted
    // node had no owner, hundreds of callers got no answer instead of a true refusal.
    TEST(RetryTime, NoRetryIsAwaitedBeyondTheDeadline)
    {
        const time_point now { seconds(100) };
        const auto next = now + retry_time::interval;
        EXPECT_TRUE(retry_time::isInTime(next, next + milliseconds(21)));
        EXPECT_FALSE(retry_time::isInTime(next, next + milliseconds(20)));
        EXPECT_FALSE(retry_time::isInTime(next, now + milliseconds(30)));
    }

    // Guards against a refusal that takes the place of a retry for which there is time.
    TEST_F(RequestPathTest, KeyWithoutAnOwnerIsRetriedWithinTheDeadline)
    {
        configure(true, true);
        access = key_access::refuse;
        EXPECT_EQ(fetch(60'000).head.status, 503);
        EXPECT_GE(mapLookups, 4);
        EXPECT_EQ(arrivals, 0);
    }

    // Guards against running a request whose caller has disconnected; its connection to the backend server is closed.
    TEST_F(RequestPathTest, DisconnectOfTheCallerCancelsItsRequest)
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

    // Guards against running requests that their callers gave up while the process was paused: 12 of 40 ran 0.9 s after
    // the close.
    TEST_F(RequestPathTest, RequestWhoseCallerHasLeftBeforeItWasReadDoesNotRun)
    {
        configure(false);
        // Leaves a connection to the backend server on which the next request is written at once.
        EXPECT_EQ(fetch().head.status, 200);
        blocking_client caller(server->address());
        caller.send("POST /a HTTP/1.1\r\nHost: h\r\nid: r2\r\nContent-Length: 0\r\n\r\n");
        caller.close();
        loop.runUntil([&] { return server->connectionCount() == 1; });
        loop.runUntil([&] { return server->connectionCount() == 0; });
        EXPECT_EQ(gate->inProgress(), 0u);
        loop.runReady();
        EXPECT_EQ(arrivals, 1);
    }

    // Guards against running queued requests whose callers have left: after a pause of the process, the answer that
    // frees a slot may be read before the ends of the callers' connections.
    TEST_F(RequestPathTest, QueuedRequestWhoseCallerHasLeftDoesNotRun)
    {
        configure(false);
        std::vector<http_exchange_ptr> held;
        onRequest = [&](http_exchange_ptr exchange) { held.push_back(std::move(exchange)); };
        int answered = 0;
        bool hasLeft = false;
        for (int i = 0; i < 4; ++i) {
            routed_request request;
            request.message = { "POST", "/a", {}, "" };
            request.id = "r" + std::to_string(i);
            request.service = "s";
            request.deadline = request.objective = test_loop::farDeadline();
            const auto isThird = i == 2;
            gate->execute(
                request, [&](const gate_answer&) { ++answered; }, {}, [&, isThird] { return hasLeft && isThird; });
        }
        loop.runUntil([&] { return held.size() == 2; });
        hasLeft = true;
        held[0]->respond({ { 200, { { "signed", "1" } } }, "x" });
        loop.runUntil([&] { return held.size() == 3; });
        EXPECT_EQ(gate->inProgress(), 2u);
        held[1]->respond({ { 200, { { "signed", "1" } } }, "x" });
        held[2]->respond({ { 200, { { "signed", "1" } } }, "x" });
        loop.runUntil([&] { return answered == 3; });
        EXPECT_EQ(arrivals, 3);
        EXPECT_EQ(gate->inProgress(), 0u);
    }

    // Guards against more concurrent requests at the backend server than it has slots, which can make it hang.
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

    // Guards against nested calls that are not attributed to the running request, and against requests of callers on
    // the same instance that are: both come from the own host.
    TEST_F(RequestPathTest, NestedCallsOfTheBackendServerAreLearned)
    {
        settings.scheduling.ranksByCaller = true;
        SetUp();
        route_configuration configuration;
        configuration.version = 1;
        for (const char* name : { "outer", "inner", "plain" })
            configuration.routes.push_back(
                { name, name, "/", false, { { "s", 1 } }, 1, seconds(60), milliseconds(500), 1 });
        configuration.services.push_back({ "s", 10, false });
        routes.apply(configuration);
        const auto send = [&](const std::string& route, const std::function<void(result<http_response>)>& onAnswer) {
            http_request request { "POST", "/a", { { "Host", route }, { "id", "r1" }, { "timeout-ms", "60000" } }, "" };
            const auto client = std::make_shared<std::unique_ptr<http_client>>(
                http_client::create(loop.base(), server->address(), 1));
            heatherdrift::fetch(**client, std::move(request), test_loop::farDeadline(), 1000,
                [client, onAnswer](result<http_response> answer) { onAnswer(std::move(answer)); });
        };
        // Callers use the routes from the instances of several services.
        for (int i = 0; i < 160; ++i) {
            routed_request request;
            request.message = { "POST", "/a", { { "id", "r1" } }, "" };
            request.id = "r1";
            request.route = i % 2 == 0 ? "outer" : "plain";
            request.service = "s";
            request.callerService = i % 4 < 2 ? "s" : "t";
            request.deadline = request.objective = test_loop::farDeadline();
            bool isDone = false;
            gate->execute(request, [&](const gate_answer&) { isDone = true; });
            loop.runUntil([&] { return isDone; });
        }
        // While the backend server runs one request, it makes a call, and a caller sends another request.
        for (int i = 0; i < 60; ++i) {
            int done = 0;
            http_exchange_ptr outer;
            onRequest = [&](http_exchange_ptr exchange) { outer = std::move(exchange); };
            send("outer", [&](const result<http_response>&) { ++done; });
            loop.runUntil([&] { return outer != nullptr; });
            onRequest = [](http_exchange_ptr exchange) { exchange->respond(signedAnswer(200, "")); };
            send("inner", [&](const result<http_response>&) { ++done; });
            loop.runUntil([&] { return done == 1; });
            send("plain", [&](const result<http_response>&) { ++done; });
            loop.runUntil([&] { return done == 2; });
            outer->respond(signedAnswer(200, ""));
            loop.runUntil([&] { return done == 3; });
        }
        const auto calls = gate->nestedCalls().graph().callsOf("outer", 1, boot_clock::now());
        ASSERT_EQ(calls.size(), 1u);
        EXPECT_EQ(calls[0].route, "inner");
        EXPECT_EQ(gate->nestedCalls().graph().height("outer"), 1);
        EXPECT_EQ(gate->nestedCalls().graph().height("inner"), 0);
    }

} // namespace
} // namespace heatherdrift
