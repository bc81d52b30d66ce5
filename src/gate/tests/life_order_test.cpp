#include "gate/life_order.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;
    using verdict = heartbeat_verdict;

    constexpr auto interval = 870ms;
    constexpr auto noHolds = time_point::min();
    const time_point start { 1000s };
    const stated_life first { "i", 5000 };
    const stated_life second { "i", 4300 }; ///< Later than `first`, after a step of the clock by 2 s.
    const stated_life third { "i", 9000 };

    class LifeOrderTest : public testing::Test {
    protected:
        verdict beat(const stated_life& life, std::int64_t sequence, time_point at, time_point holdsEnd = noHolds)
        {
            return order.observe(life, sequence, at, holdsEnd);
        }

        /// Heartbeats of a life in turn; returns the time of the first that is taken.
        time_point beatUntilTaken(const stated_life& life, time_point from, time_point holdsEnd = noHolds)
        {
            std::int64_t sequence = 0;
            for (auto at = from; at < from + 60s; at += interval) {
                const auto now = beat(life, ++sequence, at, holdsEnd);
                if (now == verdict::next)
                    return at;
                EXPECT_NE(now, verdict::present);
            }
            return time_point::max();
        }

        life_order order { interval };
    };

    // Guards against a delay of ordinary restarts.
    TEST_F(LifeOrderTest, LaterStartIsTakenAtOnce)
    {
        EXPECT_EQ(beat(first, 1, start), verdict::next);
        EXPECT_EQ(beat(first, 2, start + interval), verdict::present);
        EXPECT_EQ(beat(first, 2, start + interval), verdict::repeated);
        EXPECT_EQ(beat(third, 1, start + interval + 1ms), verdict::next);
        EXPECT_EQ(order.present(), (ordered_life { third, 9000 }));
    }

    // Guards against a life after a backward step of the clock whose heartbeats are ignored for as long as it runs.
    TEST_F(LifeOrderTest, EarlierStartIsTakenWhenItsHeartbeatsGoOnAndThePresentLifeIsSilent)
    {
        beat(first, 1, start);
        const auto taken = beatUntilTaken(second, start + 400ms);
        EXPECT_LE(taken, start + 400ms + 3 * interval);
        EXPECT_EQ(order.present(), (ordered_life { second, 5001 })) << "later lives have higher numbers";
        EXPECT_EQ(beat(first, 2, taken + 1ms), verdict::late) << "also if the clock puts it later";
        EXPECT_EQ(beat(second, 10, taken + 2ms), verdict::present);
        EXPECT_EQ(beat(third, 1, taken + 3ms), verdict::next);
    }

    // Guards against two lives that hold keys: a present life that is only paused holds its keys until they expire.
    TEST_F(LifeOrderTest, EarlierStartIsNotTakenBeforeTheHoldsOfThePresentLifeHaveEnded)
    {
        beat(first, 1, start);
        EXPECT_GE(beatUntilTaken(second, start + 400ms, start + 7s), start + 7s);
    }

    // Guards against a present life that loses its keys to a dead one by heartbeats that arrive late.
    TEST_F(LifeOrderTest, LateHeartbeatsDoNotReplaceAPresentLifeThatGoesOn)
    {
        beat(first, 1, start);
        std::int64_t late = 40;
        for (int i = 1; i <= 10; ++i) {
            const auto at = start + i * interval;
            EXPECT_EQ(beat(second, ++late, at - 1ms), verdict::undecided);
            EXPECT_EQ(beat({ "other", 4000 }, ++late, at - 1ms), verdict::undecided);
            EXPECT_TRUE(order.isUndecided("other", at));
            EXPECT_EQ(beat(first, 1 + i, at), verdict::present);
            EXPECT_FALSE(order.isUndecided("other", at));
        }
        for (int i = 0; i < 5; ++i)
            EXPECT_EQ(beat(second, ++late, start + 11 * interval), verdict::undecided) << "all at once";
    }

    // Guards against heartbeats of a replaced life that replace the present one.
    TEST_F(LifeOrderTest, HeartbeatsOfAReplacedLifeAreLate)
    {
        beat(first, 1, start);
        beat(third, 1, start + 1s);
        EXPECT_EQ(beat(first, 2, start + 2s), verdict::late);
        EXPECT_FALSE(order.isUndecided("i", start + 2s));
        order.onPresentEnded();
        EXPECT_EQ(beat(first, 3, start + 3s), verdict::late);
    }

    // Guards against a wrong decision that cannot be undone.
    TEST_F(LifeOrderTest, ReplacedLifeThatGoesOnIsTakenAgain)
    {
        beat(first, 1, start);
        beat(third, 1, start + 1s);
        EXPECT_LT(beatUntilTaken(first, start + 1500ms), start + 6s);
        EXPECT_EQ(order.present(), (ordered_life { first, 9001 }));
    }

    TEST_F(LifeOrderTest, RefusedConnectionIsProofThatThePresentLifeHasEnded)
    {
        beat(first, 1, start);
        order.onPresentEnded();
        EXPECT_EQ(beat(second, 1, start + 1ms, start + 60s), verdict::next);
    }

    // Guards against a departure that is forgotten by a restart of the node process: the row names the life by another
    // start than its heartbeats do.
    TEST_F(LifeOrderTest, LifeOfTheRowIsRecognisedByItsStatedStart)
    {
        order.presume({ second, 5001 }, start);
        EXPECT_EQ(beat(first, 7, start + 1ms), verdict::undecided) << "the life that it replaced";
        EXPECT_EQ(beat(second, 3, start + 2ms), verdict::present);
        EXPECT_EQ(order.present()->order, 5001);
    }

    TEST_F(LifeOrderTest, LifeAfterTheRowIsTakenDespiteItsEarlierStart)
    {
        order.presume({ first, 5000 }, start);
        EXPECT_EQ(beat(second, 1, start), verdict::undecided);
        EXPECT_LE(beatUntilTaken(second, start + interval, start + 3500ms), start + 3500ms + 2 * interval);
    }

    // Guards against a life that states the start of the one before, as all do that state none.
    TEST_F(LifeOrderTest, LifeWithTheSameStartIsToldByItsSequence)
    {
        const stated_life unstated { "i", 0 };
        for (int i = 0; i < 50; ++i)
            beat(unstated, 1 + i, start + i * interval);
        const auto end = start + 50 * interval;
        EXPECT_LE(beatUntilTaken(unstated, end), end + 4 * interval);
        EXPECT_EQ(order.present(), (ordered_life { unstated, 1 }));
    }

    // Lives follow each other, clocks jump by up to 5 s, each life's last heartbeats arrive up to 3 s late, and each
    // life runs for 8 s or more: the life that runs is the present one before it ends, and it never loses that.
    RC_GTEST_PROP(LifeOrder, RunningLifeBecomesPresentAndStays, ())
    {
        life_order order(interval);
        auto now = start;
        std::vector<std::pair<stated_life, std::int64_t>> late;
        std::int64_t bornAt = 100000;
        for (int life = 0; life < 6; ++life) {
            bornAt += 9000 + *rc::gen::inRange(-14000, 5000);
            const stated_life running { *rc::gen::element(std::string("a"), std::string("b")), bornAt };
            bool isTaken = false;
            std::int64_t sequence = 0;
            for (const auto end = now + 9s; now < end; now += interval) {
                if (!late.empty() && now < end - 6s) {
                    order.observe(late.back().first, late.back().second, now, noHolds);
                    late.pop_back();
                }
                order.observe(running, ++sequence, now + 10ms, noHolds);
                const bool isPresent = order.present()->stated == running;
                // A life that this process has not seen may state a later start; it is corrected, not avoided.
                RC_ASSERT(isPresent || !isTaken);
                isTaken = isTaken || isPresent;
            }
            RC_ASSERT(isTaken);
            late = { { running, sequence + 2 }, { running, sequence + 1 } };
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
        }
    }

} // namespace
} // namespace heatherdrift
