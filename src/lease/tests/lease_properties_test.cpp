#include "lease_history.h"

#include <gtest/gtest.h>
#include <iostream>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift::lease_test {
namespace {

    using kind = fault_kind;

    // RapidCheck runs 100 plans per property: with 260 histories per plan, 104,000 in all.
    constexpr unsigned historiesPerPlan = HEATHERDRIFT_HISTORIES_PER_PLAN;
    const std::vector<fault_kind> allKinds { kind::pause, kind::restart, kind::cut_off, kind::store_outage,
        kind::lost_answers, kind::change_witnesses, kind::needless_takeover };
    const fault_rates clean {};

    history_plan genPlan(const std::vector<fault_kind>& kinds, const fault_rates& maxRates)
    {
        const auto one = rc::gen::construct<fault>(rc::gen::elementOf(kinds), rc::gen::inRange(0u, 420u),
            rc::gen::inRange(0, faultsEndMs), rc::gen::inRange(50, 3000));
        history_plan plan;
        plan.witnesses = *rc::gen::element(1u, 3u, 5u);
        plan.holderLostAtMs = *rc::gen::element(-1, *rc::gen::inRange(0, faultsEndMs));
        const double share = *rc::gen::inRange(0, 5) / 4.0;
        plan.rates = { maxRates.loss * share, maxRates.duplication * share, maxRates.longDelay * share };
        plan.faults = *rc::gen::container<std::vector<fault>>(*rc::gen::inRange<std::size_t>(1, 10), one);
        return plan;
    }

    // Each history of a plan omits some of its faults and shifts the others in time.
    history_plan vary(history_plan plan, std::uint32_t seed)
    {
        std::minstd_rand random(seed);
        std::erase_if(plan.faults, [&](const fault&) { return random() % 5 == 0; });
        for (auto& entry : plan.faults)
            entry.atMs = std::max(0, entry.atMs + static_cast<int>(random() % 600) - 300);
        return plan;
    }

    void checkProperties(const std::vector<fault_kind>& kinds, const fault_rates& maxRates)
    {
        const auto plan = genPlan(kinds, maxRates);
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        for (unsigned i = 0; i < historiesPerPlan; ++i) {
            const auto result = runHistory(vary(plan, seed + i), seed + i);
            if (!result.violation.empty())
                RC_FAIL(result.violation + " in the history with seed " + std::to_string(seed + i));
        }
    }

    // The four properties guard against two valid owners, grants after a promise, decreasing epochs, incarnations or
    // states, and takeovers that never end.
    RC_GTEST_PROP(LeaseProperties, HoldUnderNetworkFaults, ())
    {
        checkProperties({ kind::cut_off, kind::change_witnesses, kind::needless_takeover }, { 0.3, 0.3, 0.3 });
    }

    RC_GTEST_PROP(LeaseProperties, HoldUnderPausesAndRestarts, ())
    {
        checkProperties({ kind::pause, kind::restart, kind::cut_off, kind::needless_takeover }, { 0.05, 0.05, 0.05 });
    }

    RC_GTEST_PROP(LeaseProperties, HoldUnderStoreFaults, ())
    {
        checkProperties(
            { kind::store_outage, kind::lost_answers, kind::change_witnesses, kind::cut_off }, { 0.02, 0.02, 0.1 });
    }

    RC_GTEST_PROP(LeaseProperties, HoldUnderAllFaultsTogether, ()) { checkProperties(allKinds, { 0.2, 0.2, 0.2 }); }

    // A scripted scenario, and bounds on the results of each of its histories.
    struct hazard {
        const char* name;
        unsigned witnesses;
        int holderLostAtMs;
        std::vector<fault> faults;
        unsigned minTakeovers;
        unsigned maxTakeovers;
        unsigned minChanges;
        double longDelay = 0;
    };

    // Guards against each hazard that docs/ownership.md lists, by its letter there, and against needless takeovers.
    TEST(LeaseHazards, AreHandled)
    {
        const hazard cases[] = {
            { "a: answer to the own change lost", 3, -1,
                { { kind::lost_answers, 0, 900, 2500 }, { kind::change_witnesses, 0, 1000, 0 },
                    { kind::cut_off, 0, 1100, 4000 } },
                1, 4, 0 },
            { "b: takeovers by two instances, by one of them twice", 5, 1000,
                { { kind::needless_takeover, 1, 2000, 0 }, { kind::needless_takeover, 2, 2000, 0 },
                    { kind::needless_takeover, 2, 2001, 0 } },
                1, 1, 0 },
            { "d: paused holder resumes", 5, -1, { { kind::pause, 0, 1000, 4000 } }, 1, 1, 0 },
            { "e: restarted witness", 3, -1, { { kind::restart, 1, 1000, 300 } }, 0, 0, 0 },
            { "f: grants late by up to 3 s", 3, 3000, {}, 1, 4, 0, 0.4 },
            { "h: instances terminate during their takeovers", 3, 1000,
                { { kind::restart, 1, 2300, 3000 }, { kind::restart, 2, 2300, 1000 } }, 1, 1, 0 },
            { "i: majority of the witnesses terminates", 5, -1,
                { { kind::restart, 1, 1000, 5000 }, { kind::restart, 2, 1000, 5000 }, { kind::restart, 3, 1000, 5000 },
                    { kind::restart, 4, 1000, 5000 } },
                0, 0, 1 },
            { "needless takeovers", 5, -1,
                { { kind::needless_takeover, 1, 1000, 0 }, { kind::needless_takeover, 2, 1500, 0 } }, 0, 0, 0 },
            { "a witness cut off", 5, -1, { { kind::cut_off, 1, 1000, 4900 } }, 0, 0, 0 },
        };
        for (const auto& entry : cases) {
            const history_plan plan { entry.witnesses, entry.holderLostAtMs, { 0, 0, entry.longDelay }, entry.faults,
                {} };
            for (std::uint32_t seed = 0; seed < historiesPerPlan; ++seed) {
                SCOPED_TRACE(std::string(entry.name) + ", seed " + std::to_string(seed));
                const auto result = runHistory(plan, seed);
                ASSERT_EQ(result.violation, "");
                ASSERT_GE(result.takeovers, entry.minTakeovers);
                ASSERT_LE(result.takeovers, entry.maxTakeovers);
                ASSERT_LE(result.marks, entry.maxTakeovers);
                ASSERT_GE(result.changes, entry.minChanges);
            }
        }
    }

    // Guards against a takeover that keeps keys unavailable for longer than the target allows. Times are simulated,
    // with store calls of 4 to 40 ms, and do not depend on the speed of the machine.
    TEST(LeaseTiming, LostHolderIsReplacedWithin3Seconds)
    {
        int maxTakeoverMs = 0;
        for (std::uint32_t seed = 0; seed < 3 * historiesPerPlan; ++seed) {
            const unsigned witnesses = 1 + 2 * (seed % 3);
            const int lostAt = 1000 + static_cast<int>(seed % 500);
            history_plan plan { witnesses, lostAt, clean, {}, {} };
            // The other instances of the holder's availability zone are lost with it.
            if (witnesses > 1)
                plan.faults = { { kind::restart, 3, lostAt, 9000 }, { kind::restart, 6, lostAt, 9000 } };
            const auto result = runHistory(plan, seed);
            ASSERT_EQ(result.violation, "") << "seed " << seed;
            maxTakeoverMs = std::max(maxTakeoverMs, result.lastTakeoverMs - lostAt);
        }
        EXPECT_LT(maxTakeoverMs, 3000);
        std::cout << "longest takeover: " << maxTakeoverMs << " ms" << std::endl;
    }

    struct mutation {
        const char* name;
        bool lease_mutations::*fault; ///< Null: a drift share of 0.
        unsigned witnesses;
        std::vector<fault_kind> kinds; ///< Faults under which it violates a property.
        double longDelay = 0;
    };

    // Seed of the first history in which the mutated protocol violates a property, or the number of histories tried.
    std::uint32_t findViolation(const mutation& entry, std::uint32_t maxSeeds)
    {
        for (std::uint32_t seed = 0; seed < maxSeeds; ++seed) {
            std::minstd_rand random(seed);
            history_plan plan { entry.witnesses, -1, { 0, 0, entry.longDelay }, {}, {} };
            if (entry.fault)
                plan.settings.mutations.*entry.fault = true;
            else
                plan.settings.driftShare = 0;
            for (unsigned i = 0; i < 8; ++i)
                plan.faults.push_back({ entry.kinds[random() % entry.kinds.size()], static_cast<unsigned>(random()),
                    static_cast<int>(random() % faultsEndMs), static_cast<int>(50 + random() % 2000) });
            const auto result = runHistory(plan, seed);
            if (result.violation.empty())
                continue;
            std::cout << entry.name << ", seed " << seed << ": " << result.violation << std::endl;
            return seed;
        }
        return maxSeeds;
    }

    // Guards against checks that do not detect faults of the protocol.
    TEST(LeaseProperties, FailForEachMutation)
    {
        using m = lease_mutations;
        const mutation cases[] = {
            { "newSetOnlyDuringChange", &m::newSetOnlyDuringChange, 3,
                { kind::lost_answers, kind::change_witnesses, kind::cut_off } },
            { "countFromReceipt", &m::countFromReceipt, 1, { kind::cut_off }, 0.4 },
            { "ignoreWitnessIncarnation", &m::ignoreWitnessIncarnation, 3, { kind::restart, kind::cut_off } },
            { "grantAfterPromise", &m::grantAfterPromise, 3, { kind::pause } },
            { "staleWitnessSet", &m::staleWitnessSet, 3, { kind::change_witnesses, kind::cut_off } },
            { "noWait", &m::noWait, 3, { kind::cut_off } },
            { "substituteWithoutWait", &m::substituteWithoutWait, 1, { kind::restart, kind::cut_off } },
            { "assumeApplied", &m::assumeApplied, 3, { kind::store_outage, kind::lost_answers, kind::pause } },
            { "no drift share", nullptr, 1, { kind::cut_off } },
        };
        constexpr std::uint32_t maxHistories = 60000;
        for (const auto& entry : cases)
            EXPECT_LT(findViolation(entry, maxHistories), maxHistories) << entry.name;
    }

} // namespace
} // namespace heatherdrift::lease_test
