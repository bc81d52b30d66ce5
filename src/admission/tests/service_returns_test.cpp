#include "admission/service_returns.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;

    const time_point start { std::chrono::hours(1) };

    return_request makeRequest(time_point now) { return { "kind", "zone", 1, std::nullopt, now + milliseconds(2400) }; }

    // Guards against times that an entry node assigns for more than its part of the service's capacity.
    TEST(ServiceReturns, TimesFollowTheRequestsThatWereServed)
    {
        service_returns returns;
        const auto refuse = [&](time_point now) {
            return returns.refuse("s", makeRequest(now), return_kind::none, milliseconds(100), now).value();
        };
        EXPECT_FALSE(refuse(start).isAssigned);
        auto now = start;
        for (int i = 0; i < 200; ++i)
            returns.recordServed("s", milliseconds(100), now += milliseconds(50));
        const auto first = refuse(now);
        EXPECT_TRUE(first.isAssigned);
        // 0.15 of 20 requests per second.
        const auto second = refuse(now + milliseconds(1));
        EXPECT_TRUE(second.isAssigned);
        EXPECT_NEAR(std::chrono::duration<double>(second.at - first.at).count(), 1 / 3.0, 0.05);
        EXPECT_FALSE(refuse(now + milliseconds(2)).isAssigned && refuse(now + milliseconds(3)).isAssigned);
        EXPECT_EQ(returns.recognise("other", makeRequest(now), {}, first.at), return_kind::none);
        EXPECT_EQ(returns.recognise("s", makeRequest(now), {}, first.at), return_kind::on_time);
        EXPECT_FALSE(returns.refuse("s", makeRequest(now), return_kind::on_time, {}, first.at));
        EXPECT_EQ(returns.counts().onTime, 1u);
        EXPECT_EQ(returns.counts().refusedTwice, 1u);
    }

    // Guards against returns through another entry node that are refused again, and against a place for all callers
    // that come back or have a short timeout.
    TEST(ServiceReturns, ReturnsOfOtherNodesAreRecognisedByTheirAge)
    {
        service_returns returns;
        auto now = start;
        for (int i = 0; i < 200; ++i)
            returns.recordServed("s", milliseconds(100), now += milliseconds(50));
        const auto recognise = [&](milliseconds age) {
            // The first attempt had a timeout of 2.4 s.
            return returns.recognise("s", makeRequest(now - age), age, now);
        };
        EXPECT_EQ(recognise({}), return_kind::none);
        EXPECT_EQ(recognise(milliseconds(500)), return_kind::on_time);
        EXPECT_EQ(recognise(milliseconds(800)), return_kind::untimely);
        int onTime = 0;
        for (int i = 0; i < 200; ++i) {
            now += milliseconds(50);
            returns.recordServed("s", milliseconds(100), now);
            onTime += recognise(milliseconds(400)) == return_kind::on_time;
        }
        EXPECT_GE(onTime, 30);
        EXPECT_LE(onTime, 60);
    }

    // Guards against memory without a bound, and against counters that fall when a service is forgotten.
    TEST(ServiceReturns, ServicesAreBounded)
    {
        service_returns returns;
        for (int i = 0; i < 64; ++i)
            returns.refuse(std::to_string(i), makeRequest(start), return_kind::on_time, {}, start);
        EXPECT_FALSE(returns.refuse("new", makeRequest(start), return_kind::none, {}, start));
        const auto later = start + std::chrono::minutes(2);
        EXPECT_TRUE(returns.refuse("new", makeRequest(later), return_kind::none, {}, later));
        EXPECT_EQ(returns.counts().refusedTwice, 64u);
    }

} // namespace
} // namespace heatherdrift
