#include "load/arrival_schedule.h"
#include "load/load_report.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <iostream>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::uint64_t seed = 20261204;

    std::vector<duration> arrivals(arrival_kind kind, std::vector<rate_step> steps, duration end, std::uint64_t from)
    {
        arrival_schedule schedule(kind, std::move(steps), end, from);
        std::vector<duration> all;
        while (const auto next = schedule.next())
            all.push_back(*next);
        return all;
    }

    // Guards against a schedule that differs from run to run, so that two measurements cannot be compared.
    TEST(ArrivalSchedule, IsTheSameForTheSameSeed)
    {
        std::cout << "seed " << seed << "\n";
        const std::vector<rate_step> steps { { {}, 100 }, { seconds(2), 300 } };
        const auto first = arrivals(arrival_kind::poisson, steps, seconds(4), seed);
        EXPECT_EQ(first, arrivals(arrival_kind::poisson, steps, seconds(4), seed));
        EXPECT_NE(first, arrivals(arrival_kind::poisson, steps, seconds(4), seed + 1));
        EXPECT_TRUE(std::ranges::is_sorted(first));
    }

    // Guards against a step that is smeared, skipped or shifted: each second must have the arrivals of its own rate.
    TEST(ArrivalSchedule, FollowsTheSteps)
    {
        const std::vector<rate_step> steps { { {}, 1000 }, { seconds(10), 0 }, { seconds(20), 3000 } };
        const auto all = arrivals(arrival_kind::poisson, steps, seconds(30), seed);
        const auto countIn = [&](duration from, duration to) {
            return static_cast<double>(
                std::ranges::count_if(all, [&](duration when) { return when >= from && when < to; }));
        };
        // Five standard deviations of a Poisson count.
        EXPECT_NEAR(countIn({}, seconds(10)), 10000, 500);
        EXPECT_EQ(countIn(seconds(10), seconds(20)), 0);
        EXPECT_NEAR(countIn(seconds(20), seconds(30)), 30000, 870);
        EXPECT_EQ(all.back() < seconds(30), true);
    }

    // Guards against arrivals that are regular although they were to be independent, which hides queueing.
    TEST(ArrivalSchedule, PoissonDistancesVaryAsMuchAsTheirMean)
    {
        const auto all = arrivals(arrival_kind::poisson, { { {}, 1000 } }, seconds(20), seed);
        double sum = 0;
        double squares = 0;
        for (std::size_t i = 1; i < all.size(); ++i) {
            const auto distance = std::chrono::duration<double>(all[i] - all[i - 1]).count();
            sum += distance;
            squares += distance * distance;
        }
        const auto count = static_cast<double>(all.size() - 1);
        const auto mean = sum / count;
        EXPECT_NEAR(std::sqrt(squares / count - mean * mean) / mean, 1, 0.05);
    }

    // Guards against probes at uneven distances, which would be counted as unavailable time.
    TEST(ArrivalSchedule, RegularArrivalsHaveEqualDistances)
    {
        const auto all = arrivals(arrival_kind::regular, { { {}, 100 } }, seconds(3), seed);
        ASSERT_EQ(all.size(), 300u);
        EXPECT_LT(all.front(), milliseconds(10));
        for (std::size_t i = 1; i < all.size(); ++i)
            EXPECT_NEAR(static_cast<double>((all[i] - all[i - 1]).count()), 10000, 1);
    }

    struct quantile_case {
        std::vector<int> values;
        double share;
        int expected;
    };

    // Guards against quantiles that are off by one rank or that interpolate values nobody observed.
    TEST(Quantile, IsTheNearestRank)
    {
        std::vector<int> thousand(1000);
        for (int i = 0; i < 1000; ++i)
            thousand[static_cast<std::size_t>(i)] = i + 1;
        const quantile_case cases[] = {
            { {}, 0.5, 0 },
            { { 7 }, 0, 7 },
            { { 7 }, 0.999, 7 },
            { { 1, 2 }, 0.5, 1 },
            { { 1, 2, 3 }, 0.5, 2 },
            { { 1, 2, 3, 4 }, 0.99, 4 },
            { thousand, 0.5, 500 },
            { thousand, 0.99, 990 },
            { thousand, 0.999, 999 },
            { thousand, 1, 1000 },
        };
        for (const auto& entry : cases) {
            std::vector<duration> values;
            for (const int value : entry.values)
                values.emplace_back(value);
            EXPECT_EQ(quantile(values, entry.share), duration(entry.expected))
                << entry.share << " of " << entry.values.size();
        }
    }

} // namespace
} // namespace heatherdrift
