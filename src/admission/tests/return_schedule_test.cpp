#include "admission/return_schedule.h"

#include <gtest/gtest.h>
#include <limits>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const time_point start { std::chrono::hours(1) };
    const return_capacity tenSlots { 100, milliseconds(200), milliseconds(100) };

    return_request makeRequest(milliseconds left, int priority = 1, time_point now = start)
    {
        return { "kind", "zone", priority, std::nullopt, now + left };
    }

    // Guards against times that are assigned faster than capacity becomes free, or before the known work has started.
    TEST(ReturnSchedule, TimesFollowTheBacklogAndTheRate)
    {
        return_schedule schedule;
        auto last = schedule.refuse(makeRequest(milliseconds(2400)), tenSlots, start).at;
        EXPECT_EQ(last, start + milliseconds(200));
        int assigned = 1;
        for (int i = 1; i < 100; ++i) {
            const auto next = schedule.refuse(makeRequest(milliseconds(2400 + i)), tenSlots, start);
            if (!next.isAssigned)
                continue;
            ++assigned;
            EXPECT_GE(next.at - last, milliseconds(10));
            EXPECT_LE(next.at, start + milliseconds(833));
            last = next.at;
        }
        EXPECT_GE(assigned, 5);
        EXPECT_LE(assigned, 60);
        EXPECT_EQ(schedule.counts().assigned, static_cast<std::uint64_t>(assigned));
        EXPECT_EQ(schedule.dueBefore(1, last, start), static_cast<std::size_t>(assigned));
    }

    // Guards against callers that are called back too late to be served, or later than they wait.
    TEST(ReturnSchedule, NoTimeIsAssignedAfterAThirdOfTheRemainingTime)
    {
        return_schedule schedule;
        EXPECT_FALSE(schedule.refuse(makeRequest(milliseconds(590)), tenSlots, start).isAssigned);
        EXPECT_TRUE(schedule.refuse(makeRequest(milliseconds(610)), tenSlots, start).isAssigned);
        const return_capacity slow { 100, milliseconds(200), milliseconds(500) };
        return_schedule other;
        EXPECT_FALSE(other.refuse(makeRequest(milliseconds(690)), slow, start).isAssigned);
        EXPECT_EQ(other.dueBefore(3, time_point::max(), start), 0u);
    }

    // Guards against first attempts that pass for returns, and returns that pass for first attempts.
    TEST(ReturnSchedule, ReturnIsRecognisedByItsDeadline)
    {
        return_schedule schedule;
        auto request = makeRequest(milliseconds(2400));
        const auto at = schedule.refuse(request, tenSlots, start).at;
        const auto isNew = [&](return_request other) { return schedule.recognise(other, at) == return_kind::none; };
        auto other = request;
        other.kind = "other";
        EXPECT_TRUE(isNew(other));
        other = request;
        other.key = 7;
        EXPECT_TRUE(isNew(other));
        other = request;
        other.deadline += at - start;
        EXPECT_TRUE(isNew(other));
        request.deadline -= milliseconds(5);
        request.zone = "another entry node";
        EXPECT_EQ(schedule.recognise(request, at + milliseconds(5)), return_kind::on_time);
        EXPECT_EQ(schedule.recognise(request, at + milliseconds(6)), return_kind::none);
        EXPECT_EQ(schedule.counts().onTime, 1u);
    }

    // Guards against a place in the queue for callers that ignore their time.
    TEST(ReturnSchedule, EarlyAndLateReturnsHaveNoPlace)
    {
        return_schedule schedule;
        const auto request = makeRequest(milliseconds(2400));
        const auto at = schedule.refuse(request, tenSlots, start).at;
        EXPECT_EQ(schedule.recognise(request, at - milliseconds(100)), return_kind::untimely);
        EXPECT_EQ(schedule.dueBefore(1, time_point::max(), start), 0u);
        schedule.refuse(request, tenSlots, start);
        EXPECT_EQ(schedule.dueBefore(1, time_point::max(), start), 1u);
        EXPECT_EQ(schedule.dueBefore(1, time_point::max(), start + seconds(1)), 0u);
        EXPECT_EQ(schedule.recognise(request, start + seconds(1)), return_kind::untimely);
    }

    // Guards against an inversion of priorities: less urgent returns that delay more urgent ones.
    TEST(ReturnSchedule, LessUrgentReturnsDoNotDelayUrgentOnes)
    {
        return_schedule schedule;
        for (int i = 0; i < 5; ++i)
            schedule.refuse(makeRequest(milliseconds(2400 + i), 2), tenSlots, start);
        EXPECT_EQ(schedule.refuse(makeRequest(milliseconds(2400), 0), tenSlots, start).at, start + milliseconds(200));
        EXPECT_EQ(schedule.dueBefore(0, time_point::max(), start), 1u);
        EXPECT_EQ(schedule.dueBefore(2, time_point::max(), start), 6u);
    }

    // Guards against absurd estimates: no time is assigned, or a usable one, and later estimates count again.
    TEST(ReturnSchedule, AbsurdEstimatesDoNoLastingHarm)
    {
        const double none = std::numeric_limits<double>::quiet_NaN();
        const double all = std::numeric_limits<double>::infinity();
        for (const double rate : { 0.0, -1.0, none, all, 1e-9, 1e300 }) {
            for (const duration time : { duration::min(), duration(-1), duration::max() }) {
                return_schedule schedule;
                for (const auto& capacity : { return_capacity { rate, time, milliseconds(10) },
                         return_capacity { rate, milliseconds(10), time } }) {
                    const auto given = schedule.refuse(makeRequest(milliseconds(2400)), capacity, start);
                    EXPECT_GE(given.at, start);
                    EXPECT_LE(given.at, start + std::chrono::hours(2));
                }
                EXPECT_TRUE(schedule.refuse(makeRequest(milliseconds(2400)), tenSlots, start).isAssigned);
            }
        }
        return_schedule schedule;
        EXPECT_FALSE(schedule.refuse(makeRequest(milliseconds(-100)), tenSlots, start).isAssigned);
    }

    // Guards against a schedule that is wrong for good after a pause of the process.
    TEST(ReturnSchedule, TimesOfAPauseAreForgotten)
    {
        return_schedule schedule;
        for (int i = 0; i < 100; ++i)
            schedule.refuse(makeRequest(milliseconds(2400 + 40 * i)), tenSlots, start);
        const auto later = start + seconds(60);
        EXPECT_EQ(schedule.dueBefore(3, time_point::max(), later), 0u);
        const auto next = schedule.refuse(makeRequest(milliseconds(2400), 1, later), tenSlots, later);
        EXPECT_EQ(next, (return_time { later + milliseconds(200), true }));
        EXPECT_EQ(schedule.size(), 1u);
    }

    // Guards against memory without a bound during an overload, and against refusals without a time that leave no room
    // for those with one.
    TEST(ReturnSchedule, StateIsBounded)
    {
        return_schedule schedule;
        const return_capacity full { 100, seconds(100), milliseconds(100) };
        for (int i = 0; i < 5000; ++i)
            schedule.refuse(makeRequest(milliseconds(2400)), full, start);
        EXPECT_TRUE(schedule.refuse(makeRequest(milliseconds(2400)), tenSlots, start).isAssigned);
        const return_capacity fast { 1e6, milliseconds(100), milliseconds(100) };
        for (int i = 0; i < 5000; ++i)
            schedule.refuse(makeRequest(milliseconds(2400)), fast, start);
        EXPECT_LE(schedule.size(), 1024u);
    }

} // namespace
} // namespace heatherdrift
