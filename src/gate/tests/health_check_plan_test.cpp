#include "gate/health_check_plan.h"

#include <gtest/gtest.h>
#include <random>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;

    const time_point start { std::chrono::hours(1) };

    // Guards against health checks that go on while nothing changes, and against ones that are never repeated.
    TEST(HealthCheckPlan, FailedChecksAreRepeatedAFewTimes)
    {
        health_check_plan plan;
        EXPECT_EQ(plan.nextAt(), std::nullopt);
        plan.request(start);
        int checks = 0;
        while (const auto at = plan.nextAt()) {
            ++checks;
            plan.onSent(*at);
            EXPECT_EQ(plan.nextAt(), std::nullopt) << "in progress";
            plan.onFailed(*at + 400ms);
        }
        EXPECT_EQ(checks, 3);
        plan.request(start + 10s);
        plan.onSent(start + 10s);
        plan.onFailed(start + 10s);
        plan.dropRepetition();
        EXPECT_EQ(plan.nextAt(), std::nullopt) << "a heartbeat states the same";
    }

    // Guards against a check per lost connection when many are lost at once.
    TEST(HealthCheckPlan, ChecksKeepADistance)
    {
        health_check_plan plan;
        plan.request(start);
        plan.onSent(start);
        plan.request(start + 1ms);
        plan.onAnswered();
        EXPECT_EQ(plan.nextAt(), start + 200ms);
        plan.onSent(start + 200ms);
        plan.onAnswered();
        plan.requestAfterRise(start + 300ms);
        EXPECT_EQ(plan.nextAt(), std::nullopt);
        plan.requestAfterRise(start + 1200ms);
        EXPECT_EQ(plan.nextAt(), start + 1200ms);
    }

    TEST(HealthCheckPlan, StatedEndIsCheckedOnce)
    {
        health_check_plan plan;
        plan.setStatedEnd(start + 2s);
        EXPECT_EQ(plan.nextAt(), start + 2s);
        plan.onSent(start + 2s);
        plan.onAnswered();
        EXPECT_EQ(plan.nextAt(), std::nullopt);
    }

    // Guards against a rise that is noticed after most requests of a cold backend server, or once per request.
    TEST(RiseDetector, ReportsARiseOnceAndSoon)
    {
        rise_detector detector;
        for (int i = 0; i < 100; ++i)
            EXPECT_FALSE(detector.record(1));
        int rises = 0;
        for (int i = 0; i < 10; ++i) {
            rises += detector.record(3);
            EXPECT_TRUE(i < 1 || rises == 1);
        }
        for (int i = 0; i < 20; ++i)
            rises += detector.record(1);
        for (int i = 0; i < 10; ++i)
            rises += detector.record(3);
        EXPECT_EQ(rises, 2);
    }

    // Guards against checks caused by the usual variation of service times.
    TEST(RiseDetector, UsualVariationIsNoRise)
    {
        rise_detector detector;
        std::mt19937_64 random(3);
        std::lognormal_distribution<double> serviceTime(-0.125, 0.5);
        int rises = 0;
        for (int i = 0; i < 10'000; ++i)
            rises += detector.record(serviceTime(random));
        EXPECT_LE(rises, 100);
    }

} // namespace
} // namespace heatherdrift
