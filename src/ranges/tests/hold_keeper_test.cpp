#include "ranges/hold_keeper.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const time_point start { std::chrono::hours(1) };
    const hold_terms terms { seconds(4), seconds(2), seconds(6), seconds(10), 0.02 };
    constexpr key_range all { 0, lastKey };

    class HoldKeeperTest : public testing::Test {
    protected:
        hold_grant beat(time_point at, std::vector<held_range> holds = {}, std::vector<released_range> released = {})
        {
            keeper.report({ keeper.life(), std::move(holds), std::move(released) });
            return keeper.grant(at);
        }

        hold_keeper keeper { terms, start };
        range_map owned = range_map().assign(all, "a", 1);
    };

    // Guards against a hold that outlasts what the store has confirmed: another owner may be granted the keys a lease
    // after the map has changed.
    TEST_F(HoldKeeperTest, HoldEndsALeaseAfterTheConfirmation)
    {
        keeper.startLife("a");
        EXPECT_FALSE(beat(start).isValid);
        keeper.confirm(owned, start);
        const auto grant = beat(start + seconds(1));
        ASSERT_TRUE(grant.isValid);
        EXPECT_LE(grant.hold * 102 / 100, duration(seconds(3)));
        EXPECT_EQ(grant.ranges.size(), 1u);
        keeper.setMap(owned); // Knowing the map without a confirmation renews nothing.
        EXPECT_FALSE(beat(start + seconds(4)).isValid);
    }

    // Guards against keys that are unserved for as long as the store is away, and against a hold that promises extend
    // for ever: a takeover by a server that gave no promise waits for the longest extension.
    TEST_F(HoldKeeperTest, PromisesOfTheOtherOwnersExtendAHoldWithinABound)
    {
        keeper.startLife("a");
        keeper.confirm(owned, start);
        keeper.extend(start + seconds(5));
        const auto grant = beat(start + seconds(5));
        ASSERT_TRUE(grant.isValid);
        EXPECT_LE(grant.hold, duration(seconds(2)));
        keeper.extend(start + seconds(60));
        EXPECT_FALSE(beat(start + seconds(60)).isValid);
        EXPECT_TRUE(beat(start + seconds(9)).isValid);
    }

    // Guards against requests that are sent after the hold has ended.
    TEST_F(HoldKeeperTest, ServesOnlyWhileTheHoldLasts)
    {
        keeper.startLife("a");
        keeper.startLife("b");
        keeper.confirm(range_map().assign(all, "b", 1), start);
        EXPECT_FALSE(keeper.mayServe(5, start));
        beat(start);
        EXPECT_TRUE(keeper.mayServe(5, start + seconds(3)));
        EXPECT_FALSE(keeper.mayServe(5, start + seconds(4)));
    }

    // Guards against two owners: keys that an earlier owner may still hold must not be granted.
    TEST_F(HoldKeeperTest, KeysAreNotGrantedBeforeTheirRelease)
    {
        keeper.startLife("b");
        const auto moved = owned.assign({ 0, 99 }, "b", 2);
        keeper.confirm(moved, start);
        EXPECT_TRUE(beat(start).ranges.empty());
        EXPECT_FALSE(keeper.mayServe(5, start));
        keeper.confirm(moved.release("a", { 0, 99 }, "warm"), start);
        const auto grant = beat(start);
        ASSERT_EQ(grant.ranges.size(), 1u);
        EXPECT_EQ(grant.ranges[0], (granted_range { { 0, 99 }, 2, "warm" }));
    }

    // Guards against a release that is recorded while the backend server still holds the keys or works on them.
    TEST_F(HoldKeeperTest, KeysAreReleasedOnceTheBackendServerSaysSo)
    {
        keeper.startLife("a");
        keeper.confirm(owned, start);
        beat(start);
        const auto moved = owned.assign({ 0, 99 }, "b", 2);
        keeper.confirm(moved, start);
        EXPECT_EQ(keeper.releaseUnheld(moved, start), moved);
        beat(start, { { all, 1 } });
        beat(start, { { { 0, 99 }, 1 }, { { 100, lastKey }, 1 } });
        EXPECT_EQ(keeper.releaseUnheld(moved, start), moved);
        beat(start, { { { 100, lastKey }, 1 } }, { { { 0, 99 }, "warm" } });
        const auto released = keeper.releaseUnheld(moved, start);
        EXPECT_TRUE(released.find(5).releasing.empty());
        EXPECT_EQ(released.find(5).handover, "warm");
    }

    // Guards against a node that restarts beside a living backend server and takes its silence on a key for a release:
    // the first heartbeat may be an old one that was delayed.
    TEST_F(HoldKeeperTest, FirstReportAfterAStartProvesNoAbsence)
    {
        const auto moved = owned.assign({ 0, 99 }, "b", 2);
        keeper.startLife("a");
        keeper.confirm(moved, start);
        beat(start);
        EXPECT_EQ(keeper.releaseUnheld(moved, start), moved);
        beat(start);
        EXPECT_NE(keeper.releaseUnheld(moved, start), moved);
    }

    // Guards against keys that stay unserved for ever when a backend server falls silent.
    TEST_F(HoldKeeperTest, KeysOfASilentBackendServerAreReleasedWhenItsHoldHasEnded)
    {
        keeper.startLife("a");
        keeper.confirm(owned, start);
        beat(start);
        const auto moved = owned.assign(all, "b", 2);
        EXPECT_EQ(keeper.releaseUnheld(moved, start + seconds(3)), moved);
        EXPECT_TRUE(keeper.releaseUnheld(moved, start + seconds(5)).find(0).releasing.empty());
    }

    // Guards against a release by a process that does not know what its predecessor granted shortly before.
    TEST_F(HoldKeeperTest, AStartedProcessCountsTheHoldsOfItsPredecessor)
    {
        keeper.startLife("a");
        const auto moved = owned.assign(all, "b", 2);
        EXPECT_EQ(keeper.releaseUnheld(moved, start + seconds(3)), moved);
    }

    // Guards against grants to a life that has ended.
    TEST_F(HoldKeeperTest, AnotherLifeHoldsNothing)
    {
        keeper.startLife("a");
        keeper.confirm(owned, start);
        beat(start);
        EXPECT_TRUE(keeper.mayServe(5, start));
        keeper.startLife("a2");
        EXPECT_FALSE(keeper.mayServe(5, start));
        EXPECT_TRUE(beat(start).ranges.empty());
    }

} // namespace
} // namespace heatherdrift
