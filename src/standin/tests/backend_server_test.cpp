#include "http/tests/test_loop.h"
#include "standin/answer_content.h"
#include "standin/backend_server.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace heatherdrift {
namespace {

    using json = nlohmann::json;

    /// A backend server whose clock stands still unless a test moves it.
    class backend_server_test : public testing::Test {
    protected:
        void start(backend_server_settings settings = {})
        {
            settings.now = [this] { return now; };
            settings.serviceTime = {};
            settings.onCrash = [this] { ++crashCount; };
            server = backend_server::start(loop.base(), settings).value();
            client = http_client::create(loop.base(), server->address(), 64);
        }

        http_request work(const std::string& id, http_headers headers = {}) const
        {
            headers.add("heatherdrift-request-id", id);
            return { "GET", "/", std::move(headers), {} };
        }

        result<http_response> fetch(http_request request) { return loop.fetch(*client, std::move(request)); }
        int statusOf(http_request request) { return fetch(std::move(request)).value().head.status; }

        /// Sends a request whose answer is not waited for.
        http_call_ptr begin(http_request request, std::optional<int>* status = nullptr)
        {
            http_call_handlers handlers;
            if (status)
                handlers.onHead = [status](const http_response_head& head) { *status = head.status; };
            return client->start(std::move(request), test_loop::farDeadline(), handlers);
        }

        void putFaults(const std::string& faults) { loop.putFaults(server->controlAddress(), faults); }

        json journal(const std::string& query = "")
        {
            const auto answer = loop.fetch(server->controlAddress(), { "GET", "/journal" + query, {}, {} });
            return json::parse(answer.value().body)["executions"];
        }

        json load() { return json::parse(fetch({ "GET", "/load", {}, {} }).value().body); }

        /// Waits until the server reports so many requests.
        void awaitLoad(int running, int queued)
        {
            while (load() != json { { "running", running }, { "queued", queued }, { "slots", 1 } })
                loop.runReady();
        }

        static backend_server_settings oneSlot()
        {
            backend_server_settings settings;
            settings.slots = 1;
            settings.queueBound = 1;
            return settings;
        }

        void expectRefused(http_request request, int status)
        {
            const auto answer = fetch(std::move(request));
            ASSERT_TRUE(answer.has_value());
            EXPECT_EQ(answer.value().head.status, status);
            EXPECT_EQ(answer.value().head.headers.find("heatherdrift-verdict"), "not_run");
        }

        const http_headers forever { { "standin-service-ms", "3600000" } };
        test_loop loop;
        time_point now { std::chrono::hours(1) };
        int crashCount = 0;
        std::unique_ptr<backend_server> server;
        std::unique_ptr<http_client> client;
    };

    // Guards against an answer to another request that a load generator cannot tell.
    TEST_F(backend_server_test, AnswersRepeatTheIdentityOfTheirRequest)
    {
        start();
        for (const std::size_t size : { 0u, 100u, 300000u }) {
            auto request
                = work("id-1", { { "heatherdrift-key", "k" }, { "standin-response-bytes", std::to_string(size) } });
            request.method = "POST";
            request.body = "body";
            const auto answer = fetch(request).value();
            EXPECT_EQ(answer.head.status, 200);
            EXPECT_EQ(answer.head.headers.find("heatherdrift-request-id"), "id-1");
            EXPECT_EQ(answer.head.headers.find("heatherdrift-key"), "k");
            const answer_content expected("id-1", "k", "body", size);
            EXPECT_EQ(answer.body.size(), expected.size());
            EXPECT_GE(answer.body.size(), size);
            EXPECT_TRUE(expected.matches(0, answer.body));
            EXPECT_TRUE(expected.matches(10, std::string_view(answer.body).substr(10)));
            EXPECT_FALSE(answer_content("id-2", "k", "body", size).matches(0, answer.body));
            EXPECT_FALSE(answer_content("id-1", "k", "bodY", size).matches(0, answer.body));
        }
    }

    // The grant has expired: without the option, grants are not checked.
    TEST_F(backend_server_test, JournalCountsTheRunsOfAToken)
    {
        start();
        const http_headers headers { { "heatherdrift-token", "tok" }, { "heatherdrift-key", "k" },
            { "heatherdrift-grant", "p/3/7/1" } };
        EXPECT_EQ(statusOf(work("a", headers)), 200);
        EXPECT_EQ(statusOf(work("b")), 200);
        EXPECT_EQ(statusOf(work("c", headers)), 200);
        const auto all = journal();
        ASSERT_EQ(all.size(), 3u);
        const json expected { { "number", 1 }, { "id", "a" }, { "key", "k" }, { "token", "tok" }, { "epoch", 7 },
            { "start_us", now.time_since_epoch().count() }, { "end_us", now.time_since_epoch().count() },
            { "completed", true }, { "cancelled", false } };
        EXPECT_EQ(all[0], expected);
        EXPECT_EQ(journal("?token=tok").size(), 2u);
        EXPECT_EQ(journal("?after=2").size(), 1u);
    }

    TEST_F(backend_server_test, QueuesUpToItsBoundAndThenSheds)
    {
        start(oneSlot());
        const auto running = begin(work("a", forever));
        awaitLoad(1, 0);
        std::optional<int> status;
        begin(work("b"), &status);
        awaitLoad(1, 1);
        expectRefused(work("c"), 503);
        running->cancel();
        loop.runUntil([&] { return status.has_value(); });
        EXPECT_EQ(status, 200);
        EXPECT_EQ(journal().size(), 2u);
    }

    // Guards against work that goes on, or keeps its slot, after its caller left.
    TEST_F(backend_server_test, ClosedConnectionsCancelTheirWork)
    {
        start(oneSlot());
        const auto running = begin(work("running", forever));
        awaitLoad(1, 0);
        const auto queued = begin(work("queued"));
        awaitLoad(1, 1);
        queued->cancel();
        awaitLoad(1, 0);
        running->cancel();
        awaitLoad(0, 0);
        const auto streaming
            = begin(work("streamed", { { "standin-response-bytes", "1000000" }, { "standin-rate-bytes-per-s", "1" } }));
        awaitLoad(1, 0);
        streaming->cancel();
        awaitLoad(0, 0);
        const auto all = journal();
        ASSERT_EQ(all.size(), 2u);
        for (const auto& entry : all) {
            EXPECT_EQ(entry["cancelled"], true);
            EXPECT_EQ(entry["completed"], false);
        }
    }

    TEST_F(backend_server_test, BeginsNothingAfterTheDeadline)
    {
        start(oneSlot());
        expectRefused(work("late", { { "heatherdrift-timeout-ms", "0" } }), 504);
        const auto running = begin(work("a", forever));
        awaitLoad(1, 0);
        std::optional<int> status;
        begin(work("b", { { "heatherdrift-timeout-ms", "1000" } }), &status);
        awaitLoad(1, 1);
        now += std::chrono::seconds(1);
        running->cancel();
        loop.runUntil([&] { return status.has_value(); });
        EXPECT_EQ(status, 504);
        EXPECT_EQ(journal().size(), 1u);
    }

    struct grant_case {
        const char* grant;
        int status;
    };

    // Guards against work of a former owner: an old epoch or a lease that has ended.
    TEST_F(backend_server_test, ChecksGrantsIfAsked)
    {
        auto settings = oneSlot();
        settings.checksGrants = true;
        start(settings);
        const auto end = std::to_string(now.time_since_epoch().count());
        const auto later = std::to_string(now.time_since_epoch().count() + 1000000);
        const std::pair<std::string, int> cases[] = {
            { "p/1/5/" + later, 200 },
            { "p/1/5/" + later, 200 },
            { "p/1/4/" + later, 409 },
            { "p/1/6/" + end, 409 },
            { "p/1/5/" + later, 409 }, // Epoch 6 was seen, although its lease had ended.
            { "p/2/1/" + later, 200 },
            { "q/1/1/" + later, 200 },
            { "p/1/" + later, 400 },
            { "p/x/1/" + later, 400 },
            { "p/1/-1/" + later, 400 },
        };
        for (const auto& [grant, status] : cases) {
            if (status == 200)
                EXPECT_EQ(statusOf(work("a", { { "heatherdrift-grant", grant } })), 200) << grant;
            else
                expectRefused(work("a", { { "heatherdrift-grant", grant } }), status);
        }
        const auto runs = journal().size();
        const auto running = begin(work("a", forever));
        awaitLoad(1, 0);
        std::optional<int> status;
        begin(work("b", { { "heatherdrift-grant", "p/1/6/" + later } }), &status);
        awaitLoad(1, 1);
        now += std::chrono::seconds(1); // The lease ends in the queue.
        running->cancel();
        loop.runUntil([&] { return status.has_value(); });
        EXPECT_EQ(status, 409);
        EXPECT_EQ(journal().size(), runs + 1);
    }

    TEST_F(backend_server_test, RefusesMalformedHeaders)
    {
        start();
        for (const auto* name :
            { "standin-service-ms", "standin-response-bytes", "standin-rate-bytes-per-s", "heatherdrift-timeout-ms" }) {
            expectRefused(work("a", { { name, "x" } }), 400);
            expectRefused(work("a", { { name, "-1" } }), 400);
        }
        for (const auto* faults :
            { "[]", R"({"x":1})", R"({"health":"good"})", R"({"load":{"running":1}})", R"({"slow_ms":-1})" })
            EXPECT_EQ(loop.fetch(server->controlAddress(), { "PUT", "/faults", {}, faults }).value().head.status, 400)
                << faults;
    }

    TEST_F(backend_server_test, StreamsAtMostAtTheGivenRate)
    {
        start();
        const auto begun = boot_clock::now();
        const auto answer
            = fetch(work("a", { { "standin-response-bytes", "20000" }, { "standin-rate-bytes-per-s", "100000" } }));
        ASSERT_TRUE(answer.has_value());
        EXPECT_EQ(answer.value().body.size(), 20000u);
        EXPECT_GE(boot_clock::now() - begun, std::chrono::milliseconds(200) - test_loop::clockTick);
    }

    struct service_time_case {
        const char* name;
        http_headers headers;
        duration sinceStart;
        int leastMs;
    };

    // Guards against a stand-in that is faster than it was set to be.
    TEST_F(backend_server_test, ServiceTimesFollowTheirSources)
    {
        backend_server_settings settings;
        settings.serviceTimeByKind = { { "report", std::chrono::milliseconds(40) } };
        settings.coldStart = std::chrono::seconds(10);
        settings.coldFactor = 2;
        settings.connectionCost = std::chrono::milliseconds(50);
        start(settings);
        const service_time_case cases[] = {
            { "by kind, cold, on a new connection", { { "heatherdrift-labels", "a=b,kind=report" } }, {}, 130 },
            { "by header, cold", { { "heatherdrift-labels", "kind=report" }, { "standin-service-ms", "20" } }, {}, 40 },
            { "by kind, warm", { { "heatherdrift-labels", "kind=report" } }, std::chrono::seconds(10), 40 },
        };
        const auto startedAt = now;
        for (const auto& entry : cases) {
            now = startedAt + entry.sinceStart;
            const auto begun = boot_clock::now();
            EXPECT_EQ(statusOf(work("a", entry.headers)), 200);
            EXPECT_GE(boot_clock::now() - begun, std::chrono::milliseconds(entry.leastMs) - test_loop::clockTick)
                << entry.name;
        }
        putFaults(R"({"slow_ms":50})");
        const auto begun = boot_clock::now();
        EXPECT_EQ(statusOf(work("a")), 200);
        EXPECT_GE(boot_clock::now() - begun, std::chrono::milliseconds(50) - test_loop::clockTick);
    }

    TEST_F(backend_server_test, FrozenServerKeepsItsConnectionsAndAnswersLater)
    {
        start();
        putFaults(R"({"freeze":true})");
        std::optional<int> status;
        std::optional<int> health;
        const auto call = begin(work("a"), &status);
        const auto check = begin({ "GET", "/health", {}, {} }, &health);
        loop.runUntil([&] { return call->hasWritten() && check->hasWritten(); });
        loop.runReady();
        EXPECT_EQ(status, std::nullopt);
        EXPECT_EQ(health, std::nullopt);
        EXPECT_EQ(client->connectionCount(), 2);
        putFaults("{}");
        loop.runUntil([&] { return status && health; });
        EXPECT_EQ(status, 200);
    }

    // Guards against a crash that loses the record of what ran.
    TEST_F(backend_server_test, SimulatedCrashClosesEverythingForATime)
    {
        auto settings = oneSlot();
        settings.crashWord = "boom";
        start(settings);
        putFaults(R"({"crash_down_ms":100})");
        EXPECT_EQ(statusOf(work("harmless", { { "standin-crash", "other" } })), 200);
        const auto answer = fetch(work("deadly", { { "standin-crash", "boom" } }));
        ASSERT_TRUE(answer.has_error());
        EXPECT_EQ(answer.error().outcome, verdict::may_have_run);
        while (loop.fetch(server->address(), work("again")).has_error())
            loop.runReady();
        const auto all = journal();
        ASSERT_EQ(all.size(), 3u);
        EXPECT_EQ(all[1]["id"], "deadly");
        EXPECT_EQ(all[1]["completed"], false);
        EXPECT_EQ(all[1]["cancelled"], false);
        EXPECT_EQ(crashCount, 0);
        putFaults(R"({"crash_word":"bang"})");
        const auto real = begin(work("deadly", { { "standin-crash", "bang" } }));
        loop.runUntil([&] { return crashCount == 1; });
    }

    TEST_F(backend_server_test, DownServerLosesRunningAndQueuedRequests)
    {
        start(oneSlot());
        const auto running = begin(work("a", forever));
        awaitLoad(1, 0);
        const auto queued = begin(work("b"));
        awaitLoad(1, 1);
        putFaults(R"({"down_ms":100})");
        while (loop.fetch(server->address(), { "GET", "/load", {}, {} }).has_error())
            loop.runReady();
        awaitLoad(0, 0);
        EXPECT_EQ(journal().size(), 1u);
        EXPECT_EQ(statusOf(work("c")), 200);
    }

    TEST_F(backend_server_test, DrainingServerFinishesItsWorkAndTakesNoMore)
    {
        start(oneSlot());
        std::optional<int> status;
        // More than the sockets buffer, so that it runs until the client reads on.
        const auto running = begin(work("a", { { "standin-response-bytes", "100000000" } }), &status);
        loop.runUntil([&] { return status.has_value(); });
        running->pause();
        awaitLoad(1, 0);
        putFaults(R"({"drain":true})");
        expectRefused(work("b"), 503);
        EXPECT_EQ(statusOf({ "GET", "/health", {}, {} }), 503);
        running->resume();
        awaitLoad(0, 0);
        EXPECT_EQ(status, 200);
        EXPECT_EQ(journal()[0]["completed"], true);
    }

    TEST_F(backend_server_test, ReportsCanLagAndLie)
    {
        start(oneSlot());
        now += std::chrono::seconds(10);
        const auto running = begin(work("a", forever));
        awaitLoad(1, 0);
        putFaults(R"({"report_lag_ms":5000,"drain":true})");
        EXPECT_EQ(load()["running"], 0);
        EXPECT_EQ(statusOf({ "GET", "/health", {}, {} }), 200);
        now += std::chrono::seconds(5);
        EXPECT_EQ(load()["running"], 1);
        EXPECT_EQ(statusOf({ "GET", "/health", {}, {} }), 503);
        putFaults(R"({"drain":true,"health":"ok","load":{"running":7,"queued":9}})");
        EXPECT_EQ(statusOf({ "GET", "/health", {}, {} }), 200);
        EXPECT_EQ(load(), json::parse(R"({"running":7,"queued":9,"slots":1})"));
        putFaults(R"({"health":"failing"})");
        EXPECT_EQ(statusOf({ "GET", "/health", {}, {} }), 503);
    }

    TEST_F(backend_server_test, AnnouncesItselfAgainAndAgain)
    {
        std::vector<http_request> announcements;
        const auto admin = loop.listen([&](const http_exchange_ptr& exchange) {
            announcements.push_back(exchange->request());
            exchange->respond({});
        });
        backend_server_settings settings;
        settings.announceTo = admin->address();
        settings.labels = { { "pool", "lookup" } };
        settings.slots = 3;
        settings.checksGrants = true;
        start(settings);
        loop.runUntil([&] { return announcements.size() == 2; });
        for (const auto& request : announcements) {
            EXPECT_EQ(request.method, "POST");
            EXPECT_EQ(request.target, "/v1/announcements");
            const json expected { { "address", toString(server->address()) }, { "labels", { { "pool", "lookup" } } },
                { "slots", 3 }, { "checks_grants", true } };
            EXPECT_EQ(json::parse(request.body.text()), expected);
        }
    }

} // namespace
} // namespace heatherdrift
