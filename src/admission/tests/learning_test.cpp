#include "admission/adaptive_limit.h"
#include "admission/random_function.h"
#include "admission/request_classifier.h"
#include "admission/seconds.h"
#include "admission/service_time_estimate.h"

#include <cmath>
#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;

    constexpr time_point start { 100s };
    const work_kind kind { "lookups", "GET /records" };
    constexpr auto shortCall = call_length::short_call;
    constexpr auto longCall = call_length::long_call;

    // One call every 10 ms; each n-th one is long (0: none).
    call_length observeCalls(request_classifier& classifier, call_length configured, int calls, int longEvery,
        time_point& now, duration longTime = 80ms)
    {
        for (int count = 1; count <= calls; ++count) {
            now += 10ms;
            classifier.observe(kind, configured, longEvery > 0 && count % longEvery == 0 ? longTime : 2ms, now);
        }
        return classifier.classify(kind, configured);
    }

    // Guards against a wrongly configured class that is never corrected, and against a class that changes with every
    // slow call.
    TEST(RequestClassifier, CorrectsTheClassWithHysteresis)
    {
        struct {
            const char* name;
            call_length configured;
            int calls;
            int longEvery;
            duration longTime;
            call_length expected;
        } const cases[] = {
            { "as configured", shortCall, 1000, 0, 80ms, shortCall },
            { "rare long calls", shortCall, 1000, 50, 80ms, shortCall },
            { "frequent long calls", shortCall, 1000, 4, 80ms, longCall },
            { "one pause of the server", shortCall, 12, 1, 80ms, shortCall },
            { "long calls within the limit", shortCall, 1000, 1, 49ms, shortCall },
            { "marked long, but short", longCall, 1000, 0, 80ms, shortCall },
            { "marked long, some long calls", longCall, 1000, 20, 80ms, longCall },
            { "marked long, near the limit", longCall, 1000, 1, 30ms, longCall },
        };
        for (const auto& entry : cases) {
            request_classifier classifier;
            auto now = start;
            EXPECT_EQ(observeCalls(classifier, entry.configured, entry.calls, entry.longEvery, now, entry.longTime),
                entry.expected)
                << entry.name;
        }
    }

    // Guards against a kind between the thresholds whose class oscillates.
    TEST(RequestClassifier, KeepsTheCorrectedClassBetweenTheThresholds)
    {
        request_classifier classifier;
        auto now = start;
        EXPECT_EQ(observeCalls(classifier, shortCall, 1000, 4, now), longCall);
        EXPECT_EQ(observeCalls(classifier, shortCall, 2000, 20, now), longCall);
        EXPECT_EQ(observeCalls(classifier, shortCall, 1000, 0, now), shortCall);
        EXPECT_EQ(observeCalls(classifier, shortCall, 2000, 20, now), shortCall);
    }

    // Guards against a learned class that is kept after the configured class changes.
    TEST(RequestClassifier, ChangedConfigurationResetsTheClass)
    {
        request_classifier classifier;
        auto now = start;
        EXPECT_EQ(observeCalls(classifier, longCall, 1000, 0, now), shortCall);
        EXPECT_EQ(classifier.classify(kind, shortCall), shortCall);
        classifier.observe(kind, shortCall, 2ms, now);
        EXPECT_EQ(classifier.classify(kind, longCall), longCall);
    }

    // Guards against wrong quantiles, above all in the first windows, when one of the two accumulators is empty.
    TEST(WindowedQuantiles, FollowTheDistribution)
    {
        for (const int values : { 16, 100, 1024, 1030, 5000 }) {
            windowed_quantiles quantiles;
            const auto random = seededRandom(static_cast<std::uint64_t>(values));
            for (int count = 0; count < values; ++count)
                quantiles.add(fromSeconds(-0.01 * std::log(1 - random())), start + count * 1ms);
            const auto result = quantiles.quantiles(start + values * 1ms);
            ASSERT_TRUE(result) << values;
            const double tolerance = values < 1000 ? 0.6 : 0.25;
            EXPECT_NEAR(inSeconds(result->mean), 0.01, 0.01 * tolerance) << values;
            EXPECT_NEAR(inSeconds(result->p50), 0.0069, 0.0069 * tolerance) << values;
            EXPECT_NEAR(inSeconds(result->p90), 0.023, 0.023 * tolerance) << values;
            EXPECT_LE(result->p90, result->p99) << values;
        }
    }

    // Guards against an estimate that never discards times from before a change, and against one without any data.
    TEST(ServiceTimeEstimate, DiscardsOldValuesAndFallsBack)
    {
        service_time_estimate estimate;
        const service_time_defaults defaults;
        EXPECT_EQ(estimate.estimate(kind, shortCall, start), defaults.shortCalls);
        EXPECT_EQ(estimate.estimate(kind, longCall, start), defaults.longCalls);
        auto now = start;
        const auto observe = [&](duration used, int calls) {
            for (int count = 0; count < calls; ++count)
                estimate.observe(kind, shortCall, used, now += 10ms);
        };
        observe(2ms, 3000);
        EXPECT_NEAR(inSeconds(estimate.estimate(kind, shortCall, now).p90), 0.002, 1e-5);
        const work_kind unknown { "lookups", "GET /new" };
        EXPECT_NEAR(inSeconds(estimate.estimate(unknown, shortCall, now).p90), 0.002, 1e-5);
        observe(20ms, 3000);
        EXPECT_NEAR(inSeconds(estimate.estimate(kind, shortCall, now).mean), 0.02, 1e-4);
        EXPECT_EQ(estimate.estimate(kind, shortCall, now + 11min), defaults.shortCalls);
    }

    // Guards against an estimate that stays low because calls that run too long are cancelled and never counted.
    TEST(ServiceTimeEstimate, CancelledCallsOnlyRaiseIt)
    {
        service_time_estimate estimate;
        for (int count = 0; count < 100; ++count)
            estimate.observe(kind, shortCall, 10ms, start);
        for (int count = 0; count < 1000; ++count)
            estimate.observeCancelled(kind, shortCall, 1ms, start);
        EXPECT_NEAR(inSeconds(estimate.estimate(kind, shortCall, start).mean), 0.01, 1e-5);
        for (int count = 0; count < 1000; ++count)
            estimate.observeCancelled(kind, shortCall, 50ms, start);
        EXPECT_GT(estimate.estimate(kind, shortCall, start).mean, duration(40ms));
    }

    struct limit_run {
        adaptive_limit limit { 12 };
        time_point now = start;

        int observe(duration latency, int seconds, bool sheds = false)
        {
            for (int count = 0; count < seconds * 100; ++count) {
                now += 10ms;
                limit.observe(latency, now);
                if (sheds)
                    limit.observeShed(now);
            }
            return limit.limit();
        }
    };

    // Guards against a limit that ignores overload, falls on harmless variation, or does not recover.
    TEST(AdaptiveLimit, FallsUnderOverloadAndRecoversSlowly)
    {
        limit_run run;
        EXPECT_EQ(run.observe(5ms, 20), 12);
        EXPECT_EQ(run.observe(8ms, 10), 12);
        const int lowered = run.observe(30ms, 5);
        EXPECT_LT(lowered, 6);
        EXPECT_GE(lowered, 2);
        EXPECT_LT(run.observe(5ms, 4), 9);
        EXPECT_EQ(run.observe(5ms, 30), 12);
        EXPECT_LT(run.observe(5ms, 3, true), 9);
        EXPECT_EQ(run.observe(5ms, 120), 12);
        EXPECT_LE(run.observe(400ms, 5, true), 4);
        EXPECT_EQ(run.observe(400ms, 30, true), 2);
    }

    // Guards against a limit above the slots that the server announced last.
    TEST(AdaptiveLimit, StaysWithinTheSlots)
    {
        limit_run run;
        run.observe(5ms, 20);
        run.limit.setSlots(4);
        EXPECT_EQ(run.limit.limit(), 4);
        EXPECT_EQ(run.observe(5ms, 20), 4);
        run.limit.setSlots(17);
        EXPECT_EQ(run.limit.limit(), 17);
        run.limit.setSlots(0);
        EXPECT_EQ(run.limit.limit(), 1);
    }

} // namespace
} // namespace heatherdrift
