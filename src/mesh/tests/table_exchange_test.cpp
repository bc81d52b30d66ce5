#include "http/tests/test_loop.h"
#include "mesh/internal/table_exchange.h"

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// Store that answers reads with what the test set, and never a watch.
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

    /// Two of four nodes: n3 asks n4 what it knows.
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
            for (auto* one : { &asker, &teller }) {
                for (const char* name : { "n1", "n2", "n3", "n4" }) {
                    mesh_member member;
                    member.node = name;
                    member.address = member.node == "n4" ? teller.server->address() : asker.server->address();
                    one->directory.update(member, boot_clock::now());
                }
                one->store.tables["configuration"] = { { row(4) }, 5 };
                one->store.tables["members"] = { {}, 5 };
                one->store.answerReads();
            }
        }

        static row_change row(row_version version) { return { { "configuration", "current" }, version, "v" }; }

        test_loop loop;
        node asker { loop, "n3" };
        node teller { loop, "n4" };
    };

    // Guards against a node that learns of a new configuration only from the store, which may be silent to it
    // (mondego-mesh-grown hunt-c68d-3, fresh-6d2a: requests handled by a replaced configuration).
    TEST_F(TableExchangeTest, NewerRowsComeFromTheNodeThatNamesThem)
    {
        teller.configuration.take({ { { row(9) }, 9 }, false });
        asker.exchange.notice("n4", *teller.exchange.statement(), boot_clock::now());
        loop.runUntil([&] { return asker.configuration.copy().newestChange() == 9; });
        EXPECT_EQ(asker.seen.back(), row(9));
    }

    // Guards against a table that counts as current because a node that knows less says so.
    TEST_F(TableExchangeTest, OnlyTheAgeOfRowsThatAreKnownCounts)
    {
        const auto asked = boot_clock::now();
        const auto before = asker.configuration.currentAt();
        known_tables newer;
        newer.configuration = { 9, milliseconds(1) };
        newer.members = { 0, seconds(30) };
        asker.exchange.notice("n4", newer, asked + seconds(60));
        EXPECT_EQ(asker.configuration.currentAt(), before);
        EXPECT_EQ(asker.members.currentAt(), asked + seconds(30));
    }

    // Guards against nodes without requests that all call the store; they ask a reader.
    TEST_F(TableExchangeTest, NodeThatHearsNothingAsksAReader)
    {
        asker.exchange.start();
        loop.runUntil([&] { return asker.readersAsked.size() >= 2; });
        EXPECT_EQ(std::set<instance_id>(asker.readersAsked.begin(), asker.readersAsked.end()),
            (std::set<instance_id> { "n1", "n2" }));
        EXPECT_EQ(asker.exchange.place(), (fleet_place { 2, 4 }));
    }

    // Guards against an answer of another node that breaks the table.
    TEST(TableChanges, KeepTheirRowsOrAreRejected)
    {
        const table_news news { { { { { "t", "a" }, 7, "\x01 value" }, { { "t", "b" }, 8, std::nullopt } }, 8 }, true };
        EXPECT_EQ(decodeNews(encodeNews(news)).value(), news);
        for (const char* text : { "", "[]", "{}", R"({"version":1,"whole":true,"rows":[{}]})",
                 R"({"version":1,"whole":true,"rows":{"a":1}})",
                 R"({"version":1,"whole":false,"rows":[{"table":"t","key":"a","version":0}]})" })
            EXPECT_TRUE(decodeNews(text).has_error()) << text;
    }

} // namespace
} // namespace heatherdrift
