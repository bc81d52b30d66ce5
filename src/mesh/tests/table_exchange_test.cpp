#include "http/tests/slow_answer.h"
#include "http/tests/test_loop.h"
#include "mesh/internal/table_exchange.h"

#include <random>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// Store that responds to reads with rows set by the test, and never to a watch.
    class silent_store : public watched_store {
    public:
        void read(std::string table, time_point, std::function<void(result<row_snapshot>)> done) override
        {
            pending.emplace_back([this, table, done = std::move(done)] { done(tables[table]); });
        }
        void write(conditional_write, time_point, std::function<void(result<write_outcome>)>) override { }
        void watch(std::string, row_version, duration, time_point, std::function<void(result<row_snapshot>)>) override
        {
            ++watches;
        }
        void answerReads()
        {
            for (const auto& answer : std::exchange(pending, {}))
                answer();
        }

        std::map<std::string, row_snapshot> tables;
        std::vector<std::function<void()>> pending;
        int watches = 0;
    };

    /// Two of four nodes: n3 requests changes from n4.
    class TableExchangeTest : public testing::Test {
    protected:
        struct node {
            node(test_loop& loop, const instance_id& name)
                : directory(loop.base(), settings)
                , configuration(loop.base(), store, "configuration", {}, hooks())
                , members(loop.base(), store, "members", {}, hooks())
                , exchange(loop.base(), settings, directory, configuration, members,
                      { [this](const instance_id& asked) { readersAsked.push_back(asked); } })
                , server(loop.listen([this](http_exchange_ptr call) { exchange.handle(call); }))
            {
                settings.node = name;
                configuration.start();
                members.start();
            }

            table_watcher_hooks hooks()
            {
                return { [this](const row_change& row) { seen.push_back(row); }, nullptr, nullptr,
                    [this] { return exchange.place(); }, [] { return 0.5; } };
            }

            mesh_settings settings;
            silent_store store;
            mesh_directory directory;
            std::vector<row_change> seen;
            std::vector<instance_id> readersAsked;
            table_watcher configuration;
            table_watcher members;
            table_exchange exchange;
            std::unique_ptr<http_server> server;
        };

        TableExchangeTest()
        {
            for (auto* one : { &askingNode, &answeringNode }) {
                for (const char* name : { "n1", "n2", "n3", "n4" }) {
                    mesh_member member;
                    member.node = name;
                    member.address
                        = member.node == "n4" ? answeringNode.server->address() : askingNode.server->address();
                    one->directory.update(member, boot_clock::now());
                }
                one->store.tables["configuration"] = { { row(4) }, 5 };
                one->store.tables["members"] = { {}, 5 };
                one->store.answerReads();
            }
        }

        void addNode(const instance_id& name, const endpoint& address, const std::string& zone)
        {
            mesh_member member;
            member.node = name;
            member.address = address;
            member.zone = zone;
            askingNode.directory.update(member, boot_clock::now());
        }

        /// False if it takes far longer than it may.
        bool runUntilOrLate(const std::function<bool()>& isDone)
        {
            bool isLate = false;
            timer limit(loop.base(), [&] { isLate = true; });
            limit.startOnce(seconds(30));
            loop.runUntil([&] { return isLate || isDone(); });
            return isDone();
        }

        static table_statements newerConfiguration()
        {
            table_statements newer;
            newer.configuration = { 9, milliseconds(1) };
            return newer;
        }

        static row_change row(row_version version) { return { { "configuration", "current" }, version, "v" }; }

        test_loop loop;
        node askingNode { loop, "n3" };
        node answeringNode { loop, "n4" };
    };

    // Guards against a node that gets a new configuration only from the store: while the store did not respond to it,
    // it handled requests by a replaced configuration.
    TEST_F(TableExchangeTest, NewerRowsAreFetchedFromTheNodeThatReportsThem)
    {
        answeringNode.configuration.applyUpdate({ { { row(9) }, 9 }, false });
        askingNode.exchange.handleStatements("n4", *answeringNode.exchange.statement(), boot_clock::now());
        loop.runUntil([&] { return askingNode.configuration.copy().newestChange() == 9; });
        EXPECT_EQ(askingNode.seen.back(), row(9));
    }

    // Guards against discarding a large table that arrives slowly: over links of 12 to 17 Mbit/s, nodes requested a
    // configuration again and again and handled requests by the replaced one.
    TEST_F(TableExchangeTest, SlowTransferThatMakesProgressIsCompleted)
    {
        constexpr std::size_t maxAttempts = 10;
        std::vector<std::unique_ptr<slow_answer>> answers;
        auto slow = loop.listen([&](http_exchange_ptr call) {
            answers.push_back(std::make_unique<slow_answer>(
                loop.base(), std::move(call), encodeUpdate({ { { row(9) }, 9 }, false }, {}), 10, milliseconds(50)));
        });
        mesh_member member;
        member.node = "n4";
        member.address = slow->address();
        askingNode.directory.update(member, boot_clock::now());
        table_statements newer;
        newer.configuration = { 9, milliseconds(1) };
        loop.runUntil([&] {
            askingNode.exchange.handleStatements("n4", newer, boot_clock::now());
            return askingNode.configuration.copy().newestChange() == 9 || answers.size() > maxAttempts;
        });
        EXPECT_EQ(askingNode.configuration.copy().newestChange(), 9);
    }

    // Guards against a node that takes its configuration for the newest although another node has reported a newer one.
    TEST_F(TableExchangeTest, NodeKnowsThatItsConfigurationIsBehind)
    {
        EXPECT_EQ(askingNode.exchange.configurationWait(), std::nullopt);
        answeringNode.configuration.applyUpdate({ { { row(9) }, 9 }, false });
        askingNode.exchange.handleStatements("n4", *answeringNode.exchange.statement(), boot_clock::now());
        EXPECT_GT(askingNode.exchange.configurationWait(), duration::zero());
        loop.runUntil([&] { return askingNode.configuration.copy().newestChange() == 9; });
        EXPECT_EQ(askingNode.exchange.configurationWait(), std::nullopt);
    }

    // Guards against a node that forgets a reported configuration because nobody repeats the report, as when its
    // sources restart, and then answers 404 for routes that exist.
    TEST_F(TableExchangeTest, ReportedConfigurationIsRememberedUntilTheStoreIsKnownToLackIt)
    {
        auto silent = loop.listen([](http_exchange_ptr) {});
        addNode("n4", silent->address(), "z");
        const auto now = boot_clock::now();
        askingNode.exchange.handleStatements("n4", newerConfiguration(), now);
        table_statements older;
        older.configuration = { 4, seconds(30) };
        askingNode.exchange.handleStatements("n4", older, now);
        EXPECT_TRUE(askingNode.exchange.configurationWait());
        askingNode.configuration.confirm(now + seconds(1));
        EXPECT_EQ(askingNode.exchange.configurationWait(), std::nullopt);
    }

    // Guards against a node that waits for the next mention of a change after a failed fetch, although it knows other
    // nodes that have the change.
    TEST_F(TableExchangeTest, FailedFetchGoesOnWithAnotherNode)
    {
        int refused = 0;
        auto refusing = loop.listen([&](http_exchange_ptr call) {
            ++refused;
            call->respond({ { 503, {} }, "" });
        });
        answeringNode.configuration.applyUpdate({ { { row(9) }, 9 }, false });
        addNode("n1", refusing->address(), "near");
        addNode("n2", refusing->address(), "near");
        addNode("n4", answeringNode.server->address(), "far");
        askingNode.settings.zone = "near";
        for (const char* name : { "n1", "n2", "n4" })
            askingNode.exchange.handleStatements(name, newerConfiguration(), boot_clock::now());
        EXPECT_TRUE(runUntilOrLate([&] { return askingNode.configuration.copy().newestChange() == 9; }));
        EXPECT_EQ(refused, 2);
    }

    // Guards against a node that gives up while all nodes that have the change are busy.
    TEST_F(TableExchangeTest, BusySourceIsAskedAgain)
    {
        int refused = 0;
        auto busy = loop.listen([&](http_exchange_ptr call) {
            if (++refused < 4)
                return call->respond({ { 503, {} }, "" });
            answeringNode.exchange.handle(call);
        });
        answeringNode.configuration.applyUpdate({ { { row(9) }, 9 }, false });
        addNode("n4", busy->address(), "");
        askingNode.exchange.handleStatements("n4", newerConfiguration(), boot_clock::now());
        EXPECT_TRUE(runUntilOrLate([&] { return askingNode.configuration.copy().newestChange() == 9; }));
        EXPECT_EQ(refused, 4);
    }

    // Guards against the wait after repeated failures that is carried over to the next change: a node that refused an
    // earlier one was not asked for it.
    TEST_F(TableExchangeTest, FailuresOfAnEarlierChangeDoNotDelayTheNextOne)
    {
        constexpr int manyFailures = 5;
        int asked = 0;
        bool isBusy = true;
        auto source = loop.listen([&](http_exchange_ptr call) {
            ++asked;
            if (isBusy)
                return call->respond({ { 503, {} }, "" });
            answeringNode.exchange.handle(call);
        });
        addNode("n4", source->address(), "");
        askingNode.exchange.handleStatements("n4", newerConfiguration(), boot_clock::now());
        EXPECT_TRUE(runUntilOrLate([&] { return asked >= manyFailures; }));
        loop.runReady();
        const int askedBefore = asked;
        askingNode.configuration.applyUpdate({ { { row(9) }, 9 }, false });
        isBusy = false;
        answeringNode.configuration.applyUpdate({ { { row(12) }, 12 }, false });
        askingNode.exchange.handleStatements("n4", *answeringNode.exchange.statement(), boot_clock::now());
        loop.runReady();
        EXPECT_EQ(asked, askedBefore + 1);
        EXPECT_EQ(askingNode.configuration.copy().newestChange(), 12);
    }

    // Guards against a request to a node that is leaving, whose link and process may end during the transfer.
    TEST_F(TableExchangeTest, LeavingNodeIsNotAsked)
    {
        int asked = 0;
        auto leaving = loop.listen([&](http_exchange_ptr call) {
            ++asked;
            answeringNode.exchange.handle(call);
        });
        answeringNode.configuration.applyUpdate({ { { row(9) }, 9 }, false });
        addNode("n1", leaving->address(), "");
        gate_load load;
        load.isDraining = true;
        askingNode.directory.recordAnswer("n1", load, boot_clock::now());
        askingNode.exchange.handleStatements("n1", newerConfiguration(), boot_clock::now());
        askingNode.exchange.handleStatements("n4", newerConfiguration(), boot_clock::now());
        EXPECT_TRUE(runUntilOrLate([&] { return askingNode.configuration.copy().newestChange() == 9; }));
        EXPECT_EQ(asked, 0);
    }

    // Guards against a node that sends a large table to all others at once, so that its link gives each of them too
    // little.
    TEST_F(TableExchangeTest, LargeTransfersAreLimitedAndOthersRefusedAtOnce)
    {
        constexpr std::size_t largeBytes = 12 << 20; // More than the kernel's buffers of a connection take.
        constexpr std::size_t requests = 5;
        std::mt19937 random(7);
        std::string text;
        while (text.size() < largeBytes)
            text.push_back(static_cast<char>('a' + random() % 26));
        const row_change large { { "configuration", "current" }, 9, text };
        answeringNode.configuration.applyUpdate({ { { large }, 9 }, false });
        const auto client = http_client::create(loop.base(), answeringNode.server->address(), 10);
        std::vector<http_call_ptr> calls;
        std::size_t refused = 0;
        std::size_t completed = 0;
        for (std::size_t i = 0; i < requests; ++i) {
            http_call_handlers handlers;
            handlers.onHead = [&, i](const http_response_head& head) {
                refused += head.status == 503;
                if (head.status == 200)
                    calls[i]->pause();
            };
            handlers.onDone = [&](const result<void>& how) { completed += how.has_value(); };
            http_request request;
            request.target = table_exchange::target;
            request.headers = { { "heatherdrift-table", "configuration" }, { "heatherdrift-after", "0" } };
            calls.push_back(client->start(std::move(request), test_loop::farDeadline(), std::move(handlers)));
        }
        EXPECT_TRUE(runUntilOrLate([&] { return refused == requests - maxSentTransfers; }));
        for (const auto& call : calls)
            call->resume();
        loop.runUntil([&] { return completed == requests; });
        http_request request;
        request.target = table_exchange::target;
        request.headers = { { "heatherdrift-table", "configuration" }, { "heatherdrift-after", "0" } };
        EXPECT_EQ(loop.fetch(*client, std::move(request)).value().head.status, 200);
    }

    // Guards against a node that keeps an old configuration because the difference from another node does not fit to
    // its rows.
    TEST_F(TableExchangeTest, DifferenceThatDoesNotFitIsReplacedByTheWholeRows)
    {
        const auto text = [](char end) { return std::string(8192, 'x') + end; };
        const auto row = [&](row_version version, char end) {
            return row_change { { "configuration", "current" }, version, text(end) };
        };
        answeringNode.configuration.applyUpdate({ { { row(6, '6') }, 6 }, false });
        answeringNode.configuration.applyUpdate({ { { row(9, '9') }, 9 }, false });
        askingNode.configuration.applyUpdate({ { { row(7, '7') }, 7 }, false });
        askingNode.exchange.handleStatements("n4", newerConfiguration(), boot_clock::now());
        loop.runUntil([&] { return askingNode.configuration.copy().newestChange() == 9; });
        EXPECT_EQ(askingNode.seen.back(), row(9, '9'));
    }

    // Guards against a table that counts as current because of a node with an older copy.
    TEST_F(TableExchangeTest, OnlyTheAgeOfKnownRowsConfirmsTheTable)
    {
        const auto asked = boot_clock::now();
        const auto before = askingNode.configuration.currentAt();
        table_statements newer;
        newer.configuration = { 9, milliseconds(1) };
        newer.members = { 0, seconds(30) };
        askingNode.exchange.handleStatements("n4", newer, asked + seconds(60));
        EXPECT_EQ(askingNode.configuration.currentAt(), before);
        EXPECT_EQ(askingNode.members.currentAt(), asked + seconds(30));
    }

    // Guards against nodes without traffic that all call the store instead of asking a reader.
    TEST_F(TableExchangeTest, NodeWithoutUpdatesAsksAReader)
    {
        askingNode.exchange.start();
        loop.runUntil([&] { return askingNode.readersAsked.size() >= 2; });
        EXPECT_EQ(std::set<instance_id>(askingNode.readersAsked.begin(), askingNode.readersAsked.end()),
            (std::set<instance_id> { "n1", "n2" }));
        EXPECT_EQ(askingNode.exchange.place(), (fleet_place { 2, 4 }));
    }

    // Guards against nodes that keep the rows of before a restore, since the restored table has lower numbers or no
    // rows, and against the restored table being replaced by those rows.
    TEST_F(TableExchangeTest, RestoredTablesSpreadAndOldOnesDoNot)
    {
        answeringNode.configuration.applyUpdate({ { { row(makeVersion(1, 2)) }, makeVersion(1, 2) }, true });
        answeringNode.members.applyUpdate({ { {}, makeVersion(1, 0) }, true });
        answeringNode.exchange.handleStatements("n3", *askingNode.exchange.statement(), boot_clock::now());
        askingNode.exchange.handleStatements("n4", *answeringNode.exchange.statement(), boot_clock::now());
        loop.runUntil(
            [&] { return askingNode.configuration.copy().era() == 1 && askingNode.members.copy().era() == 1; });
        EXPECT_EQ(askingNode.seen.back(), row(makeVersion(1, 2)));
        EXPECT_EQ(answeringNode.configuration.copy().newestChange(), makeVersion(1, 2));
        EXPECT_EQ(askingNode.exchange.statement()->members.newestChange, makeVersion(1, 0));
    }

} // namespace
} // namespace heatherdrift
