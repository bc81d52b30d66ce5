#include "assignment/placement.h"

#include "assignment/capacity_ramp.h"
#include "assignment/coordinator.h"
#include "pool_fixture.h"

#include <gtest/gtest.h>
#include <iostream>
#include <rapidcheck/gtest.h>
#include <set>

namespace heatherdrift::test {
namespace {

    constexpr std::uint32_t fullPartitions = 16384;
    constexpr std::size_t fullMembers = 115; // Members of each of 6 pools with 690 instances in total.

    struct full_pool {
        pool_configuration pool = makePool(fullPartitions);
        member_map members = makeMembers(fullMembers);
        partition_map map;
        std::size_t moved = 0;

        std::vector<placement_step> repair()
        {
            const auto steps = planRepair(pool, map, members, eligibleOf(members));
            map = applySteps(pool, map, members, steps, moved);
            return steps;
        }
        double ratio() const { return countBalance(map, members).ratio(); }
    };

    std::size_t pagesOf(const partition_map& map, const instance_ref& instance)
    {
        std::set<std::uint32_t> pages;
        for (const auto partition : map.ownedBy("pool", instance))
            pages.insert(pageOf(partition));
        return pages.size();
    }

    // Guards against a takeover that needs more writes than the store accepts within the 3 s limit, and against an
    // imbalance above 1.1, which the balancer would have to correct.
    TEST(Placement, WritesAtFullSize)
    {
        full_pool test;
        auto steps = test.repair();
        std::cout << "first assignment: " << steps.size() << " writes, max/mean " << test.ratio() << "\n";
        EXPECT_LE(steps.size(), 320u);
        EXPECT_LT(test.ratio(), 1.1);

        test.moved = 0;
        const auto lost = test.map.ownedBy("pool", { idOf(0), 1 }).size();
        test.members[idOf(0)].row.state = member_state::fenced;
        steps = test.repair();
        std::cout << "one instance lost: " << steps.size() << " writes, " << test.moved << " of " << lost
                  << " partitions moved, max/mean " << test.ratio() << "\n";
        EXPECT_LE(steps.size(), 10u);
        EXPECT_EQ(test.moved, lost);
        EXPECT_LT(test.ratio(), 1.1);

        test.moved = 0;
        std::size_t rowsByInstance = 0;
        for (std::size_t i = 1; i <= 29; ++i) {
            test.members[idOf(i)].row.state = member_state::fenced;
            rowsByInstance += pagesOf(test.map, { idOf(i), 1 });
        }
        steps = test.repair();
        std::cout << "availability zone lost (29 of 115): " << steps.size() << " writes by page, " << rowsByInstance
                  << " by instance, max/mean " << test.ratio() << "\n";
        EXPECT_LE(steps.size(), 70u);
        EXPECT_LT(test.ratio(), 1.1);
    }

    // Guards against partitions that are omitted or moved unnecessarily, unbounded transactions, and plans that differ
    // between nodes with equal views.
    RC_GTEST_PROP(Placement, AssignsExactlyTheOrphans, ())
    {
        const auto partitions = 1u << *rc::gen::inRange(0, 11);
        const auto count = *rc::gen::inRange<std::size_t>(1, 20);
        full_pool test { makePool(partitions), makeMembers(count), {} };
        const auto loads
            = *rc::gen::container<std::vector<std::uint8_t>>(partitions, rc::gen::arbitrary<std::uint8_t>());
        test.repair();
        RC_ASSERT(test.moved == partitions);
        test.moved = 0;
        std::size_t lost = 0, restarted = 0;
        for (auto& [id, member] : test.members) {
            const auto owned = test.map.ownedBy("pool", member.row.self).size();
            const auto what = *rc::gen::inRange(0, 4);
            if (id != idOf(0) && what == 0) {
                member.row.state = member_state::fenced;
                lost += owned;
            } else if (what == 1) {
                ++member.row.self.number;
                restarted += owned;
            }
        }
        const auto load = [&](partition_index index) { return static_cast<double>(loads[index]); };
        const auto steps = planRepair(test.pool, test.map, test.members, eligibleOf(test.members), load);
        RC_ASSERT(steps == planRepair(test.pool, test.map, test.members, eligibleOf(test.members), load));
        for (const auto& step : steps) {
            std::set<instance_id> successors;
            for (const auto& assignment : step.assignments) {
                successors.insert(assignment.successor);
                const auto owner = test.map.find("pool", assignment.partition)->owner;
                const auto& row = test.members.at(owner->id).row;
                RC_ASSERT(row.state == member_state::fenced || assignment.successor == owner->id);
            }
            RC_ASSERT(successors.size() <= maximumSuccessors);
        }
        test.map = applySteps(test.pool, test.map, test.members, steps, test.moved);
        RC_ASSERT(test.moved == lost + restarted);
        RC_ASSERT(planRepair(test.pool, test.map, test.members, eligibleOf(test.members)).empty());
    }

    // Guards against choosing successors regardless of slots, slow start and load.
    TEST(Placement, FollowsCapacityAndLoad)
    {
        const auto pool = makePool(64);
        auto members = makeMembers(3);
        members[idOf(0)].row.slots = 6;
        const auto ramp = [](const instance_ref& instance) { return instance.id == idOf(1) ? 0.1 : 1.0; };
        std::size_t moved = 0;
        auto map = applySteps(pool, {}, members, planRepair(pool, {}, members, eligibleOf(members, ramp)), moved);
        EXPECT_NEAR(static_cast<double>(map.ownedBy("pool", { idOf(0), 1 }).size()), 64 * 6 / 19.2, 1);
        EXPECT_NEAR(static_cast<double>(map.ownedBy("pool", { idOf(1), 1 }).size()), 64 * 1.2 / 19.2, 1);

        map = applySteps(pool, {}, members, planRepair(pool, {}, members, eligibleOf(members)), moved);
        const auto hot = map.ownedBy("pool", { idOf(0), 1 }).front();
        const auto load = [hot](partition_index index) { return index == hot ? 63.0 : 1.0; };
        members[idOf(2)].row.state = member_state::fenced;
        std::map<instance_id, int> counts;
        for (const auto& step : planRepair(pool, map, members, eligibleOf(members), load)) {
            for (const auto& assignment : step.assignments)
                ++counts[assignment.successor];
        }
        EXPECT_GT(counts[idOf(1)], counts[idOf(0)]);
    }

    // Guards against a leaving instance that keeps partitions, or is chosen as a successor of its own partitions.
    TEST(Placement, DrainsEverything)
    {
        full_pool test;
        test.repair();
        const instance_ref leaving { idOf(3), 1 };
        auto left = test.map.ownedBy("pool", leaving).size();
        for (const auto& step : planDrain(test.pool, test.map, leaving, eligibleOf(test.members))) {
            left -= step.assignments.size();
            EXPECT_TRUE(handOver(*test.map.page("pool", step.page), leaving, step.assignments, test.members, "x"));
        }
        EXPECT_EQ(left, 0u);
        EXPECT_TRUE(planDrain(test.pool, test.map, leaving, { { leaving } }).empty());
    }

    // Guards against a change of coordinator for pages whose coordinator is still a member.
    TEST(Coordinator, ChangesOnlyForLostMember)
    {
        auto members = makeMembers(20);
        const auto before = eligibleOf(members);
        members.erase(idOf(7));
        const auto after = eligibleOf(members);
        for (std::uint32_t page = 0; page < 640; ++page) {
            const auto& coordinator = coordinatorOf("pool", page, before)->self.id;
            EXPECT_EQ(coordinatorOf("pool", page, after)->self.id == coordinator, coordinator != idOf(7));
        }
        EXPECT_EQ(coordinatorOf("pool", 0, {}), nullptr);
    }

    // Guards against one write per lost owner while the owners in an availability zone are being fenced, and against a
    // delay when no owner is being fenced.
    TEST(RepairSchedule, WaitsForOwnersBeingFenced)
    {
        member_map members { { "a", makeMember("a", 1, member_state::fenced) }, { "b", makeMember("b") } };
        const auto page = makePage({ { "a", 1 }, { "b", 1 } });
        const time_point now(std::chrono::seconds(100));
        repair_schedule schedule;
        EXPECT_EQ(schedule.repairAt(page, members, now), now);
        schedule.onRepaired("pool", 0);
        members["b"].row.state = member_state::fencing;
        const auto deadline = schedule.repairAt(page, members, now);
        EXPECT_GT(deadline, now);
        EXPECT_EQ(schedule.repairAt(page, members, deadline), deadline);
        schedule.onRepaired("pool", 0);
        EXPECT_GT(schedule.repairAt(absentPage(makePool(2), 0), members, now), deadline) << "more members may join";
    }

    // Guards against a full share for a new member, and against slow start of all members when the node starts.
    TEST(SlowStart, GrowsForNewMembersOnly)
    {
        const time_point now(std::chrono::seconds(100));
        capacity_ramp ramps;
        auto members = makeMembers(1);
        ramps.onMembers(members, now);
        members = makeMembers(2);
        ramps.onMembers(members, now);
        ramps.onMembers(members, now + std::chrono::seconds(10));
        EXPECT_EQ(ramps.ramp({ idOf(0), 1 }, now), 1);
        EXPECT_DOUBLE_EQ(ramps.ramp({ idOf(1), 1 }, now), 0.1);
        EXPECT_DOUBLE_EQ(ramps.ramp({ idOf(1), 1 }, now + std::chrono::seconds(30)), 0.55);
        EXPECT_EQ(ramps.ramp({ idOf(1), 1 }, now + std::chrono::seconds(60)), 1);
        EXPECT_DOUBLE_EQ(ramps.ramp({ idOf(1), 2 }, now), 0.1);
    }

} // namespace
} // namespace heatherdrift::test
