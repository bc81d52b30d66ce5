#include "gate/call_admission.h"

#include <gtest/gtest.h>
#include <limits>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;

    const time_point start { std::chrono::hours(1) };
    const execution_class low { "kind", 2 };

    struct outcome {
        int admitted = 0;
        int lost = 0;
        int admittedLast = 0; ///< In the last 5 s.
    };

    /// Sends 50 requests a second; each that is let through beyond the capacity (executions per second) is lost.
    outcome simulate(call_admission& admission, time_point& now, int secondsLong, double capacity,
        const std::optional<call_capacity>& reported, const execution_class& key = low)
    {
        outcome out;
        const auto end = now + std::chrono::seconds(secondsLong);
        double room = 1;
        for (; now < end; now += milliseconds(20)) {
            room = std::min(room + capacity * 0.02, 3.0);
            const auto rate = admission.admit(key, reported, now);
            if (!rate)
                continue;
            const bool isLost = room < 1;
            room -= isLost ? 0 : 1;
            ++out.admitted;
            out.lost += isLost;
            out.admittedLast += now >= end - std::chrono::seconds(5);
            admission.onEnded(key, *rate, isLost, 0.1, reported, now);
        }
        return out;
    }

    // Guards against a control that needs the reports of the called servers: old nodes and silent ones send none.
    TEST(CallAdmission, WithoutReportsTheRateSettlesBelowTheCapacity)
    {
        call_admission admission;
        auto now = start;
        simulate(admission, now, 10, 1000, std::nullopt);
        const auto outcome = simulate(admission, now, 60, 30, std::nullopt);
        EXPECT_LE(outcome.lost, 0.03 * outcome.admitted);
        EXPECT_GE(outcome.admittedLast / 5.0, 0.75 * 30);
    }

    // Guards against a kind that is locked out for good after the called service was away.
    TEST(CallAdmission, RecoversAfterTheCalledServiceWasAway)
    {
        for (const auto& reported : { std::optional<call_capacity>(), std::optional(call_capacity {}) }) {
            call_admission admission;
            auto now = start;
            simulate(admission, now, 5, 1000, reported);
            const auto away = simulate(admission, now, 10, 0, reported);
            EXPECT_GE(away.admitted, 10) << "some are let through to learn";
            EXPECT_LE(away.admitted, 200);
            simulate(admission, now, reported ? 15 : 60, 1000, reported);
            EXPECT_GE(simulate(admission, now, 5, 1000, reported).admittedLast, 0.95 * 5 * 50);
        }
    }

    // Guards against executions that start although every called server states that it is full for longer than a call
    // may wait.
    TEST(CallAdmission, ExhaustedServicesGetFewExecutions)
    {
        call_admission admission;
        auto now = start;
        simulate(admission, now, 5, 1000, call_capacity {});
        const auto outcome = simulate(admission, now, 5, 1000, call_capacity { 3, std::chrono::seconds(2), true });
        EXPECT_LE(outcome.admitted, 0.15 * 250);
        EXPECT_GE(outcome.admitted, 0.03 * 250);
    }

    // Guards against urgent requests that give way before less urgent ones at the same losses.
    TEST(CallAdmission, TheLessUrgentGiveWayFirst)
    {
        call_admission admission;
        auto now = start;
        double admitted[2] {};
        for (int second = 0; second < 60; ++second) {
            for (const std::size_t level : { 0u, 3u }) {
                const execution_class key { "kind", level };
                for (int i = 0; i < 50; ++i) {
                    const auto rate = admission.admit(key, std::nullopt, now + milliseconds(20 * i));
                    if (!rate)
                        continue;
                    admitted[level > 0] += 1;
                    admission.onEnded(
                        key, *rate, (second * 50 + i) % 90 == 0, 0, std::nullopt, now + milliseconds(20 * i));
                }
            }
            now += std::chrono::seconds(1);
        }
        EXPECT_GE(admitted[0], 1.3 * admitted[1]);
    }

    // Guards against old, implausible and cold statuses that decide.
    TEST(CallCapacity, IsAssessedFromRecentStatuses)
    {
        server_status idle;
        idle.serviceTime = milliseconds(50);
        auto full = idle;
        full.expectedWaits.fill(milliseconds(100));
        full.expectedWaits[0] = {};
        EXPECT_FALSE(assessCapacity({}, 1, milliseconds(150)));
        EXPECT_FALSE(assessCapacity({ { full, std::chrono::seconds(2) } }, 1, milliseconds(150)));
        EXPECT_DOUBLE_EQ(assessCapacity({ { full, {} }, { idle, {} } }, 1, milliseconds(150))->pressure, 0.5);
        EXPECT_DOUBLE_EQ(assessCapacity({ { full, {} } }, 0, milliseconds(150))->pressure, 0);
        auto cold = idle;
        cold.cold = { std::chrono::seconds(9), std::chrono::seconds(3), 1 };
        EXPECT_TRUE(assessCapacity({ { cold, {} } }, 0, milliseconds(150))->isExhausted);
        EXPECT_FALSE(assessCapacity({ { cold, {} }, { idle, {} } }, 0, milliseconds(150))->isExhausted);
        auto absurd = idle;
        absurd.expectedWaits.fill(std::chrono::hours(1));
        absurd.slowdown = 1e6;
        EXPECT_LE(assessCapacity({ { absurd, {} }, { idle, {} } }, 0, duration())->pressure, 1.5);
    }

} // namespace
} // namespace heatherdrift
