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
        hold_grant reportAndGrant(
            time_point at, std::vector<held_range> holds = {}, std::vector<released_range> released = {})
        {
            keeper.report({ keeper.life(), std::move(holds), std::move(released) });
            return keeper.grant(at);
        }

        hold_keeper keeper { terms, start };
        range_map owned = range_map().assign(all, "a", 1);
    };

    // Guards against a hold that ends later than a lease after the last confirmation by the store: from then on, the
    // keys may be granted to another owner.
    TEST_F(HoldKeeperTest, HoldEndsALeaseAfterTheConfirmation)
    {
        keeper.startLife("a");
        EXPECT_FALSE(reportAndGrant(start).isValid);
        keeper.confirm(owned, start);
        const auto grant = reportAndGrant(start + seconds(1));
        ASSERT_TRUE(grant.isValid);
        EXPECT_LE(grant.hold * 102 / 100, duration(seconds(3)));
        EXPECT_EQ(grant.ranges.size(), 1u);
        keeper.setMap(owned); // A map without a confirmation does not renew the hold.
        EXPECT_FALSE(reportAndGrant(start + seconds(4)).isValid);
    }

    // Guards against keys that are not served during an outage of the store, and against an unbounded extension by
    // promises: a server that gave no promise takes keys over after the longest extension.
    TEST_F(HoldKeeperTest, PromisesOfTheOtherOwnersExtendAHoldWithinABound)
    {
        keeper.startLife("a");
        keeper.confirm(owned, start);
        keeper.extend(start + seconds(5));
        const auto grant = reportAndGrant(start + seconds(5));
        ASSERT_TRUE(grant.isValid);
        EXPECT_LE(grant.hold, duration(seconds(2)));
        keeper.extend(start + seconds(60));
        EXPECT_FALSE(reportAndGrant(start + seconds(60)).isValid);
        EXPECT_TRUE(reportAndGrant(start + seconds(9)).isValid);
    }

    // Guards against requests sent after the end of the hold.
    TEST_F(HoldKeeperTest, ServesOnlyWhileTheHoldLasts)
    {
        keeper.startLife("a");
        keeper.startLife("b");
        keeper.confirm(range_map().assign(all, "b", 1), start);
        EXPECT_FALSE(keeper.mayServe(5, start));
        reportAndGrant(start);
        EXPECT_TRUE(keeper.mayServe(5, start + seconds(3)));
        EXPECT_FALSE(keeper.mayServe(5, start + seconds(4)));
    }

    // Guards against two simultaneous owners: keys that an earlier owner may still hold must not be granted.
    TEST_F(HoldKeeperTest, KeysAreNotGrantedBeforeTheirRelease)
    {
        keeper.startLife("b");
        const auto moved = owned.assign({ 0, 99 }, "b", 2);
        keeper.confirm(moved, start);
        EXPECT_TRUE(reportAndGrant(start).ranges.empty());
        EXPECT_FALSE(keeper.mayServe(5, start));
        keeper.confirm(moved.release("a", { 0, 99 }, "warm"), start);
        const auto grant = reportAndGrant(start);
        ASSERT_EQ(grant.ranges.size(), 1u);
        EXPECT_EQ(grant.ranges[0], (granted_range { { 0, 99 }, 2, "warm" }));
    }

    // Guards against a release recorded while the backend server still holds the keys or executes requests for them.
    TEST_F(HoldKeeperTest, KeysAreReleasedWhenReportedByTheBackendServer)
    {
        keeper.startLife("a");
        keeper.confirm(owned, start);
        reportAndGrant(start);
        const auto moved = owned.assign({ 0, 99 }, "b", 2);
        keeper.confirm(moved, start);
        EXPECT_EQ(keeper.releaseUnheld(moved, start), moved);
        reportAndGrant(start, { { all, 1 } });
        reportAndGrant(start, { { { 0, 99 }, 1 }, { { 100, lastKey }, 1 } });
        EXPECT_EQ(keeper.releaseUnheld(moved, start), moved);
        reportAndGrant(start, { { { 100, lastKey }, 1 } }, { { { 0, 99 }, "warm" } });
        const auto released = keeper.releaseUnheld(moved, start);
        EXPECT_TRUE(released.find(5).releasing.empty());
        EXPECT_EQ(released.find(5).handover, "warm");
    }

    // Guards against a restarted node that treats a key missing from the first report of a running backend server as
    // released: this report may be an old one that was delayed.
    TEST_F(HoldKeeperTest, FirstReportAfterAStartReleasesNoKeys)
    {
        const auto moved = owned.assign({ 0, 99 }, "b", 2);
        keeper.startLife("a");
        keeper.confirm(moved, start);
        reportAndGrant(start);
        EXPECT_EQ(keeper.releaseUnheld(moved, start), moved);
        reportAndGrant(start);
        EXPECT_NE(keeper.releaseUnheld(moved, start), moved);
    }

    // Guards against keys that are never served again after a backend server stopped reporting.
    TEST_F(HoldKeeperTest, KeysOfAnUnresponsiveBackendServerAreReleasedWhenItsHoldHasEnded)
    {
        keeper.startLife("a");
        keeper.confirm(owned, start);
        reportAndGrant(start);
        const auto moved = owned.assign(all, "b", 2);
        EXPECT_EQ(keeper.releaseUnheld(moved, start + seconds(3)), moved);
        EXPECT_TRUE(keeper.releaseUnheld(moved, start + seconds(5)).find(0).releasing.empty());
    }

    // Guards against a release by a new process while a hold granted by the previous process is still in force.
    TEST_F(HoldKeeperTest, ANewProcessRespectsHoldsOfThePreviousOne)
    {
        keeper.startLife("a");
        const auto moved = owned.assign(all, "b", 2);
        EXPECT_EQ(keeper.releaseUnheld(moved, start + seconds(3)), moved);
    }

    // Guards against grants of an ended incarnation that still apply to the next one.
    TEST_F(HoldKeeperTest, ANewIncarnationHoldsNothing)
    {
        keeper.startLife("a");
        keeper.confirm(owned, start);
        reportAndGrant(start);
        EXPECT_TRUE(keeper.mayServe(5, start));
        keeper.startLife("a2");
        EXPECT_FALSE(keeper.mayServe(5, start));
        EXPECT_TRUE(reportAndGrant(start).ranges.empty());
    }

} // namespace
} // namespace heatherdrift
