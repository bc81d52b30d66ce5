#include "admission/connection_plan.h"
#include "admission/retry_backoff.h"
#include "admission/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;

    constexpr time_point start { 100s };
    constexpr std::uint64_t seed = 20261204;

    // Guards against retries that multiply the load when every call fails.
    TEST(RetryBudget, AllowsAShareOfTheFirstAttempts)
    {
        retry_budget budget(start, { .share = 0.1, .floorPerSecond = 1, .maxBalance = 50 });
        int retries = 0;
        for (int count = 0; count < 10'000; ++count) {
            const auto now = start + count * 1ms;
            budget.recordFirstAttempt(now);
            retries += budget.tryRetry(now);
        }
        EXPECT_NEAR(retries, 1011, 2);
    }

    // Guards against a caller with little traffic that may never retry, and against an unbounded budget.
    TEST(RetryBudget, HasAFloorAndACapacity)
    {
        retry_budget budget(start, { .share = 0.1, .floorPerSecond = 2, .maxBalance = 5 });
        EXPECT_TRUE(budget.tryRetry(start));
        EXPECT_TRUE(budget.tryRetry(start));
        EXPECT_FALSE(budget.tryRetry(start + 499ms));
        EXPECT_TRUE(budget.tryRetry(start + 500ms));
        EXPECT_FALSE(budget.tryRetry(start + 400ms));
        EXPECT_EQ(budget.balance(start + 1h), 5);
        for (int count = 0; count < 1000; ++count)
            budget.recordFirstAttempt(start + 1h);
        EXPECT_EQ(budget.balance(start + 1h), 5);
    }

    // Guards against a window that overflows or shrinks with the number of failures.
    TEST(RetryBackoff, WindowDoublesUpToTheBound)
    {
        const std::pair<int, duration> cases[]
            = { { 0, 10ms }, { 1, 10ms }, { 2, 20ms }, { 7, 640ms }, { 8, 1s }, { 1000, 1s }, { INT_MAX, 1s } };
        for (const auto& [failures, window] : cases)
            EXPECT_EQ(backoffWindow(failures, {}), window) << failures;
    }

    // Guards against attempts that all come at the same time, or so late that they cannot finish.
    RC_GTEST_PROP(RetryBackoff, NextAttemptLeavesTimeToFinish, (std::uint32_t jitter))
    {
        const int failures = *rc::gen::inRange(1, 20);
        const auto deadline = start + *rc::gen::inRange(0, 2000) * 1ms;
        const double random = jitter * 0x1.0p-32;
        const auto next = nextAttempt(failures, start, deadline, 5ms, [=] { return random; });
        RC_ASSERT(next.has_value() == (deadline - 5ms >= start));
        if (!next)
            return;
        RC_ASSERT(*next >= start);
        RC_ASSERT(*next <= deadline - 5ms);
        RC_ASSERT(*next <= start + backoffWindow(failures, {}));
    }

    // Guards against unintended changes of the jitter: the sequence of a seed must be reproducible.
    TEST(RetryBackoff, RepeatsTheSequenceOfASeed)
    {
        const auto random = seededRandom(seed);
        const auto again = seededRandom(seed);
        duration sum {};
        for (int count = 0; count < 1000; ++count) {
            const auto next = nextAttempt(5, start, start + 10s, 0ms, random);
            EXPECT_EQ(next, nextAttempt(5, start, start + 10s, 0ms, again));
            sum += *next - start;
        }
        // The mean of full jitter is half of the window (160 ms).
        EXPECT_NEAR(static_cast<double>(sum.count()), 80e6, 4e6);
    }

    // Guards against more connections than the server accepts, and against a class without any.
    TEST(ConnectionPlan, TargetsStayWithinTheLimit)
    {
        struct {
            int slots;
            int longSlots;
            int maxConnections;
            connection_counts targets;
        } const cases[] = { { 12, 6, 130, { 14, 8 } }, { 17, 8, 90, { 19, 10 } }, { 17, 8, 20, { 14, 6 } },
            { 100, 50, 90, { 60, 30 } }, { 12, 1, 3, { 2, 1 } } };
        for (const auto& entry : cases) {
            connection_plan_settings settings;
            settings.maxConnections = entry.maxConnections;
            EXPECT_EQ(connectionTargets(entry.slots, entry.longSlots, settings), entry.targets) << entry.maxConnections;
        }
    }

    // Guards against opening all connections at once, at the start and after all of them were lost.
    TEST(ConnectionPlan, OpensAtABoundedRateUpToTheTargets)
    {
        connection_plan plan({ 14, 8 }, seededRandom(seed));
        connection_counts open;
        int opened = 0;
        for (auto now = start; now < start + 2s; now += 1ms) {
            const auto due = plan.connectionsToOpen(open, {}, now);
            opened += due.forShort + due.forLong;
            open = { open.forShort + due.forShort, open.forLong + due.forLong };
            for (int count = 0; count < due.forShort + due.forLong; ++count)
                plan.onOpened();
            // 50 per second and a burst of 4.
            ASSERT_LE(opened, 4 + (now - start) / 20ms);
            ASSERT_LE(due.forShort + due.forLong, 4);
        }
        EXPECT_EQ(open, (connection_counts { 14, 8 }));
        const auto again = plan.connectionsToOpen({}, {}, start + 1h);
        EXPECT_LE(again.forShort + again.forLong, 4);
        EXPECT_EQ(plan.connectionsToOpen({}, { 3, 1 }, start + 1h), connection_counts {});
    }

    // Guards against a server that is down and gets frequent, synchronized connection attempts from all nodes.
    TEST(ConnectionPlan, BacksOffWithJitterWhileTheServerIsDown)
    {
        for (const std::uint64_t planSeed : { seed, seed + 1 }) {
            connection_plan plan({ 14, 8 }, seededRandom(planSeed));
            int attempts = 0;
            time_point last = time_point::min();
            for (auto now = start; now < start + 60s; now += 1ms) {
                const auto due = plan.connectionsToOpen({}, {}, now);
                const int count = due.forShort + due.forLong;
                attempts += count;
                if (count == 0)
                    continue;
                if (last != time_point::min()) {
                    EXPECT_EQ(count, 1);
                    EXPECT_GE(now - last, duration(50ms));
                    EXPECT_LE(now - last, duration(5001ms));
                }
                last = now;
                for (int failed = 0; failed < count; ++failed)
                    plan.onFailed(now);
            }
            EXPECT_GE(attempts, 4 + 12);
            EXPECT_LE(attempts, 4 + 30);
            plan.onOpened();
            const auto due = plan.connectionsToOpen({}, {}, plan.nextAt() + 1s);
            EXPECT_EQ(due.forShort + due.forLong, 4);
        }
    }

} // namespace
} // namespace heatherdrift
