#include "http/tests/test_loop.h"
#include "mesh/internal/entry_service.h"
#include "mesh/tests/test_port.h"

#include <algorithm>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr int slots = 8;

    /// A node whose backend server holds each request until the test answers it.
    class ReturnPathTest : public testing::Test {
    protected:
        void start(bool plansReturns)
        {
            entryServer.reset();
            entry.reset();
            directory.reset();
            gate.reset();
            server = loop.listen([this](http_exchange_ptr exchange) { held.push_back(std::move(exchange)); });
            settings.node = "n1";
            settings.service = "s";
            settings.backend = server->address();
            settings.scheduling.plansReturns = plansReturns;
            gate = std::make_unique<gate_service>(loop.base(), settings, port,
                gate_hooks { [](key_number) { return key_access::serve; }, [] { return std::int64_t { 0 }; },
                    [] { return std::optional<table_statements>(); }, [](const backend_question&) {} });
            gate->setBackend({ "i@1", "i", slots });
            directory = std::make_unique<mesh_directory>(loop.base(), settings);
            mesh_member self;
            self.node = "n1";
            self.service = "s";
            self.life = "i@1";
            directory->update(self, boot_clock::now());
            entry = std::make_unique<entry_service>(
                entry_context { loop.base(), settings, port, routes, *directory, *gate, &metrics,
                    [](const std::string&) { return nullptr; }, [](const std::string&) {}, [](const peer_question&) {},
                    [](const instance_id&) {}, [](const std::string&, const instance_id&, row_version) {},
                    [](const instance_id&, const table_statements&, time_point) {},
                    [] { return std::optional<duration>(); } });
            entryServer = loop.listen([this](http_exchange_ptr exchange) { entry->handle(std::move(exchange)); });
            route_configuration configuration;
            configuration.version = 1;
            configuration.routes.push_back(
                { "r", "h", "/", true, { { "s", 1 } }, 2, seconds(5), milliseconds(500), 1 });
            configuration.services.push_back({ "s", 10, false });
            routes.apply(configuration);
        }

        void send(const std::string& id, time_point deadline, key_number key = 5)
        {
            routed_request request;
            request.message = { "POST", "/" + id, { { "id", id } }, "" };
            request.id = id;
            request.route = "r";
            request.service = "s";
            request.priority = 1;
            request.key = key;
            request.deadline = deadline;
            request.objective = std::min(deadline, boot_clock::now() + milliseconds(300));
            gate->execute(request, [this, id](gate_answer answer) { answers[id] = std::move(answer); });
        }

        /// Sends requests until one is refused, and returns its name.
        std::string fill(time_point deadline)
        {
            for (int i = 0; answers.empty() && i < 100; ++i)
                send("new" + std::to_string(i), deadline);
            return answers.empty() ? "" : answers.begin()->first;
        }

        void runFor(duration time)
        {
            bool isOver = false;
            timer end(loop.base(), [&] { isOver = true; });
            end.startOnce(time);
            loop.runUntil([&] { return isOver; });
        }

        test_loop loop;
        platform_port port = makeTestPort();
        mesh_settings settings;
        mesh_metrics metrics;
        route_table routes;
        std::unique_ptr<http_server> server;
        std::unique_ptr<gate_service> gate;
        std::unique_ptr<mesh_directory> directory;
        std::unique_ptr<entry_service> entry;
        std::unique_ptr<http_server> entryServer;
        std::vector<http_exchange_ptr> held;
        std::map<std::string, gate_answer> answers;
    };

    // Guards against a caller that comes back when it was told to and is refused again or waits behind new requests.
    TEST_F(ReturnPathTest, RequestThatReturnsAtItsTimeGetsTheNextSlot)
    {
        start(true);
        const auto deadline = boot_clock::now() + seconds(3);
        const auto refused = fill(deadline);
        ASSERT_FALSE(refused.empty());
        const auto told = answers.at(refused);
        EXPECT_EQ(told.outcome, verdict::not_run);
        EXPECT_EQ(told.reason, error_code::overloaded);
        EXPECT_TRUE(told.isReturnAssigned);
        EXPECT_LE(told.retryAfter, seconds(1));
        loop.runUntil([&] { return held.size() == slots; });
        runFor(told.retryAfter);
        send("return", deadline);
        EXPECT_EQ(gate->returnCounts(), (return_counts { 1, 1, 0 }));
        EXPECT_FALSE(answers.contains("return"));
        held[0]->respond({ { 200, { { "signed", "1" }, { "id", held[0]->request().target.substr(1) } } }, "" });
        loop.runUntil([&] { return held.size() == slots + 1; });
        EXPECT_EQ(held.back()->request().target, "/return");
        // The refused attempt has not reached the backend server.
        EXPECT_TRUE(std::ranges::none_of(
            held, [&](const auto& exchange) { return exchange->request().target == "/" + refused; }));
    }

    // Guards against a change of refusals without the setting.
    TEST_F(ReturnPathTest, WithoutTheSettingNoTimeIsAssigned)
    {
        start(false);
        const auto refused = fill(boot_clock::now() + seconds(3));
        ASSERT_FALSE(refused.empty());
        EXPECT_FALSE(answers.at(refused).isReturnAssigned);
        EXPECT_FALSE(answers.at(refused).load.status);
        EXPECT_EQ(gate->returnCounts(), return_counts());
    }

    // Guards against an entry node that does not pass its assigned times on to callers, or their places to the gate.
    TEST_F(ReturnPathTest, EntryNodeAssignsTimesForRequestsWithoutAKey)
    {
        start(true);
        const auto client = http_client::create(loop.base(), entryServer->address(), 100);
        int answered = 0;
        std::optional<time_point> toldAt; ///< Time at which the first refused caller is to return.
        const auto fetchOnce = [&](const std::string& id, duration timeout) {
            const auto ms = std::chrono::duration_cast<milliseconds>(timeout).count();
            heatherdrift::fetch(*client,
                { "POST", "/" + id, { { "Host", "h" }, { "id", id }, { "timeout-ms", std::to_string(ms) } }, "" },
                test_loop::farDeadline(), 1000, [&](result<http_response> response) {
                    ++answered;
                    const auto told = response.value().head.headers.find("retry-after-us");
                    if (told && !toldAt)
                        toldAt = boot_clock::now() + duration(std::stoll(std::string(*told)));
                });
        };
        const auto answerAt = [&](std::size_t index) {
            const auto id = held[index]->request().target.substr(1);
            held[index]->respond({ { 200, { { "signed", "1" }, { "id", id } } }, "" });
        };
        for (int round = 1; round <= 3; ++round) {
            for (int i = 0; i < slots; ++i)
                fetchOnce("served", seconds(2));
            loop.runUntil([&] { return held.size() == slots; });
            runFor(milliseconds(50));
            for (std::size_t i = 0; i < slots; ++i)
                answerAt(i);
            loop.runUntil([&] { return answered == round * slots; });
            held.clear();
        }
        // One after the other, so that the refused request is the last one and was sent just before: its deadline
        // identifies its return.
        time_point sentAt {};
        for (int i = 0; !toldAt && i < 200; ++i) {
            sentAt = boot_clock::now();
            fetchOnce("new", seconds(2));
            runFor(milliseconds(2));
        }
        ASSERT_TRUE(toldAt) << "no request was refused";
        EXPECT_EQ(entry->returnCounts().assigned, 1u);
        runFor(*toldAt - boot_clock::now());
        const auto answeredBefore = answered;
        fetchOnce("return", seconds(2) - (boot_clock::now() - sentAt));
        loop.runUntil([&] { return entry->returnCounts().onTime == 1 || answered > answeredBefore; });
        ASSERT_EQ(entry->returnCounts().onTime, 1u);
        answerAt(0);
        loop.runUntil([&] { return held.size() > slots; });
        EXPECT_EQ(held.back()->request().target, "/return");
    }

    // Guards against requests that are sent from gate to gate although none can start them in time, and against a
    // refusal that stays after the gates have capacity again.
    TEST_F(ReturnPathTest, RequestThatNoServerCanStartInTimeIsRefusedWithoutAnAttempt)
    {
        for (const bool plansReturns : { true, false }) {
            start(plansReturns);
            gate_load load;
            load.life = "i@1";
            load.status = server_status();
            load.status->expectedWaits.fill(seconds(30));
            load.status->serviceTime = milliseconds(100);
            directory->recordAnswer("n1", load, boot_clock::now());
            const auto client = http_client::create(loop.base(), entryServer->address(), 2);
            std::optional<http_response> answer;
            const auto fetchOnce = [&] {
                answer.reset();
                heatherdrift::fetch(*client,
                    { "POST", "/a", { { "Host", "h" }, { "id", "r1" }, { "timeout-ms", "2000" } }, "" },
                    test_loop::farDeadline(), 1000,
                    [&](result<http_response> response) { answer = std::move(response).value(); });
                loop.runUntil([&] { return answer || !held.empty(); });
            };
            fetchOnce();
            ASSERT_EQ(answer.has_value(), plansReturns);
            if (!plansReturns)
                return;
            EXPECT_EQ(answer->head.status, 503);
            EXPECT_TRUE(answer->head.headers.find("retry-after-us"));
            EXPECT_NE(metrics.text().find("heatherdrift_refused_without_attempt_total 1"), std::string::npos);
            load.status->expectedWaits.fill({});
            directory->recordAnswer("n1", load, boot_clock::now() + milliseconds(1));
            fetchOnce();
            EXPECT_FALSE(held.empty());
            held.clear();
        }
    }

} // namespace
} // namespace heatherdrift
