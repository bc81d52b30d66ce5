#include "mesh/internal/ownership.h"
#include "mesh/tests/simulated_store.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// An owner of most keys that has confirmed its map in era 1 of the store.
    class OwnershipRestoreTest : public testing::Test {
    protected:
        OwnershipRestoreTest()
        {
            client.onRestored([this](store_era era) { keys.onStoreRestored(era); });
            store.apply({ {}, { { row(1), 0, map.toJson() } } });
            client.noteEra(1);
            keys.onRowChanged(store.current(row(1)));
            keys.onTableRead(1);
            store.saveCopy(now);
            heartbeat();
            run(seconds(1));
            heartbeat();
        }

        static mesh_settings makeSettings()
        {
            mesh_settings settings;
            settings.node = "n1";
            settings.longestHold = seconds(10);
            settings.isFirstStart = true;
            return settings;
        }

        static row_key row(store_era era) { return { "ranges", "service@" + std::to_string(era) }; }

        void heartbeat()
        {
            backend_announcement announcement;
            announcement.id = "i";
            announcement.startedAt = 1;
            announcement.sequence = ++sequence;
            keys.handleHeartbeat(announcement);
            grant = keys.grant(now);
        }

        void serve()
        {
            while (!client.queue.empty()) {
                auto call = std::move(client.queue.front());
                client.queue.pop_front();
                call.done(client.answer(store, call.write));
            }
        }

        void run(duration length)
        {
            for (const auto end = now + length; now < end; now += milliseconds(100)) {
                keys.advance();
                serve();
            }
        }

        std::vector<owner_candidate> candidates() const
        {
            std::vector<owner_candidate> known { { "n1", { self, 0 }, true } };
            if (isOtherKnown)
                known.push_back({ "n2", { other, 0 }, true });
            return known;
        }

        const life_name self = "i@1";
        const life_name other = "other@1";
        const range_map map
            = range_map().assign({ 0, lastKey }, self, 1).assign({ 0, 99 }, other, 2).release(self, { 0, 99 }, "");
        time_point now { std::chrono::hours(1) };
        std::int64_t sequence = 0;
        bool isOtherKnown = true;
        hold_grant grant;
        event_base_handle base { event_base_new() };
        simulated_store store;
        simulated_store_client client;
        mesh_settings settings = makeSettings();
        ownership keys { base.get(), settings, client, { "ranges", "service" },
            ownership_hooks { [this] { return now; }, [this] { return candidates(); },
                [](const range_map& map, fencing_token, time_point) { return map; }, [] {}, [] {}, [] { return false; },
                [](const std::set<life_name>&) {}, [](const life_name&) { return true; } } };
    };

    // Guards against tokens that are given out again: those of a later era have to be above all earlier ones, and the
    // row of the earlier era must not be used any more.
    TEST_F(OwnershipRestoreTest, TheFirstMapOfAnEraHasARowAndTokensOfItsOwn)
    {
        ASSERT_TRUE(grant.isValid);
        store.restore(now, 0);
        keys.onRowChanged({ row(1), makeVersion(2, 1), store.current(row(1)).value });
        run(seconds(2));
        EXPECT_EQ(eraOf(keys.version()), 2);
        EXPECT_TRUE(store.current(row(2)).value.has_value());
        EXPECT_FALSE(store.current(row(1)).value.has_value());
        EXPECT_EQ(eraOf(keys.map().find(0).fence), 2);
    }

    // Guards against a map that is replaced by a write of an earlier era, whose expected number was given out again.
    TEST_F(OwnershipRestoreTest, ALateWriteOfAnEarlierEraChangesNoMapInUse)
    {
        const auto version = keys.version();
        const auto lateMap = range_map().assign({ 0, lastKey }, other, version + 1);
        store.restore(now, 0);
        run(seconds(2));
        const auto newMap = keys.map();
        ASSERT_TRUE(store.apply({ { { row(1), version } }, { { row(1), 0, lateMap.toJson() } } }).isApplied);
        keys.onRowChanged(store.current(row(1)));
        EXPECT_EQ(keys.map(), newMap);
    }

    // Guards against keys that nobody serves for the longest silence, although the backend server that holds them runs
    // on.
    TEST_F(OwnershipRestoreTest, KeysThatAreHeldAtTheRestoreAreGrantedAgainWithANewToken)
    {
        store.restore(now, 0);
        run(seconds(1));
        heartbeat();
        EXPECT_EQ(grant.ranges.size(), 1u);
        run(seconds(1));
        heartbeat();
        ASSERT_EQ(grant.ranges.size(), 1u);
        EXPECT_EQ(eraOf(grant.ranges[0].fence), 2);
        run(seconds(2));
        EXPECT_FALSE(keys.map().find(100).mayHaveUnknownHolder());
    }

    // Guards against a grant of keys by a map of the earlier era that is learned after the restore: the store may have
    // lost a newer one, by which another backend server holds them.
    TEST_F(OwnershipRestoreTest, AnEarlierMapThatIsLearnedAfterTheRestoreGrantsNoFurtherKeys)
    {
        client.noteEra(2);
        keys.adoptNewer(range_map().assign({ 0, lastKey }, self, 1), makeVersion(1, 9));
        heartbeat();
        ASSERT_EQ(grant.ranges.size(), 1u);
        EXPECT_EQ(grant.ranges[0].keys, (key_range { 100, lastKey }));
    }

    // Guards against keys that are taken from an owner whose member row the store has lost, before it can write it
    // again.
    TEST_F(OwnershipRestoreTest, KeysOfAnOwnerThatTheStoreHasLostAreNotMovedAtOnce)
    {
        run(seconds(5));
        store.restore(now, 0);
        isOtherKnown = false;
        run(seconds(2));
        ASSERT_EQ(eraOf(keys.version()), 2);
        EXPECT_EQ(keys.map().find(0).owner, other);
        run(seconds(2));
        EXPECT_EQ(keys.map().find(0).owner, self);
    }

    // Guards against a hold that is renewed by a check of an earlier era, answered only after the restore.
    TEST_F(OwnershipRestoreTest, AnEarlierMapIsNotConfirmed)
    {
        now += seconds(5); // The last hold has ended.
        keys.advance();
        ASSERT_FALSE(client.queue.empty());
        auto call = std::move(client.queue.front());
        client.queue.clear();
        store.restore(now, 0);
        const auto outcome = store.apply(call.write);
        ASSERT_TRUE(outcome.isApplied);
        client.noteEra(2);
        call.done(outcome);
        heartbeat();
        EXPECT_FALSE(grant.isValid);
    }

    // Guards against an answer to another owner that takes a map of an earlier era as current.
    TEST_F(OwnershipRestoreTest, AnEarlierMapIsNotConfirmedForOtherOwners)
    {
        const auto version = keys.version();
        client.noteEra(2);
        map_statement statement = map_statement::current;
        std::optional<duration> confirmedAgo;
        keys.handleConfirmation({ other, version, 1 }, [&](map_statement one, std::optional<duration> ago) {
            statement = one;
            confirmedAgo = ago;
        });
        EXPECT_NE(statement, map_statement::current);
        EXPECT_FALSE(confirmedAgo.has_value());
    }

    // Guards against two holders of a key: an owner that is cut off from the store and has not heard of a restore took
    // up keys again that it had lost by a map which the restore lost, because the others promised.
    TEST_F(OwnershipRestoreTest, AnOwnerThatDoesNotKnowTheEraGetsNoPromise)
    {
        const auto version = keys.version();
        client.noteEra(2);
        const auto ask = [&](store_era era) {
            auto statement = map_statement::current;
            keys.handleConfirmation(
                { other, version, era }, [&](map_statement one, std::optional<duration>) { statement = one; });
            return statement;
        };
        EXPECT_EQ(ask(1), map_statement::unknown);
        EXPECT_EQ(ask(2), map_statement::promised);
    }

    // Guards against an owner that is cut off from the store and does not learn of a restore from the others.
    TEST_F(OwnershipRestoreTest, TheEraOfAnotherOwnerIsTakenOver)
    {
        keys.handleConfirmation({ other, keys.version(), 2 }, [](map_statement, std::optional<duration>) {});
        EXPECT_EQ(keys.era(), 2);
    }

    // Guards against a map that a restarted node builds from nothing, because the store has lost it: backend servers
    // may still hold its keys.
    TEST_F(OwnershipRestoreTest, AMapBuiltFromNothingMayHaveUnknownHolders)
    {
        simulated_store empty;
        settings.isFirstStart = false;
        simulated_store_client otherClient;
        ownership restarted { base.get(), settings, otherClient, { "ranges", "service" },
            ownership_hooks { [this] { return now; }, [this] { return candidates(); },
                [](const range_map& map, fencing_token, time_point) { return map; }, [] {}, [] {}, [] { return false; },
                [](const std::set<life_name>&) {}, [](const life_name&) { return true; } } };
        restarted.onTableRead(3);
        for (int i = 0; i < 60; ++i, now += milliseconds(100)) {
            restarted.advance();
            while (!otherClient.queue.empty()) {
                auto call = std::move(otherClient.queue.front());
                otherClient.queue.pop_front();
                call.done(otherClient.answer(empty, call.write));
            }
        }
        ASSERT_GT(restarted.version(), 0);
        EXPECT_TRUE(restarted.map().find(0).mayHaveUnknownHolder());
    }

} // namespace
} // namespace heatherdrift
