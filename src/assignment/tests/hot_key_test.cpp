#include "assignment/hot_key_policy.h"

#include "pool_fixture.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>
#include <numbers>
#include <random>
#include <rapidcheck/gtest.h>

namespace heatherdrift::test {
namespace {

    using std::chrono::seconds;

    constexpr std::size_t counters = 256;
    constexpr auto halfLife = seconds(10);

    // Guards against counts below the true ones, errors above 1/counters of the stream, and frequent keys that are
    // missed.
    RC_GTEST_PROP(HeavyHitters, KeepsItsErrorBound, (const std::vector<std::uint8_t>& keys))
    {
        constexpr std::size_t counterCount = 8;
        heavy_hitters subject(counterCount, std::chrono::hours(1));
        std::map<std::string, double> exact;
        for (const auto value : keys) {
            const auto key = std::to_string(value % 32);
            ++exact[key];
            subject.add(key, 1, time_point());
        }
        const auto found = subject.top(counterCount, time_point());
        const double requestLoad = std::numbers::ln2 / 3600; // Decayed mean for one request with a half-life of 1 h.
        const double bound = static_cast<double>(keys.size()) / counterCount;
        RC_ASSERT(std::ranges::is_sorted(found, std::greater(), &heavy_hitter::load));
        for (const auto& hitter : found) {
            RC_ASSERT(hitter.load / requestLoad >= exact[hitter.key] - 1e-6);
            RC_ASSERT(hitter.guaranteedLoad() / requestLoad <= exact[hitter.key] + 1e-6);
            RC_ASSERT(hitter.error / requestLoad <= bound + 1e-6);
        }
        for (const auto& [key, count] : exact)
            RC_ASSERT(count <= bound || std::ranges::count(found, key, &heavy_hitter::key) == 1);
    }

    // Guards against hot keys that are found too late or retained after they have become cold. The 11 hottest keys
    // change every 2 minutes.
    TEST(HeavyHitters, FollowsChangingKeys)
    {
        heavy_hitters subject(counters, halfLife);
        std::mt19937_64 random(20261204);
        constexpr int perSecond = 2200, hotKeys = 11, period = 120;
        int maxDelay = 0;
        for (int second = 0; second < 5 * period; ++second) {
            const time_point now { seconds(second) };
            const auto generation = "hot" + std::to_string(second / period) + "-";
            for (int i = 0; i < perSecond; ++i) {
                const bool isHot = random() % 100 < 33; // 3% of the requests each.
                const auto key
                    = isHot ? generation + std::to_string(random() % hotKeys) : std::to_string(random() % 1'000'000);
                subject.add(key, 1, now);
            }
            const auto top = subject.top(hotKeys, now);
            const auto isFound = [&](const auto& hitter) { return hitter.key.starts_with(generation); };
            if (std::ranges::count_if(top, isFound) < hotKeys)
                maxDelay = std::max(maxDelay, second % period);
        }
        std::cout << "all 11 keys found after " << maxDelay + 1 << " s\n";
        EXPECT_LT(maxDelay, 30);
        for (const auto& hitter : subject.top(hotKeys, time_point(seconds(5 * period - 1))))
            EXPECT_NEAR(hitter.load, 0.03 * perSecond, 0.01 * perSecond) << hitter.key;
        EXPECT_TRUE(subject.top(1, time_point(std::chrono::hours(2))).front().load < 1e-6);
    }

    // Guards against overflow of the decayed weights when requests are a day apart over 100 days, and against keys that
    // are too long for a page or empty.
    TEST(HeavyHitters, RescalesAfterLongIntervals)
    {
        heavy_hitters subject(2, halfLife);
        for (int day = 0; day < 100; ++day)
            subject.add("key", 1, time_point(std::chrono::hours(24 * day)));
        subject.add(std::string(1000, 'k'), 9, time_point(std::chrono::hours(2400)));
        subject.add("", 9, time_point(std::chrono::hours(2400)));
        const auto top = subject.top(9, time_point(std::chrono::hours(24 * 99)));
        ASSERT_EQ(top.size(), 1u);
        EXPECT_NEAR(top[0].load, std::numbers::ln2 / 10, 1e-9);
    }

    /// Two instances with one partition each; "key" belongs to the first. Loads are fractions of the mean load.
    struct hot_fixture {
        pool_configuration pool = makePool(2);
        instance_ref home { "a", 1 };
        instance_ref other { "b", 1 };
        member_map members { { "a", makeMember("a") }, { "b", makeMember("b") } };
        partition_map map;
        hot_key_policy policy, otherPolicy;

        hot_fixture()
        {
            const bool isFirst = partitionOf("key", 2) == 0;
            map = map.with({ { makePage({ isFirst ? home : other, isFirst ? other : home }) } });
        }
        versioned_page page(std::uint32_t number) const
        {
            return map.page("pool", number).value_or(absentPage(pool, number));
        }
        /// Runs both policies each second and executes their actions; returns the kinds of the actions.
        std::vector<hot_key_action::kind> run(int from, int to, double load)
        {
            std::vector<hot_key_action::kind> done;
            for (int second = from; second < to; ++second) {
                for (const auto& self : { home, other }) {
                    std::vector<heavy_hitter> hitters;
                    if (map.find(pool, "key")->isOwnedBy(self))
                        hitters.push_back({ "key", load, 0 });
                    auto& subject = self == home ? policy : otherPolicy;
                    for (const auto& action :
                        subject.decide(pool, map, self, hitters, 1, time_point(seconds(second)))) {
                        done.push_back(action.what);
                        execute(self, action);
                    }
                }
            }
            return done;
        }
        void execute(const instance_ref& self, const hot_key_action& action)
        {
            const auto ordinary = page(0), hot = page(hotPageNumber);
            const auto change = action.what == hot_key_action::kind::isolate ? isolateKey : returnKey;
            const auto edit = action.what == hot_key_action::kind::move_to_ordinary_owner
                ? handOver(hot, self, { { action.partition, action.target } }, members, "x")
                : change(pool, ordinary, hot, self, action.key, members, "x");
            ASSERT_TRUE(edit);
            map = apply(map, edit.value());
        }
    };

    // Guards against keys that are isolated during a short peak, that stay isolated when cold, or that are returned
    // while another instance owns their ordinary partition.
    TEST(HotKeyPolicy, IsolatesMovesAndReturns)
    {
        using kind = hot_key_action::kind;
        hot_fixture test;
        EXPECT_TRUE(test.run(0, 4, 0.5).empty());
        EXPECT_TRUE(test.run(4, 10, 0.1).empty()) << "the peak was shorter than 5 s";
        EXPECT_EQ(test.run(10, 60, 0.5), std::vector { kind::isolate });
        EXPECT_TRUE(isHotPartition(test.map.find(test.pool, "key")->index));
        test.execute(test.home, { kind::move_to_ordinary_owner, "key", hotPartitionBase, "b" });
        EXPECT_TRUE(test.map.find(test.pool, "key")->isOwnedBy(test.other));
        EXPECT_TRUE(test.run(60, 600, 0.1).empty()) << "neither hot nor cold";
        EXPECT_TRUE(test.run(600, 779, 0.01).empty());
        EXPECT_TRUE(test.run(779, 790, 0.1).empty()) << "it was cold for less than 3 min";
        EXPECT_EQ(test.run(790, 1200, 0.01), (std::vector { kind::move_to_ordinary_owner, kind::return_key }));
        const auto entry = test.map.find(test.pool, "key");
        EXPECT_FALSE(isHotPartition(entry->index));
        EXPECT_TRUE(entry->isOwnedBy(test.home));
        EXPECT_EQ(entry->number, 5u) << "isolated at 2, moved at 3 and 4";
    }

    // Guards against isolating keys while the pool's load is unknown, because of the counters' error, or on an instance
    // that does not own the key.
    TEST(HotKeyPolicy, NeedsGuaranteedLoad)
    {
        hot_fixture test;
        for (int second = 0; second < 100; ++second) {
            const time_point now { seconds(second) };
            EXPECT_TRUE(test.policy.decide(test.pool, test.map, test.home, { { "key", 0.5, 0.4 } }, 1, now).empty());
            EXPECT_TRUE(test.policy.decide(test.pool, test.map, test.home, { { "key", 0.5, 0 } }, 0, now).empty());
            EXPECT_TRUE(test.policy.decide(test.pool, test.map, test.other, { { "key", 0.5, 0 } }, 1, now).empty());
        }
    }

} // namespace
} // namespace heatherdrift::test
