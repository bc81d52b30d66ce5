#include "assignment/balancer.h"

#include "assignment/capacity_ramp.h"
#include "pool_fixture.h"

#include <gtest/gtest.h>
#include <iostream>
#include <random>
#include <rapidcheck/gtest.h>

namespace heatherdrift::test {
namespace {

    /// A pool whose owners execute each proposed move immediately and report their loads every 15 s.
    struct balanced_pool {
        pool_configuration pool;
        member_map members;
        partition_map map;
        capacity_ramp ramps;
        balancer subject;
        std::map<partition_index, double> loads; ///< Busy slots by partition; the default is 0.1.
        std::mt19937_64 random { 20261204 };
        double noise = 0;
        bool rejectsMoves = false;
        int second = 0;
        int stepSeconds = 1;
        std::size_t moves = 0;
        std::map<int, std::size_t> movesByMinute;

        balanced_pool(std::uint32_t partitions, std::size_t count)
            : pool(makePool(partitions))
            , members(makeMembers(count))
        {
            std::size_t moved = 0;
            map = applySteps(pool, {}, members, planRepair(pool, {}, members, eligibleOf(members)), moved);
            ramps.onMembers(members, now());
        }

        time_point now() const { return time_point(std::chrono::seconds(second)); }
        void join(const instance_id& id)
        {
            members[id] = makeMember(id);
            ramps.onMembers(members, now());
        }
        std::map<partition_index, double> loadsOf(const instance_ref& instance, double factor = 1) const
        {
            std::map<partition_index, double> found;
            for (const auto partition : map.ownedBy("pool", instance))
                found[partition] = factor * (loads.contains(partition) ? loads.at(partition) : 0.1);
            return found;
        }
        double loadRatio() const
        {
            return balanceOf(members, [&](const auto& one) { return makeLoadReport(one, loadsOf(one)).load; }).ratio();
        }
        balance counts() const { return countBalance(map, members); }
        void reportLoads()
        {
            std::uniform_real_distribution factor(1 - noise, 1 + noise);
            for (const auto& [id, member] : members)
                subject.onReport(
                    makeLoadReport(member.row.self, loadsOf(member.row.self, factor(random))), pool, map, now());
        }
        void run(int seconds)
        {
            for (const int end = second + seconds; second < end; second += stepSeconds) {
                if (second % 15 == 0)
                    reportLoads();
                const auto ramp = [this](const auto& instance) { return ramps.ramp(instance, now()); };
                for (const auto& move : subject.propose(pool, map, eligibleOf(members, ramp), now()))
                    execute(move);
            }
        }
        void execute(const proposed_move& move)
        {
            ++moves;
            ++movesByMinute[second / 60];
            const auto page = map.page("pool", pageOf(move.partition));
            const auto edit = handOver(*page, move.from, { { move.partition, move.to.id } }, members, "x");
            EXPECT_TRUE(isMoveValid(move, "pool", map, members));
            if (!rejectsMoves)
                map = edit ? apply(map, edit.value()) : partition_map();
            EXPECT_EQ(isMoveValid(move, "pool", map, members), rejectsMoves) << "a proposal is valid only once";
        }
    };

    // Guards against a joining server that stays empty, receives its share immediately despite its slow start, or
    // causes more moves than needed.
    TEST(Balancer, FillsJoiningServerSlowly)
    {
        for (const auto& [partitions, count] : { std::pair(64u, 5u), std::pair(16384u, 115u) }) {
            balanced_pool test(partitions, count);
            test.stepSeconds = 5;
            test.run(120);
            EXPECT_EQ(test.moves, 0u);
            test.join("joiner");
            test.run(45);
            const auto fair = partitions / (count + 1.0);
            EXPECT_LT(static_cast<double>(test.map.ownedBy("pool", { "joiner", 1 }).size()), 0.9 * fair);
            test.run(600);
            std::cout << partitions << " partitions, " << count + 1 << " servers: " << test.moves << " moves, minimum "
                      << std::floor(fair) << ", max/mean " << test.counts().ratio() << "\n";
            EXPECT_LE(static_cast<double>(test.moves), fair + 1);
            EXPECT_GE(static_cast<double>(test.moves), 0.8 * fair);
            EXPECT_LT(test.counts().ratio(), 1.25);
            for (const auto& [minute, moves] : test.movesByMinute)
                EXPECT_LE(moves, 2 * maxMovesPerMinute(partitions)) << minute;
        }
    }

    // Guards against moves caused by noise in the reported loads, and against partitions that move back and forth.
    TEST(Balancer, IgnoresNoise)
    {
        balanced_pool test(64, 6);
        test.noise = 0.15;
        test.run(3600);
        EXPECT_EQ(test.moves, 0u);
    }

    // Guards against an overloaded server that is not relieved, and against moving a hot partition where moving a
    // colder one is sufficient.
    TEST(Balancer, MovesColdestSufficientPartition)
    {
        balanced_pool test(64, 4);
        const instance_ref hot { idOf(0), 1 };
        const auto owned = test.map.ownedBy("pool", hot);
        test.loads = { { owned[0], 1.2 }, { owned[1], 0.9 }, { owned[2], 0.4 } };
        test.run(29);
        EXPECT_EQ(test.moves, 0u) << "the imbalance has not lasted 30 s";
        test.run(600);
        EXPECT_EQ(test.moves, 2u);
        EXPECT_TRUE(test.map.find("pool", owned[0])->isOwnedBy(hot));
        EXPECT_FALSE(test.map.find("pool", owned[1])->isOwnedBy(hot));
        EXPECT_LT(test.loadRatio(), 1.25);
    }

    // Guards against moving ordinary partitions to relieve an owner when moving its hot partition alone is sufficient.
    TEST(Balancer, MovesHotPartitionAlone)
    {
        balanced_pool test(64, 4);
        const instance_ref owner { idOf(0), 1 };
        auto page = makePage({ owner }, hotPageNumber);
        page.row.hotKeys = { "key" };
        test.map = test.map.with({ { page } });
        test.loads = { { hotPartitionBase, 1.5 } };
        for (const auto partition : test.map.ownedBy("pool", { idOf(1), 1 }))
            test.loads[partition] = 0.02;
        test.run(600);
        EXPECT_TRUE(test.map.find("pool", hotPartitionBase)->isOwnedBy({ idOf(1), 1 }));
        EXPECT_EQ(test.moves, 1u);
    }

    // Guards against moving all other partitions away from an instance that is overloaded by a single one, which does
    // not relieve it.
    TEST(Balancer, LeavesSingleHotPartition)
    {
        balanced_pool test(64, 6);
        test.loads = { { test.map.ownedBy("pool", { idOf(2), 1 }).front(), 20.0 } };
        test.run(1200);
        EXPECT_EQ(test.moves, 0u);
    }

    // Guards against proposals at a high rate when the owners do not execute them.
    TEST(Balancer, RepeatsRejectedMovesSlowly)
    {
        balanced_pool test(64, 4);
        test.rejectsMoves = true;
        test.join("joiner");
        test.run(600);
        EXPECT_GT(test.moves, 0u);
        EXPECT_LE(test.moves, 60u);
    }

    // Guards against persistent imbalance and endless moves, for any loads. Prints the worst ratios.
    RC_GTEST_PROP(Balancer, SettlesForAnyLoads, ())
    {
        static double worstLoad = 0, worstCount = 0, worstMoveRatio = 0;
        const auto count = *rc::gen::inRange<std::size_t>(2, 9);
        balanced_pool test(128, count);
        test.stepSeconds = 15;
        // No partition has more than a third of a fair share; hotter ones require isolating a hot key.
        for (partition_index i = 0; i < 128; ++i)
            test.loads[i] = 0.01 * *rc::gen::inRange(1, 80);
        test.run(1800);
        const auto movesToSettle = test.moves;
        test.run(900);
        RC_ASSERT(test.moves == movesToSettle);
        const auto counts = test.counts();
        worstLoad = std::max(worstLoad, test.loadRatio());
        worstCount = std::max(worstCount, counts.ratio());
        RC_ASSERT(test.loadRatio() <= 1.25);
        RC_ASSERT(counts.max <= std::ceil(1.25 * counts.mean));
        const auto joined = 128.0 / (static_cast<double>(count) + 1);
        test.join("joiner");
        test.run(1800);
        worstMoveRatio = std::max(worstMoveRatio, static_cast<double>(test.moves - movesToSettle) / joined);
        RC_ASSERT(static_cast<double>(test.moves - movesToSettle) <= 1.5 * joined + 2);
        RC_ASSERT(test.loadRatio() <= 1.25);
        static int cases = 0;
        if (++cases == 100)
            std::cout << "worst of 100: load max/mean " << worstLoad << ", count max/mean " << worstCount
                      << ", moves for a joining server by the minimum " << worstMoveRatio << "\n";
    }

} // namespace
} // namespace heatherdrift::test
