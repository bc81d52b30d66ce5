#include "http/tests/test_loop.h"
#include "mesh/internal/crash_exchange.h"

namespace heatherdrift {
namespace {

    constexpr request_fingerprint lethal = 0xFFFFFFFFFFFFFFF1u;
    constexpr request_fingerprint popular = 7;

    /// Nodes of one service that know each other.
    class CrashExchangeTest : public testing::Test {
    protected:
        struct test_node {
            mesh_settings settings;
            std::unique_ptr<mesh_directory> directory;
            crash_suspects suspects;
            std::unique_ptr<crash_exchange> exchange;
            std::unique_ptr<http_server> server;
            int refusedMessages = 0; ///< Messages that the node does not take.
            int messages = 0;
        };

        void SetUp() override
        {
            for (auto& node : nodes)
                start(node);
            for (auto& node : nodes)
                introduce(node);
        }

        void start(test_node& node)
        {
            node.settings.node = "n" + std::to_string(&node - nodes);
            node.settings.service = "s";
            node.directory = std::make_unique<mesh_directory>(loop.base(), node.settings);
            node.suspects = crash_suspects();
            node.exchange
                = std::make_unique<crash_exchange>(loop.base(), node.settings, *node.directory, node.suspects);
            node.server = loop.listen([&node](http_exchange_ptr exchange) {
                ++node.messages;
                if (node.refusedMessages-- > 0)
                    return exchange->respond({ { 503, {} }, "" });
                node.exchange->handle(exchange);
            });
        }

        void introduce(test_node& node)
        {
            for (const auto& other : nodes) {
                mesh_member member;
                member.node = other.settings.node;
                member.service = "s";
                member.address = other.server->address();
                node.directory->update(member, boot_clock::now());
            }
        }

        bool isRefused(test_node& node, request_fingerprint request)
        {
            return node.suspects.refusedUntil(request, boot_clock::now()).has_value();
        }

        test_loop loop;
        test_node nodes[4];
    };

    // Guards against a request that each node has to see crash three backend servers of its own, although it comes to
    // another node each time.
    TEST_F(CrashExchangeTest, CrashesOfAllNodesAddUp)
    {
        for (int i = 0; i < 3; ++i)
            nodes[i].exchange->onCrash({ "life-" + std::to_string(i), { lethal, static_cast<unsigned>(i) + 1 } });
        loop.runUntil([&] { return std::ranges::all_of(nodes, [&](auto& node) { return isRefused(node, lethal); }); });
        EXPECT_FALSE(isRefused(nodes[3], 1));
    }

    // Guards against a node that does not refuse the request since it missed a message while it was saturated.
    TEST_F(CrashExchangeTest, MessageThatWasNotTakenIsSentAgain)
    {
        nodes[3].refusedMessages = 2;
        for (int i = 0; i < 3; ++i)
            nodes[i].exchange->onCrash({ "life-" + std::to_string(i), { lethal } });
        loop.runUntil([&] { return isRefused(nodes[3], lethal); });
        EXPECT_GE(nodes[3].messages, 5);
    }

    // Guards against a request that runs again at a node that has just been restarted.
    TEST_F(CrashExchangeTest, RestartedNodeLearnsTheCrashes)
    {
        for (int i = 0; i < 3; ++i)
            nodes[i].exchange->onCrash({ "life-" + std::to_string(i), { lethal } });
        loop.runUntil([&] { return std::ranges::all_of(nodes, [&](auto& node) { return isRefused(node, lethal); }); });
        nodes[3].server.reset();
        start(nodes[3]);
        EXPECT_FALSE(isRefused(nodes[3], lethal));
        introduce(nodes[3]);
        nodes[3].exchange->askForMissed();
        loop.runUntil([&] { return isRefused(nodes[3], lethal); });
    }

    // Guards against a refusal of a popular request that ended backend servers were at work on, and that another node
    // has seen answered after each crash.
    TEST_F(CrashExchangeTest, RequestThatAnotherNodeAnswersBetweenCrashesIsNotRefused)
    {
        for (int i = 0; i < 5; ++i) {
            nodes[i % 3].exchange->onCrash({ "life-" + std::to_string(i), { popular, lethal } });
            const auto count = static_cast<std::size_t>(i) + 1;
            loop.runUntil([&] {
                return std::ranges::all_of(nodes, [&](auto& node) {
                    return node.suspects.crashCount(lethal) == count && node.suspects.crashCount(popular) == 1;
                });
            });
            nodes[3].exchange->onAnswer(popular);
        }
        for (auto& node : nodes) {
            EXPECT_TRUE(isRefused(node, lethal));
            EXPECT_FALSE(isRefused(node, popular));
        }
    }

    // Guards against a message from each node to all others after each answer to a popular request.
    TEST_F(CrashExchangeTest, AnswersAfterOneCrashCostNoMessages)
    {
        nodes[0].exchange->onCrash({ "life-0", { popular } });
        loop.runUntil([&] {
            return std::ranges::all_of(nodes, [](auto& node) { return node.suspects.crashCount(popular) == 1; });
        });
        loop.runReady();
        const auto messagesBefore = nodes[0].messages + nodes[1].messages + nodes[2].messages + nodes[3].messages;
        for (auto& node : nodes) {
            for (int i = 0; i < 10; ++i)
                node.exchange->onAnswer(popular);
        }
        loop.runReady();
        EXPECT_EQ(nodes[0].messages + nodes[1].messages + nodes[2].messages + nodes[3].messages, messagesBefore);
    }

    // Guards against a node that was cut off for longer than reports are repeated and never learns of the crashes.
    TEST_F(CrashExchangeTest, NodeThatWasCutOffLearnsTheCrashesLater)
    {
        nodes[3].refusedMessages = 12;
        for (int i = 0; i < 3; ++i)
            nodes[i].exchange->onCrash({ "life-" + std::to_string(i), { lethal } });
        loop.runUntil([&] { return nodes[3].messages >= 12; });
        EXPECT_FALSE(isRefused(nodes[3], lethal));
        loop.runUntil([&] { return isRefused(nodes[3], lethal); });
    }

    // Guards against a node that never learns of a crash: it did not take the report of that one, but the report of a
    // later one, which counted as if the node had caught up.
    TEST_F(CrashExchangeTest, LaterReportDoesNotStandForTheOneThatWasMissed)
    {
        nodes[3].refusedMessages = 4;
        nodes[0].exchange->onCrash({ "life-0", { lethal } });
        loop.runUntil([&] { return nodes[3].messages == 4; });
        loop.runReady();
        nodes[0].exchange->onCrash({ "life-1", { popular } });
        bool isOver = false; // Twice the time between attempts to reach a node that is behind.
        timer end(loop.base(), [&] { isOver = true; });
        end.startOnce(std::chrono::seconds(4));
        loop.runUntil([&] { return isOver || nodes[3].suspects.crashCount(lethal) == 1; });
        EXPECT_EQ(nodes[3].suspects.crashCount(lethal), 1u);
        EXPECT_EQ(nodes[3].suspects.crashCount(popular), 1u);
    }

    // Guards against several nodes that try a refused request at the same time, each with a crash of its own.
    TEST_F(CrashExchangeTest, TrialCountsAsACrashAtAllNodesUntilItIsAnswered)
    {
        for (auto& node : nodes)
            node.suspects = crash_suspects({ .firstTrialDelay = duration::zero() });
        for (int i = 0; i < 3; ++i)
            nodes[i].exchange->onCrash({ "life-" + std::to_string(i), { popular } });
        const auto haveCount = [&](std::size_t count) {
            return std::ranges::all_of(nodes, [&](auto& node) { return node.suspects.crashCount(popular) == count; });
        };
        loop.runUntil([&] { return haveCount(3); });
        nodes[3].exchange->onRun(popular, "life-3");
        loop.runUntil([&] { return haveCount(4); });
        nodes[3].exchange->onAnswer(popular);
        loop.runUntil([&] { return haveCount(0); });
    }

    // Guards against a refused request that runs without end, and is told to all nodes each time, after a trial that
    // ended neither with a crash nor with an answer.
    TEST_F(CrashExchangeTest, EachTrialOnTheSameBackendServerDelaysTheNextOne)
    {
        constexpr auto delay = std::chrono::milliseconds(20);
        auto& node = nodes[0];
        node.suspects = crash_suspects({ .firstTrialDelay = delay });
        for (int i = 0; i < 3; ++i)
            node.exchange->onCrash({ "life-" + std::to_string(i), { lethal } });
        timer tick(
            loop.base(), [] {}); // The end of a refusal is no event, so the loop would wait for ever without one.
        tick.startRepeating(std::chrono::milliseconds(5));
        for (int trial = 0; trial < 3; ++trial) {
            loop.runUntil([&] { return !isRefused(node, lethal); });
            node.exchange->onRun(lethal, "life-3");
            EXPECT_TRUE(isRefused(node, lethal)) << trial;
        }
    }

    // Guards against a suspicion that stays at the other nodes after a backend server has answered the request.
    TEST_F(CrashExchangeTest, LaterAnswerClearsTheRequestEverywhere)
    {
        for (int i = 0; i < 3; ++i)
            nodes[i].exchange->onCrash({ "life-" + std::to_string(i), { popular } });
        loop.runUntil([&] { return std::ranges::all_of(nodes, [&](auto& node) { return isRefused(node, popular); }); });
        nodes[0].exchange->onAnswer(popular);
        loop.runUntil(
            [&] { return std::ranges::none_of(nodes, [&](auto& node) { return isRefused(node, popular); }); });
    }

    // Guards against a malformed message that takes the process down.
    TEST(CrashReport, MalformedReportsAreRejected)
    {
        const crash_report report { { { "a@1", { lethal, 2 } } }, { popular } };
        EXPECT_EQ(parseCrashReport(toJson(report)).value(), report);
        for (const auto* text : { "", "[]", "{}", R"({"crashes":[],"answered":[-1]})",
                 R"({"crashes":[{"life":"a","suspects":["x"]}],"answered":[]})",
                 R"({"crashes":[{"suspects":[]}],"answered":[]})", R"({"crashes":{},"answered":[]})" })
            EXPECT_TRUE(parseCrashReport(text).has_error()) << text;
    }

} // namespace
} // namespace heatherdrift
