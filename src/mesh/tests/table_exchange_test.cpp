#include "http/tests/test_loop.h"
#include "mesh/internal/table_exchange.h"

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

    // Guards against a malformed response of another node that corrupts the table.
    TEST(TableUpdate, RoundTripsOrIsRejected)
    {
        const table_update update { { { { { "t", "a" }, 7, "\x01 value" }, { { "t", "b" }, 8, std::nullopt } }, 8 },
            true };
        EXPECT_EQ(decodeUpdate(encodeUpdate(update)).value(), update);
        for (const char* text : { "", "[]", "{}", R"({"version":1,"whole":true,"rows":[{}]})",
                 R"({"version":1,"whole":true,"rows":{"a":1}})",
                 R"({"version":1,"whole":false,"rows":[{"table":"t","key":"a","version":0}]})" })
            EXPECT_TRUE(decodeUpdate(text).has_error()) << text;
    }

} // namespace
} // namespace heatherdrift
