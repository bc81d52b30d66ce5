#include "ranges/hold_manager.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const time_point start { std::chrono::hours(1) };
    const hold_terms terms { seconds(4), seconds(2), seconds(6), seconds(10), 0.02 };
    constexpr key_range all { 0, lastKey };

    class HoldManagerTest : public testing::Test {
    protected:
        hold_grant reportAndGrant(
            time_point at, std::vector<held_range> holds = {}, std::vector<released_range> released = {})
        {
            manager.report({ manager.life(), std::move(holds), std::move(released) });
            return manager.grant(at);
        }

        hold_manager manager { terms, start - seconds(20) };
        range_map owned = range_map().assign(all, "a", 1);
    };

    // Guards against a hold that ends later than a lease after the last confirmation by the store: from then on, the
    // keys may be granted to another owner.
    TEST_F(HoldManagerTest, HoldEndsALeaseAfterTheConfirmation)
    {
        manager.startLife("a");
        EXPECT_FALSE(reportAndGrant(start).isValid);
        manager.confirm(owned, start);
        const auto grant = reportAndGrant(start + seconds(1));
        ASSERT_TRUE(grant.isValid);
        EXPECT_LE(grant.hold * 102 / 100, duration(seconds(3)));
        EXPECT_EQ(grant.ranges.size(), 1u);
        manager.setMap(owned); // A map without a confirmation does not renew the hold.
        EXPECT_FALSE(reportAndGrant(start + seconds(4)).isValid);
    }

    // Guards against keys that are not served during an outage of the store, and against an unbounded extension by
    // promises: a server that gave no promise takes keys over after the longest extension.
    TEST_F(HoldManagerTest, PromisesOfTheOtherOwnersExtendAHoldWithinABound)
    {
        manager.startLife("a");
        manager.confirm(owned, start);
        manager.extend(start + seconds(5));
        const auto grant = reportAndGrant(start + seconds(5));
        ASSERT_TRUE(grant.isValid);
        EXPECT_LE(grant.hold, duration(seconds(2)));
        manager.extend(start + seconds(60));
        EXPECT_FALSE(reportAndGrant(start + seconds(60)).isValid);
        EXPECT_TRUE(reportAndGrant(start + seconds(9)).isValid);
    }

    // Guards against requests sent after the end of the hold.
    TEST_F(HoldManagerTest, ServesOnlyWhileTheHoldLasts)
    {
        manager.startLife("a");
        manager.startLife("b");
        manager.confirm(range_map().assign(all, "b", 1), start);
        EXPECT_FALSE(manager.mayServe(5, start));
        reportAndGrant(start);
        EXPECT_TRUE(manager.mayServe(5, start + seconds(3)));
        EXPECT_FALSE(manager.mayServe(5, start + seconds(4)));
    }

    // Guards against two simultaneous owners: keys that an earlier owner may still hold must not be granted.
    TEST_F(HoldManagerTest, KeysAreNotGrantedBeforeTheirRelease)
    {
        manager.startLife("b");
        const auto moved = owned.assign({ 0, 99 }, "b", 2);
        manager.confirm(moved, start);
        EXPECT_TRUE(reportAndGrant(start).ranges.empty());
        EXPECT_FALSE(manager.mayServe(5, start));
        manager.confirm(moved.release("a", { 0, 99 }, "warm"), start);
        const auto grant = reportAndGrant(start);
        ASSERT_EQ(grant.ranges.size(), 1u);
        EXPECT_EQ(grant.ranges[0], (granted_range { { 0, 99 }, 2, "warm" }));
    }

    // Guards against a release recorded while the backend server still holds the keys or executes requests for them.
    TEST_F(HoldManagerTest, KeysAreReleasedWhenReportedByTheBackendServer)
    {
        manager.startLife("a");
        manager.confirm(owned, start);
        reportAndGrant(start);
        const auto moved = owned.assign({ 0, 99 }, "b", 2);
        manager.confirm(moved, start);
        EXPECT_EQ(manager.releaseUnheld(moved, start), moved);
        reportAndGrant(start, { { all, 1 } });
        reportAndGrant(start, { { { 0, 99 }, 1 }, { { 100, lastKey }, 1 } });
        EXPECT_EQ(manager.releaseUnheld(moved, start), moved);
        reportAndGrant(start, { { { 100, lastKey }, 1 } }, { { { 0, 99 }, "warm" } });
        const auto released = manager.releaseUnheld(moved, start);
        EXPECT_TRUE(released.find(5).releasing.empty());
        EXPECT_EQ(released.find(5).handover, "warm");
    }

    // Guards against a restarted node that treats keys missing from the reports of a running backend server as
    // released: they may be old ones that were delayed, sent before the last grants of the previous process.
    TEST_F(HoldManagerTest, ReportsReleaseNoKeysWhileHoldsOfThePreviousProcessMayLast)
    {
        manager = hold_manager(terms, start);
        const auto moved = owned.assign({ 0, 99 }, "b", 2);
        manager.startLife("a");
        manager.confirm(moved, start);
        for (int report = 0; report < 3; ++report) {
            reportAndGrant(start, {}, { { { 0, 99 }, "old" } });
            EXPECT_EQ(manager.releaseUnheld(moved, start + seconds(4)), moved) << "report " << report;
        }
        const auto later = start + seconds(4) + milliseconds(10);
        manager.confirm(moved, later);
        reportAndGrant(later);
        EXPECT_NE(manager.releaseUnheld(moved, later), moved);
    }

    // Guards against a node that treats a key missing from the first report of a life as released.
    TEST_F(HoldManagerTest, FirstReportReleasesNoKeys)
    {
        const auto moved = owned.assign({ 0, 99 }, "b", 2);
        manager.startLife("a");
        manager.confirm(moved, start);
        reportAndGrant(start);
        manager.confirm(moved, start);
        EXPECT_EQ(manager.releaseUnheld(moved, start), moved);
        reportAndGrant(start);
        EXPECT_NE(manager.releaseUnheld(moved, start), moved);
    }

    // Guards against keys that are never served again after a backend server stopped reporting.
    TEST_F(HoldManagerTest, KeysOfAnUnresponsiveBackendServerAreReleasedWhenItsHoldHasEnded)
    {
        manager.startLife("a");
        manager.confirm(owned, start);
        reportAndGrant(start);
        const auto moved = owned.assign(all, "b", 2);
        EXPECT_EQ(manager.releaseUnheld(moved, start + seconds(3)), moved);
        EXPECT_TRUE(manager.releaseUnheld(moved, start + seconds(5)).find(0).releasing.empty());
    }

    // Guards against a release while a backend server whose clock runs slow still holds the keys.
    TEST_F(HoldManagerTest, KeysAreReleasedAfterTheHoldHasEndedByASlowClock)
    {
        const auto later = start + seconds(20); // The holds of an earlier process have ended.
        manager.startLife("b");
        manager.confirm(range_map().assign(all, "b", 1), later);
        const auto grant = reportAndGrant(later);
        const auto moved = range_map().assign(all, "b", 1).assign(all, "c", 2);
        const auto endBySlowClock = later + std::chrono::duration_cast<duration>(grant.hold * 1.02);
        EXPECT_EQ(manager.releaseUnheld(moved, endBySlowClock), moved);
        EXPECT_NE(manager.releaseUnheld(moved, endBySlowClock + milliseconds(10)), moved);
    }

    // Guards against a release by a new process while a hold granted by the previous process is still in force.
    TEST_F(HoldManagerTest, ANewProcessRespectsHoldsOfThePreviousOne)
    {
        manager = hold_manager(terms, start);
        manager.startLife("a");
        const auto moved = owned.assign(all, "b", 2);
        EXPECT_EQ(manager.releaseUnheld(moved, start + seconds(3)), moved);
    }

    // Guards against the same where the new process has taken a late heartbeat of an earlier incarnation first: the
    // previous process has granted nothing to that one, but may have to the next.
    TEST_F(HoldManagerTest, ANewProcessRespectsHoldsOfThePreviousOneAfterALateHeartbeat)
    {
        manager = hold_manager(terms, start);
        manager.startLife("earlier");
        manager.startLife("a");
        const auto moved = owned.assign(all, "b", 2);
        EXPECT_EQ(manager.releaseUnheld(moved, start + seconds(3)), moved);
        EXPECT_NE(manager.releaseUnheld(moved, start + seconds(5)), moved);
    }

    // Guards against a release of keys that the backend server still executes requests for: a range that was granted
    // again with a higher token is reported once per token until the requests of the lower one have ended, and that end
    // is reported as a release of the lower token alone.
    TEST_F(HoldManagerTest, ReleaseOfALowerTokenDoesNotReleaseKeysHeldWithAHigherOne)
    {
        manager.startLife("a");
        manager.confirm(owned.assign({ 200, lastKey }, "b", 2), start);
        reportAndGrant(start);
        const auto merged = range_map().assign(all, "a", 5);
        manager.confirm(merged, start);
        reportAndGrant(start, { { { 0, 199 }, 1 } });
        const auto moved = merged.assign({ 100, 299 }, "b", 6);
        manager.confirm(moved, start);
        reportAndGrant(start, { { { 0, 199 }, 1 }, { all, 5 } });
        reportAndGrant(start, { { { 0, 99 }, 1 }, { { 0, 99 }, 5 }, { { 100, 299 }, 5 }, { { 300, lastKey }, 5 } },
            { { { 100, 199 }, "lower" } });
        reportAndGrant(start, { { { 0, 99 }, 5 }, { { 100, 299 }, 5 }, { { 300, lastKey }, 5 } });
        EXPECT_EQ(manager.releaseUnheld(moved, start), moved);
        reportAndGrant(start, { { { 0, 99 }, 5 }, { { 300, lastKey }, 5 } }, { { { 100, 299 }, "higher" } });
        const auto released = manager.releaseUnheld(moved, start);
        EXPECT_TRUE(released.find(100).releasing.empty());
        EXPECT_EQ(released.find(100).handover, "higher");
        EXPECT_EQ(released.find(250).handover, "higher");
    }

    // Guards against a release that the backend server sent before it had received the last grant, which gave it the
    // keys back.
    TEST_F(HoldManagerTest, ReleaseSentBeforeTheLastGrantArrivedDoesNotReleaseItsKeys)
    {
        manager.startLife("a");
        manager.confirm(owned, start);
        reportAndGrant(start);
        const auto moved = owned.assign({ 0, 99 }, "b", 2);
        manager.confirm(moved, start);
        reportAndGrant(start, { { all, 1 } });
        manager.report({ "a", { { { 100, lastKey }, 1 } }, { { { 0, 99 }, "h" } } });
        const auto back = manager.releaseUnheld(moved, start).assign({ 0, 99 }, "a", 3).release("b", { 0, 99 }, "");
        manager.confirm(back, start);
        ASSERT_EQ(manager.grant(start).ranges.size(), 2u);
        const auto again = back.assign({ 0, 99 }, "b", 4);
        manager.report({ "a", { { { 100, lastKey }, 1 } }, { { { 0, 99 }, "h" } } });
        manager.confirm(again, start);
        manager.grant(start);
        EXPECT_EQ(manager.releaseUnheld(again, start), again);
    }

    // Guards against keys on which requests are at work that count as released: a report without lists of keys comes
    // from another writer and says nothing about them.
    TEST_F(HoldManagerTest, ReportWithoutListsReleasesNoKeys)
    {
        manager.startLife("a");
        manager.confirm(owned, start);
        reportAndGrant(start);
        const auto moved = owned.assign({ 0, 99 }, "b", 2);
        manager.confirm(moved, start);
        reportAndGrant(start, { { all, 1 } });
        reportAndGrant(start, { { { 0, 99 }, 1 }, { { 100, lastKey }, 1 } });
        manager.report({ "a", {}, {}, false });
        manager.grant(start);
        EXPECT_EQ(manager.releaseUnheld(moved, start), moved);
    }

    // Guards against keys that a backend server gets while it leaves: it ends a few seconds later, and its keys are
    // assigned to others by then.
    TEST_F(HoldManagerTest, LeavingIncarnationIsGrantedOnlyWhatItHolds)
    {
        manager.startLife("a");
        manager.confirm(owned, start);
        manager.report({ "a", { { { 50, 149 }, 1 }, { { 100, 199 }, 1 } }, {} });
        const auto grant = manager.grant(start, grant_scope::held);
        ASSERT_TRUE(grant.isValid);
        ASSERT_EQ(grant.ranges.size(), 1u);
        EXPECT_EQ(grant.ranges[0].keys, (key_range { 50, 199 }));
        manager.report({ "a", {}, {} });
        EXPECT_TRUE(manager.grant(start, grant_scope::held).ranges.empty());
    }

    /// Keys of "a" that are moved away and back, released in between, granted to it again and moved away once more. The
    /// release is reported until a response has arrived.
    class RegrantedKeysTest : public HoldManagerTest {
    protected:
        RegrantedKeysTest()
        {
            manager.startLife("a");
            confirmAndReport(owned, {});
            confirmAndReport(owned.assign(moved, "b", 2), { { all, 1 } });
            confirmAndReport(
                range_map().assign(all, "a", 1).assign(moved, "", 0).releaseAll(moved).assign(moved, "a", 3),
                { { rest, 1 } }, { { moved, "first" } });
        }

        hold_grant confirmAndReport(
            const range_map& map, std::vector<held_range> holds, std::vector<released_range> released = {})
        {
            manager.confirm(map, start);
            return reportAndGrant(start, std::move(holds), std::move(released));
        }

        const key_range moved { 0, 99 };
        const key_range rest { 100, lastKey };
        range_map movedAgain = owned.assign(moved, "b", 4);
    };

    // Guards against a release that the backend server reported before the grant of the same keys arrived: the next
    // owner was granted keys that it was at work on.
    TEST_F(RegrantedKeysTest, ReleaseReportedBeforeTheGrantArrivedIsVoid)
    {
        ASSERT_EQ(manager.granted().size(), 2u);
        confirmAndReport(movedAgain, { { rest, 1 } }, { { moved, "first" } });
        EXPECT_EQ(manager.releaseUnheld(movedAgain, start), movedAgain);
        reportAndGrant(start, { { rest, 1 }, { moved, 3 } });
        EXPECT_EQ(manager.releaseUnheld(movedAgain, start), movedAgain);
        reportAndGrant(start, { { rest, 1 } }, { { moved, "second" } });
        reportAndGrant(start, { { rest, 1 } }, { { moved, "second" } });
        EXPECT_EQ(manager.releaseUnheld(movedAgain, start).find(0).handover, "second");
    }

    // Guards against the same with several reports, since a backend server that releases keys sends one every 100 ms
    // and a response may take a second.
    TEST_F(RegrantedKeysTest, SeveralReleasesReportedBeforeTheGrantArrivedAreVoid)
    {
        for (int report = 0; report < 4; ++report) {
            confirmAndReport(movedAgain, { { rest, 1 } }, { { moved, "first" } });
            EXPECT_EQ(manager.releaseUnheld(movedAgain, start), movedAgain) << "report " << report;
        }
        reportAndGrant(start, { { rest, 1 }, { moved, 3 } });
        reportAndGrant(start, { { rest, 1 } }, { { moved, "second" } });
        EXPECT_EQ(manager.releaseUnheld(movedAgain, start).find(0).handover, "second");
    }

    // Guards against the same where the reports list no release, since the response to an earlier one has acknowledged
    // it.
    TEST_F(RegrantedKeysTest, ReportsSentBeforeTheGrantArrivedReleaseNothing)
    {
        for (int report = 0; report < 4; ++report) {
            confirmAndReport(movedAgain, { { rest, 1 } });
            EXPECT_EQ(manager.releaseUnheld(movedAgain, start), movedAgain) << "report " << report;
        }
        reportAndGrant(start, { { rest, 1 }, { moved, 3 } });
        reportAndGrant(start, { { rest, 1 } });
        EXPECT_TRUE(manager.releaseUnheld(movedAgain, start).find(0).releasing.empty());
    }

    // Guards against keys that are never released because the response with their grant was lost: its hold ends.
    TEST_F(RegrantedKeysTest, KeysWhoseGrantWasLostAreReleasedWhenItsHoldHasEnded)
    {
        const auto later = start + seconds(5);
        confirmAndReport(movedAgain, { { rest, 1 } });
        manager.confirm(movedAgain, later);
        reportAndGrant(later, { { rest, 1 } });
        reportAndGrant(later, { { rest, 1 } });
        EXPECT_TRUE(manager.releaseUnheld(movedAgain, later).find(0).releasing.empty());
    }

    // Guards against keys granted on the word of an older copy of the map, which an incarnation of a lost map still
    // holds.
    TEST_F(HoldManagerTest, KeysWithAnUnknownHolderAreNotGranted)
    {
        manager.startLife("a");
        manager.startEra(start);
        manager.confirm(owned.withUnknownHolder(50, 12000), start);
        const auto grant = reportAndGrant(start);
        EXPECT_TRUE(grant.isValid);
        EXPECT_TRUE(grant.ranges.empty());
        EXPECT_EQ(
            manager.releaseExclusivelyHeld(owned.withUnknownHolder(50, 12000)), owned.withUnknownHolder(50, 12000));
    }

    // Guards against keys that lapse because the store came back from a copy, although their holder still runs, and
    // against a grant of others that the older map assigns to it.
    TEST_F(HoldManagerTest, HeldKeysAreKeptWithTheNewTokenWhenTheStoreComesBack)
    {
        manager.startLife("a");
        manager.confirm(range_map().assign(all, "b", 1).assign({ 0, 99 }, "a", 2).release("b", { 0, 99 }, ""), start);
        reportAndGrant(start);
        manager.startEra(start + seconds(1));
        const auto restored = owned.withUnknownHolder(50, 12000);
        manager.confirm(restored, start + seconds(1));
        const auto grant = reportAndGrant(start + seconds(1), { { { 0, 99 }, 2 } });
        ASSERT_EQ(grant.ranges.size(), 1u);
        EXPECT_EQ(grant.ranges[0], (granted_range { { 0, 99 }, 50, "" }));
        EXPECT_TRUE(manager.mayServe(5, start + seconds(1)));
        EXPECT_FALSE(manager.mayServe(500, start + seconds(1)));
        const auto proven = manager.releaseExclusivelyHeld(restored);
        EXPECT_TRUE(proven.find(99).releasing.empty());
        EXPECT_TRUE(proven.find(100).mayHaveUnknownHolder());
    }

    // Guards against a grant of keys whose hold had ended before the store came back: another incarnation may have got
    // them by a map that was lost.
    TEST_F(HoldManagerTest, AHoldThatEndedBeforeTheStoreCameBackProvesNothing)
    {
        manager.startLife("a");
        manager.confirm(owned, start);
        reportAndGrant(start);
        manager.startEra(start + seconds(5));
        manager.confirm(owned.withUnknownHolder(50, 12000), start + seconds(5));
        EXPECT_TRUE(reportAndGrant(start + seconds(5)).ranges.empty());
    }

    // Guards against keys of an ended incarnation that its successor gets as if it had held them.
    TEST_F(HoldManagerTest, HoldsOfAnEndedIncarnationProveNothingForTheNextOne)
    {
        manager.startLife("a");
        manager.confirm(owned, start);
        reportAndGrant(start);
        manager.startEra(start);
        manager.startLife("a2");
        manager.confirm(range_map().assign(all, "a2", 1).withUnknownHolder(50, 12000), start);
        EXPECT_TRUE(reportAndGrant(start).ranges.empty());
    }

    // Guards against grants of an ended incarnation that still apply to the next one.
    TEST_F(HoldManagerTest, ANewIncarnationHoldsNothing)
    {
        manager.startLife("a");
        manager.confirm(owned, start);
        reportAndGrant(start);
        EXPECT_TRUE(manager.mayServe(5, start));
        manager.startLife("a2");
        EXPECT_FALSE(manager.mayServe(5, start));
        EXPECT_TRUE(reportAndGrant(start).ranges.empty());
    }

} // namespace
} // namespace heatherdrift
