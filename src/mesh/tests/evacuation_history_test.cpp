#include "mesh/tests/evacuation_history.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

#ifdef HEATHERDRIFT_SANITIZE_BUILD
    constexpr std::uint64_t histories = 10; // About 30 times slower per history.
#else
    constexpr std::uint64_t histories = 200;
#endif

    /// Six nodes in three zones whose keys have settled.
    struct settled_history : evacuation_history {
        explicit settled_history(std::uint64_t seed)
            : evacuation_history(seed, 6)
        {
            allowFaults(false);
            enableFeed();
            run(seconds(20));
        }
    };

    // Guards against two holders of a key, and against requests that reach a zone after the limit, under random
    // evacuations and withdrawals beside restarts of nodes and backend servers, departures, cuts, freezes, outages of
    // the store and its return from an older copy of the map. Each history covers 60 s of virtual time.
    TEST(EvacuationHistory, NoKeyHasTwoHoldersAndNoClosedZoneGetsRequests)
    {
        for (std::uint64_t seed = 1; seed <= histories; ++seed) {
            evacuation_history history(seed, 3 + seed % 4);
            history.changeAtRandom(0.02 * static_cast<double>(1 + seed % 10));
            if (seed % 4 == 0)
                history.setRestores(0.06);
            history.run(seconds(60));
            ASSERT_EQ(history.failure, "") << "seed " << seed;
        }
    }

    // Guards against gates that rely on the entry nodes: each of the two has to keep the limit on its own.
    TEST(EvacuationHistory, GatesAloneKeepTheLimit)
    {
        for (std::uint64_t seed = 1; seed <= histories / 4; ++seed) {
            evacuation_history history(seed, 3 + seed % 4);
            history.allowFaults(false);
            history.ignoreAtEntries();
            history.changeAtRandom(0.1);
            history.run(seconds(60));
            ASSERT_EQ(history.failure, "") << "seed " << seed;
        }
    }

    // Shows that the check of the limit can fail.
    TEST(EvacuationHistory, RequestsToAClosedZoneAreDetected)
    {
        std::string failure;
        for (std::uint64_t seed = 1; seed <= histories && failure.empty(); ++seed) {
            evacuation_history history(seed, 6);
            history.changeAtRandom(0.1);
            history.ignoreAtEntries();
            history.ignoreAtGates();
            history.run(seconds(60));
            failure = history.failure;
        }
        EXPECT_NE(failure, "");
    }

    // Guards against keys that stay in an evacuated zone, or that are not served for long while they move.
    TEST(EvacuationHistory, KeysMoveOutAndAreServedSoon)
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            settled_history history(seed);
            ASSERT_GT(history.keysIn("a"), 0u) << "seed " << seed;
            history.resetAnsweredShare();
            history.setEvacuated("a", true);
            history.run(seconds(6));
            EXPECT_EQ(history.keysIn("a"), 0u) << "seed " << seed;
            // Two of the five sampled keys may be in the zone and must be served again within 3 s.
            EXPECT_GT(history.answeredShare(), 0.8) << "seed " << seed;
            history.resetAnsweredShare();
            history.run(seconds(5));
            EXPECT_GT(history.answeredShare(), 0.99) << "seed " << seed;
            EXPECT_EQ(history.failure, "") << "seed " << seed;
        }
    }

    // Guards against keys without an owner after a withdrawal in the middle of their move.
    TEST(EvacuationHistory, WithdrawalInTheMiddleLeavesEveryKeyServed)
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            settled_history history(seed);
            history.setEvacuated("a", true);
            history.run(milliseconds(100 * seed));
            history.setEvacuated("a", false);
            history.run(seconds(5));
            history.resetAnsweredShare();
            history.run(seconds(5));
            EXPECT_GT(history.answeredShare(), 0.99) << "seed " << seed;
            EXPECT_EQ(history.failure, "") << "seed " << seed;
        }
    }

    // Guards against a second evacuation that moves keys into the zone of the first one.
    TEST(EvacuationHistory, SecondZoneMovesItsKeysToTheThird)
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            settled_history history(seed);
            history.setEvacuated("a", true);
            history.run(milliseconds(300 * seed));
            history.setEvacuated("b", true);
            history.run(seconds(8));
            EXPECT_EQ(history.keysIn("a") + history.keysIn("b"), 0u) << "seed " << seed;
            history.resetAnsweredShare();
            history.run(seconds(5));
            EXPECT_GT(history.answeredShare(), 0.99) << "seed " << seed;
            EXPECT_EQ(history.failure, "") << "seed " << seed;
        }
    }

    // Guards against keys that wander between servers of evacuated zones, or are lost, when all zones are evacuated.
    TEST(EvacuationHistory, KeysStayWhenAllZonesAreEvacuated)
    {
        settled_history history(1);
        for (const char* zone : { "a", "b", "c" })
            history.setEvacuated(zone, true);
        history.run(seconds(8));
        const auto before = history.keysIn("a");
        history.run(seconds(20));
        EXPECT_EQ(history.keysIn("a"), before);
        EXPECT_EQ(history.failure, "");
        history.setEvacuated("b", false);
        history.run(seconds(8));
        history.resetAnsweredShare();
        history.run(seconds(5));
        EXPECT_GT(history.answeredShare(), 0.99);
        EXPECT_EQ(history.keysIn("a") + history.keysIn("c"), 0u);
    }

    // Guards against a node that takes keys again because it restarts, and against a departure of its backend server
    // that has no effect, during an evacuation.
    TEST(EvacuationHistory, RestartsAndDeparturesBringNoKeysBack)
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            settled_history history(seed);
            history.setEvacuated("a", true);
            history.run(milliseconds(250 * seed));
            history.restartNode(0);
            history.drainNode(3);
            history.run(seconds(8));
            EXPECT_EQ(history.keysIn("a"), 0u) << "seed " << seed;
            history.endDrainedBackend(3);
            history.run(seconds(8));
            EXPECT_EQ(history.keysIn("a"), 0u) << "seed " << seed;
            history.resetAnsweredShare();
            history.run(seconds(5));
            EXPECT_GT(history.answeredShare(), 0.99) << "seed " << seed;
            EXPECT_EQ(history.failure, "") << "seed " << seed;
        }
    }

} // namespace
} // namespace heatherdrift
