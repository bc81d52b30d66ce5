#include "http/tests/test_loop.h"
#include "mesh/internal/gate_service.h"
#include "mesh/tests/test_port.h"

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// A gate whose backend server holds each request until the test answers it.
    class NestedRequestTest : public testing::Test {
    protected:
        void start(bool ranksByCaller, int slots)
        {
            server = loop.listen([this](http_exchange_ptr exchange) { held.push_back(std::move(exchange)); });
            settings.service = "s";
            settings.backend = server->address();
            settings.scheduling.ranksByCaller = ranksByCaller;
            settings.scheduling.limitsCalls = ranksByCaller;
            gate_hooks hooks { [](key_number) { return key_access::serve; }, [] { return std::int64_t { 0 }; },
                [] { return std::optional<table_statements>(); }, [](const backend_question&) {} };
            hooks.statuses = [this](const std::string&, time_point) { return statuses; };
            gate = std::make_unique<gate_service>(loop.base(), settings, port, std::move(hooks));
            gate->setBackend({ "i@1", "i", slots });
        }

        /// Returns the index of the answer, once there is one.
        std::size_t send(const std::string& route, int priority, const std::string& callerService,
            std::optional<outer_request> outer = std::nullopt)
        {
            routed_request request;
            request.message = { "POST", "/" + route, { { "id", route } }, "" };
            request.id = request.route = route;
            request.service = "s";
            request.callerService = callerService;
            request.priority = priority;
            request.isFromOwnHost = true;
            request.outer = outer;
            request.deadline = request.objective = boot_clock::now() + seconds(60);
            const auto index = answers.size();
            answers.emplace_back();
            gate->execute(request, [this, index](gate_answer answer) { answers[index] = std::move(answer); });
            return index;
        }

        void answerNext(int status = 200)
        {
            loop.runUntil([&] { return !held.empty(); });
            const auto exchange = held.front();
            held.erase(held.begin());
            order.push_back(exchange->request().target);
            exchange->respond(
                { { status, { { "signed", "1" }, { "id", exchange->request().target.substr(1) } } }, "" });
        }

        void serve(const std::string& route, const std::string& callerService)
        {
            const auto index = send(route, 1, callerService);
            answerNext();
            loop.runUntil([&] { return answers[index].has_value(); });
        }

        /// Requests of several services to one route, and of one service to another: the latter counts as nested.
        void learnOrigins()
        {
            for (int i = 0; i < 40; ++i) {
                serve("open", i % 2 == 0 ? "s" : "t");
                serve("inner", "t");
            }
            order.clear();
        }

        test_loop loop;
        platform_port port = makeTestPort();
        mesh_settings settings;
        std::unique_ptr<http_server> server;
        std::unique_ptr<gate_service> gate;
        std::vector<http_exchange_ptr> held;
        std::vector<std::optional<gate_answer>> answers;
        std::vector<std::string> order;
        std::vector<reported_status> statuses;
    };

    // Guards against a header of urgency that a caller's request profits from, and against nested requests that rank by
    // their route; and against a change of the order without the setting.
    TEST_F(NestedRequestTest, OnlyNestedRequestsRankAsTheOuterRequest)
    {
        for (const bool ranksByCaller : { true, false }) {
            start(ranksByCaller, 1);
            learnOrigins();
            const auto first = send("open", 1, "s");
            send("inner", 1, "t", outer_request { 3, 1 });
            send("open", 2, "s", outer_request { 0, 1 });
            send("other", 1, "s");
            for (int i = 0; i < 4; ++i)
                answerNext();
            loop.runUntil([&] { return answers[first + 3].has_value() && answers[first + 1].has_value(); });
            const std::vector<std::string> ranked { "/open", "/other", "/open", "/inner" };
            const std::vector<std::string> asBefore { "/open", "/inner", "/other", "/open" };
            EXPECT_EQ(order, ranksByCaller ? ranked : asBefore);
            EXPECT_EQ(answers[first + 1]->nestedHeight, ranksByCaller ? std::optional(0) : std::nullopt);
            EXPECT_FALSE(answers[first]->nestedHeight);
        }
    }

    // Guards against work that is thrown away: the called service states that it is full for longer than the calls may
    // wait. The refusal has to be true, and must not be repeated at each gate of the service.
    TEST_F(NestedRequestTest, RequestWithoutCapacityForItsCallsIsRefusedBeforeItRuns)
    {
        start(true, 4);
        auto& calls = gate->nestedCalls();
        for (int i = 0; i < 20; ++i) {
            send("outer", 1, "s");
            loop.runUntil([&] { return !held.empty(); });
            const auto now = boot_clock::now();
            const auto call = calls.attribute({ "called", "u", now + milliseconds(150), now + milliseconds(500) }, now);
            ASSERT_TRUE(call.has_value());
            EXPECT_EQ(call->parent.priority, 1);
            calls.onCallEnded(*call, call_outcome::answered, 0, now);
            answerNext();
            loop.runUntil([&] { return answers.back().has_value(); });
            EXPECT_EQ(answers.back()->outcome, verdict::ran);
        }
        server_status full;
        full.expectedWaits.fill(seconds(3));
        statuses = { { full, milliseconds(10) } };
        const auto known = boot_clock::now() + milliseconds(60); // Statuses are looked up again after 50 ms.
        while (boot_clock::now() < known)
            loop.runReady();
        int refused = 0;
        for (int i = 0; i < 10; ++i) {
            const auto index = send("outer", 1, "s");
            if (!answers[index])
                continue;
            ++refused;
            EXPECT_EQ(answers[index]->outcome, verdict::not_run);
            EXPECT_EQ(answers[index]->reason, error_code::overloaded);
            EXPECT_FALSE(answers[index]->reachedBackend);
            EXPECT_TRUE(answers[index]->isFinal);
            EXPECT_GE(answers[index]->retryAfter, seconds(2));
        }
        EXPECT_GE(refused, 8);
        EXPECT_EQ(calls.refusedExecutions(), static_cast<std::uint64_t>(refused));
    }

} // namespace
} // namespace heatherdrift
