#include "mesh/internal/ownership.h"
#include "mesh/tests/simulated_store.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// The second of several owners; the first one checks the map in the store for all. Counts the messages and the
    /// calls to the store, of which each one costs as much as a served request.
    class OwnershipCallsTest : public testing::Test {
    protected:
        OwnershipCallsTest() { client.noteEra(1); }

        static mesh_settings makeSettings()
        {
            mesh_settings settings;
            settings.node = "n2";
            settings.longestHold = seconds(10);
            settings.heartbeatInterval = milliseconds(870);
            settings.isFirstStart = true;
            return settings;
        }

        void heartbeat()
        {
            backend_announcement announcement;
            announcement.id = "i2";
            announcement.startedAt = 1;
            announcement.sequence = ++sequence;
            keys.handleHeartbeat(announcement);
        }

        void run(duration length)
        {
            for (const auto end = now + length; now < end; now += milliseconds(100)) {
                keys.advance();
                while (!client.queue.empty()) {
                    auto call = std::move(client.queue.front());
                    client.queue.pop_front();
                    ++storeCalls;
                    call.done(client.answer(store, call.write));
                }
            }
        }

        void storeMap(const range_map& map)
        {
            const row_key row { "ranges", "service@1" };
            store.apply({ {}, { { row, 0, map.toJson() } } });
            keys.onTableRead(1);
            keys.adoptNewer(map, store.current(row).version);
        }

        std::vector<owner_candidate> candidates() const
        {
            std::vector<owner_candidate> out;
            for (int i = 1; i <= announced; ++i)
                out.push_back({ "n" + std::to_string(i), { life(i), 0 }, true });
            return out;
        }

        static life_name life(int i) { return "i" + std::to_string(i) + "@1"; }

        time_point now { std::chrono::hours(1) };
        std::int64_t sequence = 0;
        int announced = 3;
        int roundsToAll = 0;
        int questionsToFirst = 0;
        int storeCalls = 0;
        event_base_handle base { event_base_new() };
        simulated_store store;
        simulated_store_client client;
        mesh_settings settings = makeSettings();
        ownership keys { base.get(), settings, client, { "ranges", "service" },
            ownership_hooks { [this] { return now; }, [this] { return candidates(); },
                [](const range_map& map, fencing_token, time_point) { return map; }, [] {}, [this] { ++roundsToAll; },
                [this] { return ++questionsToFirst > 0; }, [](const std::set<life_name>&) {},
                [](const life_name&) { return true; } } };
    };

    // Guards against a new owner that takes its missing confirmation for an outage of the store: it asked all owners,
    // each of which made a call to the store. Balancing makes new owners several times in a second.
    TEST_F(OwnershipCallsTest, NewOwnerAsksTheConfirmingOwnerFirst)
    {
        heartbeat();
        const auto map = range_map().assign({ 0, lastKey }, life(1), 1);
        storeMap(map);
        run(seconds(3));
        questionsToFirst = 0;
        storeMap(map.assign({ 0, 99 }, life(2), 2, 4000));
        run(seconds(1));
        EXPECT_EQ(roundsToAll, 0);
        EXPECT_GE(questionsToFirst, 1);
        EXPECT_EQ(storeCalls, 0);
        run(seconds(1));
        EXPECT_GE(roundsToAll, 1) << "the confirming owner did not answer";
    }

    // Guards against a call to the store by each owner that is asked by one which is cut off from the store.
    TEST_F(OwnershipCallsTest, OwnerPassesOnItsOwnConfirmation)
    {
        heartbeat();
        storeMap(range_map().assign({ 0, lastKey }, life(1), 1).assign({ 0, 99 }, life(2), 2));
        keys.onConfirmed(now);
        now += milliseconds(800);
        std::optional<map_statement> statement;
        std::optional<duration> age;
        keys.handleConfirmation({ life(3), keys.version(), 1 }, [&](map_statement got, std::optional<duration> ago) {
            statement = got;
            age = ago;
        });
        ASSERT_TRUE(statement);
        EXPECT_EQ(*statement, map_statement::current);
        EXPECT_EQ(age, std::optional<duration>(milliseconds(800)));
        EXPECT_TRUE(client.queue.empty());
        now += seconds(1);
        statement.reset();
        keys.handleConfirmation(
            { life(3), keys.version(), 1 }, [&](map_statement got, std::optional<duration>) { statement = got; });
        EXPECT_FALSE(statement) << "a confirmation that is too old needs a call to the store";
        EXPECT_EQ(client.queue.size(), 1u);
    }

    // Guards against a first map for those backend servers alone whose announcements arrived first: of 92, 48 got all
    // keys, and balancing moved them under load for seconds, with a call to the store and a cold start for each move.
    TEST_F(OwnershipCallsTest, FirstMapOfANewSystemAwaitsAllBackendServers)
    {
        heartbeat();
        keys.onTableRead(1);
        announced = 2;
        for (; announced < 90; announced += 8)
            run(milliseconds(300));
        EXPECT_EQ(keys.version(), 0);
        run(seconds(3));
        ASSERT_GT(keys.version(), 0);
        EXPECT_EQ(keys.map().owners().size(), static_cast<std::size_t>(announced));
    }

    // Guards against a new system without keys while backend servers go on arriving.
    TEST_F(OwnershipCallsTest, FirstMapOfANewSystemIsNotAwaitedForLong)
    {
        heartbeat();
        keys.onTableRead(1);
        for (int i = 0; i < 80; ++i, ++announced)
            run(milliseconds(100));
        EXPECT_GT(keys.version(), 0);
    }

    // Guards against a map that is written without end: a late heartbeat of a former life made the present one count as
    // ended, so that each write took its keys away and the next one gave them back (160 writes a second).
    TEST_F(OwnershipCallsTest, LifeThatSendsHeartbeatsAfterItCountedAsEndedKeepsItsKeys)
    {
        announced = 2;
        heartbeat();
        storeMap(range_map().assign({ 0, 30000 }, life(1), 1).assign({ 30001, lastKey }, life(2), 2));
        keys.onBackendEnded(life(2));
        run(seconds(1));
        heartbeat();
        run(seconds(5));
        storeCalls = 0;
        run(seconds(5));
        EXPECT_LE(storeCalls, 10);
        EXPECT_TRUE(keys.map().hasOwner(life(2)));
    }

    // Guards against two backend servers that hold the same keys: a write that moves keys of this one was on its way
    // when its node was restarted. The new process extended the holds by promises while the write took effect, and the
    // new owner, which owned nothing before and is not asked for a promise, waited only for a lease.
    TEST_F(OwnershipCallsTest, PromisesExtendNoHoldsWhileAWriteOfAnEarlierProcessMayTakeEffect)
    {
        heartbeat();
        const row_key row { "ranges", "service@1" };
        store.apply({ {}, { { row, 0, range_map().assign({ 0, lastKey }, life(2), 1).toJson() } } });
        keys.onRowChanged(store.current(row));
        keys.onTableRead(1);
        keys.onConfirmed(now);
        now += seconds(4);
        keys.onPromised(now);
        EXPECT_FALSE(keys.grant(now).isValid);
        now += seconds(5);
        keys.onConfirmed(now);
        now += seconds(4);
        keys.onPromised(now);
        EXPECT_TRUE(keys.grant(now).isValid) << "such a write would have taken effect by now";
    }

    // Guards against holds that lapse while the store is away, because a write of unknown outcome is held against a map
    // that was learned after it was sent. Such a write can only change the map that it was made for.
    TEST_F(OwnershipCallsTest, WriteOfUnknownOutcomeSaysNothingAboutALaterMap)
    {
        heartbeat();
        const auto map = range_map().assign({ 0, 30000 }, life(1), 1).assign({ 30001, lastKey }, life(2), 2);
        storeMap(map);
        keys.startDrain();
        ASSERT_EQ(client.queue.size(), 1u);
        const auto write = client.queue.front();
        client.queue.clear();
        storeMap(map.assign({ 0, 99 }, life(3), 3));
        write.done(mayHaveRun(error_code::store_unavailable, "lost"));
        for (int i = 0; i < 20; ++i, now += milliseconds(100))
            keys.advance(); // The store does not answer.
        EXPECT_GE(roundsToAll, 1);
    }

    // Guards against holds that lapse without need in the same time: a write of the earlier process cannot change a map
    // that was written after this process had read the table.
    TEST_F(OwnershipCallsTest, PromisesForAMapOfThisProcessExtendHolds)
    {
        heartbeat();
        const row_key row { "ranges", "service@1" };
        const auto map = range_map().assign({ 0, lastKey }, life(2), 1);
        store.apply({ {}, { { row, 0, map.toJson() } } });
        keys.onRowChanged(store.current(row));
        keys.onTableRead(1);
        store.apply({ {}, { { row, 0, map.assign({ 0, 99 }, life(1), 2).toJson() } } });
        keys.onRowChanged(store.current(row));
        keys.onConfirmed(now);
        now += seconds(4);
        keys.onPromised(now);
        EXPECT_TRUE(keys.grant(now).isValid);
    }

} // namespace
} // namespace heatherdrift
