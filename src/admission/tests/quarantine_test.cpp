#include "admission/quarantine.h"

#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;
    using decision = quarantine_decision;

    constexpr time_point start { 1000s };
    constexpr request_fingerprint poison = 1;

    std::vector<request_fingerprint> others(int count)
    {
        std::vector<request_fingerprint> result(static_cast<std::size_t>(count));
        std::iota(result.begin(), result.end(), request_fingerprint { 100 });
        return result;
    }

    std::vector<request_fingerprint> with(std::vector<request_fingerprint> list, request_fingerprint one)
    {
        list.push_back(one);
        return list;
    }

    // Guards against collisions when bytes move from one part to the next, and against a fresh token that changes the
    // fingerprint of a resent request.
    TEST(RequestFingerprint, DependsOnTheContentOnly)
    {
        const request_content base { "pool", "POST", "/orders", "key", "body", "token" };
        auto freshToken = base;
        freshToken.token = "token2";
        EXPECT_EQ(fingerprintOf(base), fingerprintOf(freshToken));
        const request_content different[] = {
            { "pool2", "POST", "/orders", "key", "body", "token" },
            { "pool", "PUT", "/orders", "key", "body", "token" },
            { "pool", "POST", "/ordersk", "ey", "body", "token" },
            { "pool", "POST", "/orders?x", "key", "body", "token" },
            { "pool", "POST", "/orders", "key2", "body", "token" },
            { "pool", "POST", "/orders", "key", "body2", "token" },
            { "pool", "POST", "/orders", "key", std::nullopt, "token" },
            { "pool", "POST", "/orders", "key", std::nullopt, "body" },
            { "pool", "POST", "/orders", "key", "", "body" },
        };
        std::set<request_fingerprint> distinct { fingerprintOf(base) };
        for (const auto& content : different)
            distinct.insert(fingerprintOf(content));
        EXPECT_EQ(distinct.size(), 1 + std::size(different));
    }

    // Guards against an exemption for good of a request that was answered well before it began to crash backend
    // servers: alone, among others, and after an isolated run has cleared it.
    TEST(Quarantine, AnsweredRequestIsRefusedOnceItCrashesBackendServers)
    {
        quarantine records;
        for (int i = 0; i < 10; ++i)
            EXPECT_EQ(records.decide(poison, start), decision::run);
        records.recordCrash("unrelated crash", with(others(11), poison), start);
        EXPECT_EQ(records.decide(poison, start), decision::run_isolated);
        records.finishIsolatedRun(poison, true, start);
        EXPECT_EQ(records.decide(poison, start), decision::run);
        records.recordCrash("crash 1", with(others(11), poison), start);
        EXPECT_EQ(records.decide(poison, start), decision::run_isolated);
        records.recordCrash("crash 2", { poison }, start);
        EXPECT_EQ(records.decide(poison, start), decision::refuse);
    }

    // Guards against a crashing request that runs again and again, and against refusal after one crash, which may have
    // had any cause.
    TEST(Quarantine, RefusesAfterTheSecondCrash)
    {
        for (const int inFlight : { 0, 11, 200 }) {
            quarantine records;
            records.recordCrash("crash 1", with(others(inFlight), poison), start);
            EXPECT_EQ(records.decide(poison, start), decision::run_isolated) << inFlight;
            records.recordCrash("crash 2", with(others(inFlight), poison), start + 1s);
            EXPECT_EQ(records.decide(poison, start + 1s), decision::refuse) << inFlight;
            EXPECT_EQ(records.refusal().outcome, verdict::not_run);
            EXPECT_EQ(records.refusal().code, error_code::quarantined);
            for (const auto other : others(std::min(inFlight, 1)))
                EXPECT_NE(records.decide(other, start + 1s), decision::refuse);
            EXPECT_EQ(records.decide(poison, start + 10min), decision::refuse);
            EXPECT_NE(records.decide(poison, start + 10min + 1s), decision::refuse);
        }
    }

    // Guards against a request among many in flight that gets more suspicion than one that was alone.
    TEST(Quarantine, SuspicionDependsOnTheNumberInFlight)
    {
        quarantine alone;
        alone.recordCrash("crash", { poison, poison }, start);
        quarantine amongMany;
        amongMany.recordCrash("crash", with(others(9), poison), start);
        EXPECT_NEAR(alone.suspicion(poison, start), 0.6, 1e-9);
        EXPECT_NEAR(amongMany.suspicion(poison, start), 0.06, 1e-9);
        EXPECT_LT(alone.suspicion(poison, start + 10min), 0.23);
        EXPECT_EQ(alone.decide(poison, start + 1h), decision::run);
    }

    // Guards against refusal of innocent requests: after a crash each suspect runs alone, and a response clears it.
    TEST(Quarantine, SuspectsRunOneAtATimeUntilCleared)
    {
        quarantine records;
        records.recordCrash("crash", { 1, 2, 3 }, start);
        EXPECT_EQ(records.decide(1, start), decision::run_isolated);
        EXPECT_EQ(records.decide(2, start), decision::wait);
        EXPECT_EQ(records.decide(1, start), decision::wait);
        EXPECT_EQ(records.decide(9, start), decision::run);
        records.finishIsolatedRun(1, true, start);
        EXPECT_EQ(records.decide(1, start), decision::run);
        EXPECT_EQ(records.decide(2, start), decision::run_isolated);
        records.finishIsolatedRun(2, false, start);
        EXPECT_EQ(records.decide(2, start), decision::run_isolated);
        EXPECT_EQ(records.nextIsolationAt(), start + 2s);
        EXPECT_EQ(records.decide(3, start + 1s), decision::wait);
        EXPECT_EQ(records.decide(3, start + 2s), decision::run_isolated);
    }

    // Guards against a crashing request that stays undetected because an innocent suspect was in flight as well.
    TEST(Quarantine, OthersInFlightBesideASuspectStaySuspected)
    {
        quarantine records;
        records.recordCrash("crash 1", { 7 }, start);
        EXPECT_EQ(records.decide(7, start), decision::run_isolated);
        records.recordCrash("crash 2", { 7, poison }, start);
        EXPECT_EQ(records.decide(poison, start), decision::run_isolated);
        records.recordCrash("crash 3", { poison }, start);
        EXPECT_EQ(records.decide(poison, start), decision::refuse);
    }

    // Guards against attributions that are applied twice or whose result depends on the order of arrival.
    RC_GTEST_PROP(Quarantine, MergeIsIdempotentAndCommutative, ())
    {
        quarantine source;
        std::vector<crash_strike> attributions;
        for (int crash = 0; crash < 5; ++crash) {
            const auto inFlight
                = *rc::gen::container<std::vector<request_fingerprint>>(rc::gen::inRange<std::uint64_t>(1, 9));
            const auto now = start + *rc::gen::inRange(0, 2000) * 1s;
            const auto added = source.recordCrash("crash " + std::to_string(crash), inFlight, now);
            attributions.insert(attributions.end(), added.begin(), added.end());
        }
        quarantine other;
        for (int round = 0; round < 2; ++round) {
            std::reverse(attributions.begin(), attributions.end());
            for (const auto& attribution : attributions)
                other.merge({ attribution });
        }
        const auto now = start + 2000s;
        for (request_fingerprint fingerprint = 1; fingerprint < 9; ++fingerprint) {
            RC_ASSERT(std::abs(source.suspicion(fingerprint, now) - other.suspicion(fingerprint, now)) < 1e-9);
            RC_ASSERT(source.isRefused(fingerprint, now) == other.isRefused(fingerprint, now));
        }
    }

    // Guards against renewed suspicion when another node resends an old attribution after the request was cleared.
    TEST(Quarantine, LateDuplicateAttributionDoesNotRestoreSuspicion)
    {
        quarantine records;
        const auto attributions = records.recordCrash("crash", { 1 }, start);
        EXPECT_EQ(records.decide(1, start), decision::run_isolated);
        records.finishIsolatedRun(1, true, start);
        records.merge(attributions);
        EXPECT_EQ(records.decide(1, start), decision::run);
    }

    // Guards against memory that grows with each crash.
    TEST(Quarantine, MemoryIsBounded)
    {
        quarantine_settings settings;
        settings.maxFingerprints = 50;
        settings.maxAttributions = 100;
        quarantine records(settings);
        for (int crash = 0; crash < 100; ++crash)
            records.recordCrash("crash " + std::to_string(crash), others(20 + crash), start + crash * 1s);
        EXPECT_EQ(records.size(), 50u);
    }

} // namespace
} // namespace heatherdrift
