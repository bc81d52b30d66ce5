#include "admission/decaying_sum.h"
#include "admission/demand_meter.h"
#include "admission/expected_wait.h"
#include "admission/lru_map.h"
#include "admission/seconds.h"
#include "admission/short_reserve.h"
#include "admission/slow_start.h"
#include "admission/workspace_fairness.h"

#include <cmath>
#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;

    constexpr time_point start { 100s };
    constexpr admission_level level { call_length::short_call, 5 };

    // Guards against an overflow when the reciprocal of a nearly zero rate is converted to a duration.
    TEST(Seconds, AreClampedToAYear)
    {
        EXPECT_EQ(fromSeconds(0.0015), duration(1500us));
        EXPECT_EQ(fromSeconds(1e300), duration(365 * 24h));
        EXPECT_EQ(fromSeconds(-std::numeric_limits<double>::infinity()), duration(-365 * 24h));
    }

    // Guards against sums that depend on the order in which values arrive.
    RC_GTEST_PROP(DecayingSum, DoesNotDependOnTheOrder, ())
    {
        const auto ages = *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(0, 5000));
        decaying_sum forwards(1s);
        decaying_sum backwards(1s);
        for (std::size_t index = 0; index < ages.size(); ++index) {
            forwards.add(1, start - ages[index] * 1ms);
            backwards.add(1, start - ages[ages.size() - 1 - index] * 1ms);
        }
        RC_ASSERT(std::abs(forwards.value(start) - backwards.value(start)) < 1e-9);
    }

    // Guards against an average that never returns to the prior value.
    TEST(DecayingAverage, ReturnsToThePriorValue)
    {
        decaying_average average(1s);
        EXPECT_EQ(average.value(7, start), 7);
        for (int count = 0; count < 99; ++count)
            average.add(1, start);
        EXPECT_NEAR(average.value(7, start), 1.06, 0.001);
        EXPECT_NEAR(average.value(7, start + 20s), 7, 0.001);
    }

    // Guards against a demand that misses a level or includes the priority itself in the demand above it.
    TEST(DemandMeter, MeasuresWorkInSlots)
    {
        demand_meter meter(1s);
        for (int step = 0; step < 10'000; ++step) {
            const auto now = start + step * 1ms;
            meter.add({ call_length::short_call, 5 }, 3ms, now);
            meter.add({ call_length::short_call, 9 }, 2ms, now);
            meter.add({ call_length::long_call, 9 }, 1ms, now);
        }
        const auto end = start + 10s;
        EXPECT_NEAR(meter.demand(call_length::short_call, end), 5, 0.05);
        EXPECT_NEAR(meter.demand(call_length::long_call, end), 1, 0.05);
        EXPECT_NEAR(meter.demandAbove({ call_length::short_call, 5 }, end), 2, 0.05);
        EXPECT_EQ(meter.demandAbove({ call_length::short_call, 9 }, end), 0);
    }

    // Guards against an estimate that ignores higher priorities or divides by a share of zero.
    TEST(ExpectedWait, GrowsWithTheWorkAheadAndTheDemandAbove)
    {
        struct {
            wait_factors factors;
            duration wait;
        } const cases[] = {
            { { 0, 4, 0, 2ms }, 500us },
            { { 99, 4, 0, 2ms }, 50ms },
            { { 99, 4, 2, 2ms }, 100ms },
            { { 99, 4, 4, 2ms }, 1000ms },
            { { 99, 4, 40, 2ms }, 1000ms },
        };
        for (const auto& entry : cases)
            EXPECT_NEAR(inSeconds(expectedWait(entry.factors)), inSeconds(entry.wait), 1e-5)
                << entry.factors.demandAbove;
    }

    // Guards against a reserve without a slot for long calls, and against one that ignores the demand.
    TEST(ShortReserve, FollowsTheShareAndTheDemand)
    {
        struct {
            int slots;
            double share;
            double demand;
            int reserved;
        } const cases[] = { { 12, 0.5, 0, 6 }, { 12, 0.5, 3, 6 }, { 12, 0.5, 5.4, 8 }, { 12, 0.5, 30, 11 },
            { 12, 0, 9, 0 }, { 12, 1, 0, 11 }, { 17, 0.5, 0, 9 }, { 2, 0.5, 9, 1 }, { 1, 1, 9, 0 } };
        for (const auto& entry : cases)
            EXPECT_EQ(shortReserve(entry.slots, entry.share, entry.demand), entry.reserved)
                << entry.slots << " " << entry.share << " " << entry.demand;
    }

    // Guards against unbounded memory and against eviction of recently used entries.
    TEST(LruMap, EvictsTheLeastRecentlyUsedEntry)
    {
        lru_map<int, int> map(2);
        map.getOrInsert(1) = 10;
        map.getOrInsert(2) = 20;
        map.getOrInsert(1);
        map.getOrInsert(3) = 30;
        EXPECT_EQ(map.size(), 2u);
        EXPECT_EQ(map.find(2), nullptr);
        ASSERT_NE(map.find(1), nullptr);
        EXPECT_EQ(*map.find(1), 10);
    }

    // Guards against a cold server that gets its full load at once, or never.
    TEST(SlowStart, GrowsFromTheInitialShareToOne)
    {
        const slow_start ramp(start, { 30s, 0.1 });
        const std::pair<duration, double> cases[]
            = { { -5s, 0.1 }, { 0s, 0.1 }, { 15s, 0.55 }, { 29999ms, 1.0 }, { 30s, 1 }, { 1h, 1 } };
        for (const auto& [age, share] : cases)
            EXPECT_NEAR(ramp.share(start + age), share, 0.001) << age.count();
        EXPECT_FALSE(ramp.isWarm(start + 29s));
        EXPECT_TRUE(ramp.isWarm(start + 30s));
    }

    // Guards against one workspace that gets more than its share because it sends more or longer calls.
    TEST(WorkspaceFairness, CompetingWorkspacesGetEqualServiceTime)
    {
        workspace_fairness fairness;
        const std::map<std::string, duration> serviceTimes { { "a", 1ms }, { "b", 1ms }, { "c", 4ms } };
        for (const auto& [workspace, time] : serviceTimes) {
            for (int count = 0; count < 1000; ++count)
                fairness.addWaiting(level, workspace);
        }
        std::map<std::string, duration> used;
        for (int count = 0; count < 900; ++count) {
            const std::string workspace = *fairness.next(level);
            // The expected time is wrong for c; the correction in finish() must compensate for it.
            fairness.startWaiting(level, workspace, 1ms);
            fairness.finish(level, workspace, call_length::short_call, 1ms, serviceTimes.at(workspace));
            used[workspace] += serviceTimes.at(workspace);
        }
        EXPECT_NEAR(inSeconds(used["a"]), inSeconds(used["b"]), 0.01);
        EXPECT_NEAR(inSeconds(used["a"]), inSeconds(used["c"]), 0.01);
    }

    // Guards against a workspace that accumulates credit while it has no calls, and against memory that grows with each
    // workspace.
    TEST(WorkspaceFairness, ReturningWorkspaceGetsNoCreditForItsAbsence)
    {
        workspace_fairness fairness;
        const auto serve = [&](const std::string& workspace) {
            fairness.startWaiting(level, workspace, 1ms);
            fairness.finish(level, workspace, call_length::short_call, 1ms, 1ms);
        };
        for (int count = 0; count < 200; ++count)
            fairness.addWaiting(level, "busy");
        for (int count = 0; count < 100; ++count)
            serve("busy");
        for (int count = 0; count < 50; ++count)
            fairness.addWaiting(level, "back");
        int turns = 0;
        for (int count = 0; count < 20; ++count) {
            const std::string workspace = *fairness.next(level);
            turns += workspace == "back";
            serve(workspace);
        }
        EXPECT_NEAR(turns, 10, 1);
        EXPECT_EQ(fairness.workspaces(level), 2u);
        EXPECT_EQ(*fairness.longestQueue(level), "busy");
        EXPECT_EQ(fairness.heldSlots(call_length::short_call, "back"), 0);
    }

} // namespace
} // namespace heatherdrift
