#include "http/tests/test_loop.h"
#include "mesh/internal/gate_service.h"
#include "mesh/tests/test_port.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// A gate with one slot whose backend server answers when the test lets it.
    class GateEvacuationTest : public testing::Test {
    protected:
        GateEvacuationTest()
            : server(loop.listen([this](http_exchange_ptr exchange) { runs.push_back(std::move(exchange)); }))
        {
            settings.service = "s";
            settings.backend = server->address();
            gate_hooks hooks { [](key_number) { return key_access::serve; }, [] { return std::int64_t { 0 }; },
                [] { return std::optional<table_statements>(); }, [](const backend_question&) {} };
            hooks.onEvacuationEnded = [this] { ++reopened; };
            gate = std::make_unique<gate_service>(loop.base(), settings, port, std::move(hooks));
            gate->setBackend({ "i@1", "i", 1 });
        }

        /// Returns the position of its answer.
        std::size_t send(std::optional<key_number> key)
        {
            routed_request request;
            request.message = { "POST", "/a", {}, "" };
            request.id = "r" + std::to_string(answers.size());
            request.route = "r";
            request.service = "s";
            request.key = key;
            request.deadline = request.objective = test_loop::farDeadline();
            const auto position = answers.size();
            answers.emplace_back();
            gate->execute(request, [this, position](gate_answer value) { answers[position] = std::move(value); });
            return position;
        }

        bool isRefused(std::size_t position) const
        {
            const auto& answer = answers[position];
            return answer && answer->outcome == verdict::not_run && answer->reason == error_code::draining;
        }

        void finish(std::size_t run)
        {
            loop.runUntil([&] { return runs.size() > run; });
            runs[run]->respond({ { 200, { { "signed", "1" } } }, "" });
        }

        test_loop loop;
        platform_port port = makeTestPort();
        mesh_settings settings;
        std::vector<http_exchange_ptr> runs;
        std::vector<std::optional<gate_answer>> answers;
        int reopened = 0;
        std::unique_ptr<http_server> server;
        std::unique_ptr<gate_service> gate;
    };

    // Guards against running requests that are cut, and against waiting ones without a key that are sent later.
    TEST_F(GateEvacuationTest, RunningRequestsEndAndWaitingOnesAreRefused)
    {
        const auto running = send(std::nullopt);
        const auto waiting = send(std::nullopt);
        loop.runUntil([&] { return runs.size() == 1; });
        gate->startEvacuation(boot_clock::now() + seconds(60));
        EXPECT_TRUE(isRefused(waiting));
        EXPECT_TRUE(isRefused(send(std::nullopt)));
        EXPECT_FALSE(answers[running]);
        finish(0);
        loop.runUntil([&] { return answers[running].has_value(); });
        EXPECT_EQ(answers[running]->outcome, verdict::ran);
        EXPECT_EQ(runs.size(), 1u);
    }

    // Guards against keys that are refused before they could move, and against keyed requests that are still waiting at
    // the end of the time.
    TEST_F(GateEvacuationTest, KeyedRequestsAreServedUntilTheEndOfTheTime)
    {
        gate->startEvacuation(boot_clock::now() + milliseconds(150));
        const auto running = send(key_number { 5 });
        const auto waiting = send(key_number { 6 });
        EXPECT_FALSE(answers[running] || answers[waiting]);
        loop.runUntil([&] { return answers[waiting].has_value(); });
        EXPECT_TRUE(isRefused(waiting));
        EXPECT_TRUE(isRefused(send(key_number { 5 })));
        finish(0);
        loop.runUntil([&] { return answers[running].has_value(); });
        EXPECT_EQ(answers[running]->outcome, verdict::ran);
    }

    // Guards against a gate that stays closed after the withdrawal, or opens without a notice that the backend server
    // may be cold.
    TEST_F(GateEvacuationTest, GateReopensAfterTheWithdrawal)
    {
        gate->awaitEvacuations(boot_clock::now() + seconds(60));
        EXPECT_TRUE(isRefused(send(std::nullopt)));
        gate->endEvacuation();
        EXPECT_EQ(reopened, 0);
        gate->startEvacuation(boot_clock::now());
        EXPECT_TRUE(isRefused(send(key_number { 5 })));
        gate->endEvacuation();
        EXPECT_EQ(reopened, 1);
        const auto served = send(std::nullopt);
        finish(0);
        loop.runUntil([&] { return answers[served].has_value(); });
        EXPECT_EQ(answers[served]->outcome, verdict::ran);
    }

} // namespace
} // namespace heatherdrift
