#include "admission/load_view.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;

    constexpr time_point start { 1000s };
    constexpr time_point now = start + 60s;

    load_view viewWith(bool hasStatuses)
    {
        load_view view(seededRandom(20261206), {});
        for (const auto* id : { "a", "b", "c", "d" })
            view.add(id, "z", false, start);
        if (hasStatuses) {
            for (const auto& [id, wait] : { std::pair { "a", 0ms }, { "b", 30ms }, { "c", 60ms }, { "d", 300ms } })
                view.reportStatus(id, { { { wait, wait, wait, wait }, 100ms, 1, std::nullopt }, now });
        } else {
            for (int count = 0; count < 3; ++count)
                view.onCallStarted("a", now);
        }
        return view;
    }

    // Guards against shares that differ from what picks do, and against samples that draw random numbers of the view.
    TEST(LoadViewAssessment, SharesAreThoseOfThePicksAndChangeNone)
    {
        for (const bool hasStatuses : { false, true }) {
            auto asked = viewWith(hasStatuses);
            auto notAsked = viewWith(hasStatuses);
            const auto shares = asked.pickShares({}, 2000, now);
            EXPECT_EQ(shares, asked.pickShares({}, 2000, now));
            std::map<instance_id, double> picked;
            for (int count = 0; count < 2000; ++count) {
                const auto one = asked.pick({}, now);
                ASSERT_EQ(one, notAsked.pick({}, now));
                picked[*one] += 1.0 / 2000;
            }
            for (const auto* id : { "a", "b", "c", "d" }) {
                const auto share = shares.find(id);
                EXPECT_NEAR(share == shares.end() ? 0 : share->second, picked[id], 0.05) << id << hasStatuses;
            }
        }
    }

    // Guards against an assessment that states something else than the pick compares.
    TEST(LoadViewAssessment, StatesWhatThePickCompares)
    {
        auto view = viewWith(true);
        view.onCallStarted("b", now);
        const auto known = view.assess("b", { {}, false, 0, now + 100ms }, now);
        ASSERT_TRUE(known);
        EXPECT_EQ(known->expectedWait, 30ms);
        EXPECT_EQ(known->serviceTime, 100ms);
        EXPECT_EQ(known->expectedCompletion, 230ms) << "the call since the report counts as one service time";
        EXPECT_EQ(known->callsInProgress, 1);
        EXPECT_TRUE(known->isInTime);
        EXPECT_FALSE(view.assess("d", { {}, false, 0, now + 100ms }, now)->isInTime);
        EXPECT_EQ(viewWith(false).assess("a", {}, now)->cost, viewWith(false).cost("a", now));
        EXPECT_EQ(view.assess("x", {}, now), std::nullopt);
        EXPECT_TRUE(view.pickShares({ { "a", "b", "c", "d" } }, 10, now).empty());
    }

} // namespace
} // namespace heatherdrift
