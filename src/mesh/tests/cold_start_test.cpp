#include "http/tests/test_loop.h"
#include "mesh/internal/gate_service.h"
#include "mesh/tests/mesh_fixture.h"

#include <algorithm>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;
    using std::chrono::milliseconds;

    constexpr const char* healthPath = "/health";

    /// A gate beside a backend server that states whether it is cold.
    class ColdStartTest : public testing::Test {
    protected:
        ColdStartTest()
        {
            port.decodeAnswer = [](const http_response_head& head) {
                backend_answer answer { std::string(head.headers.find("id").value_or("")), false, true };
                if (const auto text = head.headers.find("cold-ms"))
                    answer.coldFor = milliseconds(std::stoi(std::string(*text)));
                if (const auto text = head.headers.find("slowdown"))
                    answer.load = server_load { 0, 0, 4, std::stod(std::string(*text)) };
                return answer;
            };
            backend = loop.listen([this](http_exchange_ptr exchange) { handle(std::move(exchange)); });
            settings.service = "s";
            settings.backend = backend->address();
            gate = std::make_unique<gate_service>(loop.base(), settings, port,
                gate_hooks { [](key_number) { return key_access::serve; }, [] { return std::int64_t { 0 }; },
                    [] { return std::optional<table_statements>(); },
                    [this](const backend_question&) { gate->setBackend({}); } });
        }

        void handle(http_exchange_ptr exchange)
        {
            const auto& request = exchange->request();
            if (request.target != healthPath) {
                arrivals.push_back(boot_clock::now());
                if (losesConnections)
                    return exchange->abort();
                const std::string id(request.headers.find("id").value_or(""));
                return exchange->respond({ { status, { { "id", id }, { "slowdown", slowdown } } }, "" });
            }
            ++checks;
            EXPECT_EQ(request.method, "GET");
            EXPECT_EQ(request.headers.find("only"), "i");
            if (answersChecks)
                exchange->respond({ { 200, { { "cold-ms", std::to_string(coldMs) } } }, "" });
            else
                silent.push_back(std::move(exchange));
        }

        /// Starts the gate's work beside a living backend server.
        void start(double rate = 16)
        {
            service_definition service { "s", 64 };
            service.coldRequestsPerSecond = rate;
            service.coldStart = 3s;
            service.healthPath = healthPath;
            gate->configure(service);
            gate->setBackend({ "i@1", "i", 64 });
        }

        void startWarm()
        {
            start();
            loop.runUntil([this] { return !gate->health().isLimiting(); });
        }

        void send(duration deadline = 60s, int priority = 1)
        {
            const auto id = "r" + std::to_string(++sent);
            routed_request request;
            request.message = { "POST", "/a", { { "id", id } }, "" };
            request.id = id;
            request.service = "s";
            request.route = "r";
            request.priority = priority;
            request.deadline = request.objective = boot_clock::now() + deadline;
            gate->execute(request, [this](gate_answer answer) { answers.push_back(std::move(answer)); });
        }

        void runFor(duration time)
        {
            bool isOver = false;
            timer end(loop.base(), [&] { isOver = true; });
            end.startOnce(time);
            loop.runUntil([&] { return isOver; });
        }

        bool hasSecondAbove(std::size_t rate) const
        {
            for (std::size_t i = rate; i < arrivals.size(); ++i) {
                if (arrivals[i] - arrivals[i - rate] < 1s)
                    return true;
            }
            return false;
        }

        test_loop loop;
        platform_port port = makeTestPort();
        mesh_settings settings;
        std::unique_ptr<http_server> backend;
        std::unique_ptr<gate_service> gate;
        std::vector<http_exchange_ptr> silent;
        std::vector<time_point> arrivals;
        std::vector<gate_answer> answers;
        int sent = 0;
        int checks = 0;
        int coldMs = 0;
        int status = 200;
        std::string slowdown = "1";
        bool answersChecks = true;
        bool losesConnections = false;
    };

    // Guards against a cold backend server that is overloaded after a loss of power, and against callers that wait for
    // nothing: what finds no start in time is refused at once, with the time of the next free start.
    TEST_F(ColdStartTest, ColdServerGetsNoMoreThanItsRate)
    {
        coldMs = 60'000;
        start();
        gate->recordHeartbeat(60s);
        for (int i = 0; i < 100; ++i)
            send(2500ms);
        const auto refused = answers.size();
        EXPECT_GE(refused, 60u);
        for (const auto& answer : answers) {
            EXPECT_EQ(answer.outcome, verdict::not_run);
            EXPECT_EQ(answer.reason, error_code::overloaded);
            EXPECT_GE(answer.retryAfter, 1s);
            ASSERT_TRUE(answer.load.status && answer.load.status->cold);
            EXPECT_EQ(answer.load.status->cold->requestsPerSecond, 16);
        }
        loop.runUntil([this] { return answers.size() == 100; });
        EXPECT_FALSE(hasSecondAbove(16));
        EXPECT_GE(arrivals.size(), 10u);
    }

    // Guards against a limit that stays after the backend server has stated that it is warm, and against health checks
    // while nothing changes.
    TEST_F(ColdStartTest, WarmServerIsNotLimited)
    {
        startWarm();
        for (int i = 0; i < 60; ++i)
            send();
        loop.runUntil([this] { return answers.size() == 60; });
        gate->recordHeartbeat(0s);
        // Service times that rise on a loaded machine may have caused a check.
        runFor(300ms);
        const int before = checks;
        runFor(600ms);
        EXPECT_EQ(checks, before);
        EXPECT_EQ(gate->load().status->cold, std::nullopt);
    }

    // Guards against the requests of a restarted gate that come on top of those of its predecessor, and against a
    // backend server of unknown state that counts as warm.
    TEST_F(ColdStartTest, RestartedGateSendsNothingWhileTheStateIsUnknown)
    {
        const auto startedAt = boot_clock::now();
        answersChecks = false;
        start();
        for (int i = 0; i < 5; ++i)
            send();
        loop.runUntil([this] { return answers.size() == 5; });
        EXPECT_GE(arrivals.front() - startedAt, 1s);
        // The check is repeated a few times, then a heartbeat is awaited.
        loop.runUntil([this] { return checks == 3; });
        runFor(1500ms);
        EXPECT_EQ(checks, 3);
        EXPECT_TRUE(gate->health().isLimiting());
        gate->recordHeartbeat(0s);
        EXPECT_FALSE(gate->health().isLimiting());
    }

    // Guards against a backend server that restarts cold under the same id and gets the requests of a warm one until
    // its first heartbeat.
    TEST_F(ColdStartTest, LostConnectionCausesACheck)
    {
        startWarm();
        losesConnections = true;
        coldMs = 5000;
        send();
        loop.runUntil([this] { return answers.size() == 1; });
        EXPECT_TRUE(gate->health().isLimiting());
        losesConnections = false;
        for (int i = 0; i < 40; ++i)
            send(3s);
        loop.runUntil([this] { return answers.size() == 41; });
        EXPECT_GE(checks, 2);
        EXPECT_FALSE(hasSecondAbove(16));
    }

    // Guards against a warm backend server that is limited for long, and against refusals, after a single lost answer.
    TEST_F(ColdStartTest, LostConnectionOfAWarmServerCausesNoRefusal)
    {
        startWarm();
        for (int i = 0; i < 40; ++i)
            send();
        loop.runUntil([this] { return answers.size() == 40; });
        losesConnections = true;
        send();
        loop.runUntil([this] { return answers.size() == 41; });
        losesConnections = false;
        for (int i = 0; i < 20; ++i)
            send(5s);
        loop.runUntil([this] { return answers.size() == 61; });
        EXPECT_EQ(std::ranges::count(answers, verdict::ran, &gate_answer::outcome), 60);
        EXPECT_FALSE(gate->health().isLimiting());
    }

    // Guards against a backend server that turns cold while it runs, and is overloaded until its next heartbeat; and
    // against one that counts as cold for ever.
    TEST_F(ColdStartTest, RiseOfTheSlowdownAndTheStatedEndCauseChecks)
    {
        startWarm();
        runFor(1s);
        coldMs = 300;
        slowdown = "3";
        for (int i = 0; i < 10; ++i)
            send();
        loop.runUntil([this] { return gate->health().isLimiting(); });
        const int before = checks;
        EXPECT_GE(before, 2);
        coldMs = 0;
        loop.runUntil([this] { return !gate->health().isLimiting(); });
        EXPECT_EQ(checks, before + 1);
        gate->suspectCold();
        EXPECT_TRUE(gate->health().isLimiting());
        loop.runUntil([this] { return !gate->health().isLimiting(); });
        EXPECT_GE(checks, before + 2);
    }

    // Guards against starts that are used up by requests that the backend server refuses as another's.
    TEST_F(ColdStartTest, MisdirectedRequestsDoNotCount)
    {
        coldMs = 60'000;
        start();
        gate->recordHeartbeat(60s);
        status = 421;
        runFor(1100ms);
        for (int i = 0; i < 40; ++i) {
            send(500ms);
            loop.runUntil([&] { return answers.size() == static_cast<std::size_t>(i) + 1; });
        }
        EXPECT_EQ(arrivals.size(), 40u);
    }

    // Guards against a rate of the previous life, or of none, that applies to a new life until its first statement.
    TEST_F(ColdStartTest, NewLifeCountsAsColdUntilItsStatement)
    {
        startWarm();
        answersChecks = false;
        gate->setBackend({ "i@2", "i", 64 });
        EXPECT_TRUE(gate->health().isLimiting());
        gate->recordHeartbeat(0s);
        EXPECT_FALSE(gate->health().isLimiting());
    }

    // Guards against a backend server that counts as warm for ever by an old statement.
    TEST_F(ColdStartTest, ServerWithoutHeartbeatsAndHealthAnswersCountsAsCold)
    {
        startWarm();
        gate->recordHeartbeat(0s);
        answersChecks = false;
        loop.runUntil([this] { return gate->health().isLimiting(); });
        EXPECT_GE(checks, 2);
        gate->recordHeartbeat(0s);
        EXPECT_FALSE(gate->health().isLimiting());
    }

    // Guards against any effect on services without a cold rate.
    TEST_F(ColdStartTest, ServiceWithoutAColdRateIsNeitherCheckedNorLimited)
    {
        start(0);
        gate->recordHeartbeat(60s);
        losesConnections = true;
        send();
        loop.runUntil([this] { return answers.size() == 1; });
        losesConnections = false;
        for (int i = 0; i < 60; ++i)
            send();
        loop.runUntil([this] { return answers.size() == 61; });
        gate->suspectCold();
        EXPECT_EQ(checks, 0);
        EXPECT_FALSE(gate->health().isLimiting());
        EXPECT_EQ(gate->load().status->cold, std::nullopt) << "its stated load is reported as before";
    }

    /// A whole node whose backend server states in heartbeats how much longer it is cold.
    class ColdNodeTest : public mesh_fixture {
    protected:
        ColdNodeTest()
        {
            port.decodeAnnouncement = [this, decode = port.decodeAnnouncement](const http_request& request) {
                auto announcement = decode(request);
                announcement.value().coldFor = coldFor;
                return announcement;
            };
        }

        bool isLimited(const mesh_node& node)
        {
            const auto metrics = loop.fetch(node.settings().metrics, { "GET", "/metrics", {}, "" }).value();
            return metrics.body.find("\nheatherdrift_backend_cold 1\n") != std::string::npos;
        }

        duration coldFor {};
    };

    // Guards against a rate in the configuration, or a statement in a heartbeat, that does not reach the gate.
    TEST_F(ColdNodeTest, HeartbeatsAndTheConfigurationDecideOnTheLimit)
    {
        addService("s", "h");
        current.services[0].coldRequestsPerSecond = 16;
        storeConfiguration();
        const auto node = startNode("n", "s", { "127.0.0.1", 9 });
        while (loop.fetch(node->settings().readiness, { "GET", "/ready", {}, "" }).value().head.status != 200) { }
        EXPECT_TRUE(isLimited(*node)) << "unknown state";
        ASSERT_EQ(announce(*node, "i", 1), 200);
        EXPECT_FALSE(isLimited(*node));
        coldFor = 2s;
        ASSERT_EQ(announce(*node, "i", 1), 200);
        EXPECT_TRUE(isLimited(*node));
    }

} // namespace
} // namespace heatherdrift
