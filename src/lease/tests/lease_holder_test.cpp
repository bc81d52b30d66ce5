#include "lease/lease_holder.h"

#include "lease/witness_change.h"
#include "lease_fixtures.h"

#include <functional>
#include <gtest/gtest.h>

namespace heatherdrift::lease_test {
namespace {

    using std::chrono::milliseconds;

    const instance_ref holderRef { "h", 3 };
    const lease_settings settings;

    std::vector<instance_ref> refs(const std::string& ids)
    {
        std::vector<instance_ref> list;
        for (const char id : ids)
            list.push_back({ std::string(1, id), 1 });
        return list;
    }

    // Polls the lease and delivers the grants of these witnesses immediately.
    void renew(lease_holder& lease, int ms, const std::string& granting)
    {
        for (const auto& renewal : lease.poll(at(ms), 1).renewals) {
            if (granting.find(renewal.witness.id) != std::string::npos)
                lease.receive(lease_grant { renewal.holder, renewal.witness, renewal.sequence }, at(ms));
        }
    }

    TEST(LeaseSettings, DefaultsAreConsistent) { EXPECT_TRUE(checkLeaseSettings(lease_settings())); }

    // Guards against settings that are unsafe or lead to takeovers of healthy instances.
    TEST(LeaseSettings, RejectsContradictions)
    {
        const std::function<void(lease_settings&)> cases[] = {
            [](auto& s) { s.ttl = {}; },
            [](auto& s) { s.renewalInterval = milliseconds(0); },
            [](auto& s) { s.rankDelay = milliseconds(-1); },
            [](auto& s) { s.driftShare = -0.01; },
            [](auto& s) { s.driftShare = 0.21; },
            [](auto& s) { s.renewalInterval = milliseconds(735); },
            [](auto& s) { s.silenceLimit = milliseconds(999); },
            [](auto& s) { s.rankDelay = milliseconds(133); },
            [](auto& s) { s.staleConfigurationLimit = milliseconds(500); },
            [](auto& s) { s.replacementDelay = milliseconds(1000); },
            [](auto& s) { s.rebalanceDelay = milliseconds(4999); },
            [](auto& s) { s.initialRetryDelay = milliseconds(2001); },
            [](auto& s) { s.blockedAfter = milliseconds(1530); },
            [](auto& s) { s.mutations.noWait = true; },
        };
        for (std::size_t i = 0; i < std::size(cases); ++i) {
            lease_settings changed;
            cases[i](changed);
            EXPECT_FALSE(checkLeaseSettings(changed)) << "case " << i;
        }
    }

    // Guards against a holder that outlives its witnesses' grants when clocks run fast or slow by up to the share.
    TEST(LeaseSettings, DriftShareCoversClockRates)
    {
        for (const double holderRate : { 0.98, 0.99, 1.0, 1.01, 1.02 }) {
            for (const double witnessRate : { 0.98, 0.99, 1.0, 1.01, 1.02 })
                EXPECT_LE(static_cast<double>(settings.holderGrantTime().count()) / holderRate,
                    static_cast<double>(settings.witnessGrantTime().count()) / witnessRate);
        }
    }

    struct majority_case {
        std::string witnesses;
        std::vector<std::string> grants; ///< Witnesses that grant the renewals sent at 0, 500, 1000 ms.
        std::optional<int> validUntilMs;
    };

    // Guards against a lease that relies on less than a majority, or on the wrong grants.
    TEST(LeaseHolder, IsValidUntilTheMajorityEnds)
    {
        const majority_case cases[] = {
            { "a", { "" }, std::nullopt },
            { "a", { "a" }, 1470 },
            { "abc", { "a" }, std::nullopt },
            { "abc", { "ab" }, 1470 },
            { "abc", { "ab", "c" }, 1470 },
            { "abc", { "ab", "bc" }, 1970 },
            { "abcde", { "abcde", "ab", "c" }, 1970 },
            { "abcde", { "ab", "c" }, 1470 },
            { "abcde", { "abc", "de", "a" }, 1970 },
        };
        for (const auto& entry : cases) {
            lease_holder lease(holderRef, refs(entry.witnesses), settings, at(0));
            for (std::size_t i = 0; i < entry.grants.size(); ++i)
                renew(lease, static_cast<int>(i) * 500, entry.grants[i]);
            const auto expected = entry.validUntilMs ? at(*entry.validUntilMs) : neverValid;
            EXPECT_EQ(lease.validUntil(), expected) << entry.witnesses << " " << entry.grants.front();
        }
        EXPECT_EQ(lease_holder(holderRef, {}, settings, at(0)).validUntil(), unboundedLease);
    }

    // Guards against grants that extend the lease although they are late, repeated, out of order, or for another holder
    // or witness.
    TEST(LeaseHolder, StartsEachGrantAtItsRenewal)
    {
        lease_holder lease(holderRef, refs("a"), settings, at(0));
        const auto first = lease.poll(at(0), 1).renewals.at(0);
        EXPECT_EQ(lease.poll(at(100), 1), (renewal_batch { {}, at(500) }));
        const auto second = lease.poll(at(500), 1).renewals.at(0);
        const instance_ref a { "a", 1 };
        const std::pair<lease_grant, int> foreign[] = {
            { { { "h", 2 }, a, first.sequence }, 600 },
            { { holderRef, { "a", 2 }, first.sequence }, 600 },
            { { holderRef, { "b", 1 }, first.sequence }, 600 },
            { { holderRef, a, second.sequence + 1 }, 600 },
        };
        for (const auto& [grant, ms] : foreign)
            lease.receive(grant, at(ms));
        EXPECT_EQ(lease.validUntil(), neverValid);
        lease.receive(lease_grant { holderRef, a, second.sequence }, at(600));
        EXPECT_EQ(lease.validUntil(), at(1970));
        lease.receive(lease_grant { holderRef, a, first.sequence }, at(1400));
        lease.receive(lease_grant { holderRef, a, second.sequence }, at(3500));
        EXPECT_EQ(lease.validUntil(), at(1970));
    }

    TEST(LeaseHolder, EndsOnlyOnFinalRefusals)
    {
        const std::pair<refusal_reason, std::optional<lease_end>> cases[] = {
            { refusal_reason::fenced, lease_end::fenced },
            { refusal_reason::superseded, lease_end::superseded },
            { refusal_reason::wrong_witness, std::nullopt },
            { refusal_reason::stale_configuration, std::nullopt },
        };
        for (const auto& [reason, expected] : cases) {
            lease_holder lease(holderRef, refs("abc"), settings, at(0));
            renew(lease, 0, "ab");
            lease.receive(lease_refusal { { "h", 2 }, { "c", 1 }, 1, reason }, at(10));
            EXPECT_EQ(lease.ended(), std::nullopt);
            lease.receive(lease_refusal { holderRef, { "c", 1 }, 1, reason }, at(10));
            EXPECT_EQ(lease.ended(), expected);
            EXPECT_EQ(lease.validUntil(), expected ? neverValid : at(1470));
            EXPECT_EQ(lease.poll(at(500), 1).renewals.empty(), expected.has_value());
        }
    }

    // Guards against hazard (a) of docs/ownership.md: while the outcome of the write is unknown, a takeover may find
    // either set in the row.
    TEST(LeaseHolder, NeedsBothSetsDuringAChange)
    {
        for (const auto outcome : { change_outcome::applied, change_outcome::not_applied }) {
            auto row = makeMember("h", "a", 3, member_state::active, refs("abc"));
            lease_holder lease(holderRef, row.witnesses, settings, at(0));
            renew(lease, 0, "abc");
            EXPECT_FALSE(lease.beginWitnessChange(row, refs("abc")));
            EXPECT_TRUE(lease.beginWitnessChange(row, refs("ade")));
            EXPECT_FALSE(lease.beginWitnessChange(row, refs("a")));
            EXPECT_EQ(lease.validUntil(), neverValid);
            renew(lease, 100, "d");
            EXPECT_EQ(lease.validUntil(), at(1470));
            renew(lease, 600, "de");
            EXPECT_EQ(lease.validUntil(), at(1470));
            lease.settleWitnessChange(outcome);
            EXPECT_EQ(lease.validUntil(), at(outcome == change_outcome::applied ? 2070 : 1470));
        }
        for (const auto state : { member_state::fencing, member_state::fenced, member_state::left }) {
            lease_holder lease(holderRef, refs("abc"), settings, at(0));
            EXPECT_FALSE(lease.beginWitnessChange(makeMember("h", "a", 3, state, refs("abc")), refs("a")));
        }
    }

    struct change_case {
        commit_status status;
        std::optional<member_row> readBack; ///< Read at version 8; empty: still the old row at version 7.
        std::optional<change_outcome> outcome;
    };

    // Guards against treating a write with a lost answer as applied, or as not applied while it may still arrive.
    TEST(WitnessChange, SettlesOnlyOnProof)
    {
        const auto row = makeMember("h", "a", 3, member_state::active, refs("abc"));
        const auto with = [&](const std::string& set, member_state state, incarnation number) {
            return makeMember("h", "a", number, state, refs(set));
        };
        const change_case cases[] = {
            { commit_status::applied, std::nullopt, change_outcome::applied },
            { commit_status::unknown, std::nullopt, std::nullopt },
            { commit_status::not_sent, std::nullopt, std::nullopt },
            { commit_status::unknown, with("ade", member_state::active, 3), change_outcome::applied },
            { commit_status::conflict, with("ade", member_state::fencing, 3), change_outcome::applied },
            { commit_status::conflict, with("abc", member_state::fencing, 3), change_outcome::not_applied },
            { commit_status::unknown, with("ade", member_state::active, 4), change_outcome::not_applied },
        };
        for (const auto& entry : cases) {
            witness_change change({ 7, row }, refs("ade"), "op", settings, 1);
            const auto write = std::get<commit_row>(change.start().at(0));
            EXPECT_EQ(write.expected, 7);
            change.handle(commit_done { "op", entry.status, 8 }, at(0));
            const versioned_member seen
                = entry.readBack ? versioned_member { 8, *entry.readBack } : versioned_member { 7, row };
            const auto next = change.handle(row_read { "h", seen }, at(10));
            ASSERT_EQ(change.result().has_value(), entry.outcome.has_value());
            if (entry.outcome)
                EXPECT_EQ(change.result()->outcome, *entry.outcome);
            else
                EXPECT_EQ(next, (std::vector<change_action> { write })); // the same write again
        }
    }

    struct planner_case {
        const char* name;
        std::vector<member_row> members;
        std::string current;
        std::string silent;
        std::string expected; ///< Witnesses of the proposed set; "-" for no proposal.
        int afterMs;
    };

    // Guards against witness sets that change needlessly, too late, or to the empty set while other members exist.
    TEST(WitnessPlanner, ProposesWhatIsNeeded)
    {
        const auto self = makeMember("h", "a", 3);
        const auto b = makeMember("b", "b");
        const auto c = makeMember("c", "c");
        const auto d = makeMember("d", "a");
        const auto e = makeMember("e", "d");
        const auto fencedB = makeMember("b", "b", 1, member_state::fencing);
        const auto newB = makeMember("b", "b", 2);
        const planner_case cases[] = {
            { "complete", { self, b, c, d }, "bcd", "", "-", 600000 },
            { "two instances: the other one", { self, b }, "", "", "b", 10000 },
            { "set grows only after a delay", { self, b }, "", "", "-", 4000 },
            { "sole witness silent, not fenced", { self, b }, "b", "b", "-", 600000 },
            { "sole witness fenced", { self, fencedB }, "b", "b", "", 0 },
            { "majority lost", { self, b, c, d, e }, "bcd", "bc", "d", 0 },
            { "one silent, for a moment", { self, b, c, d, e }, "bcd", "b", "-", 4000 },
            { "one silent, for long", { self, b, c, d, e }, "bcd", "b", "cde", 10000 },
            { "one silent, no substitute", { self, b, c, d }, "bcd", "b", "-", 600000 },
            { "restarted witness", { self, newB, c, d }, "bcd", "", "bcd", 10000 },
        };
        for (const auto& entry : cases) {
            witness_planner planner(settings);
            witness_plan plan;
            for (int ms = 0; ms <= entry.afterMs; ms += 500) {
                std::vector<witness_health> health;
                for (const auto& witness : refs(entry.current))
                    health.push_back({ witness, entry.silent.find(witness.id) != std::string::npos, false });
                plan = planner.plan(self, entry.members, refs(entry.current), health, at(ms));
            }
            std::string proposed;
            for (const auto& witness : plan.witnesses)
                proposed += witness.id;
            std::sort(proposed.begin(), proposed.end());
            EXPECT_EQ(plan.urgency == change_urgency::none ? "-" : proposed, entry.expected) << entry.name;
        }
    }

    // Guards against a change to witnesses that do not answer, and against treating a pause of the holder as their
    // silence.
    TEST(LeaseHolder, TriesCandidatesFirst)
    {
        const auto self = makeMember("h", "a", 3, member_state::active, refs("bcd"));
        const std::vector<member_row> members { self, makeMember("b", "b"), makeMember("c", "c"), makeMember("d", "a"),
            makeMember("e", "b"), makeMember("f", "c") };
        lease_holder lease(holderRef, refs("bcd"), settings, at(0));
        renew(lease, 0, "bcd");
        lease.poll(at(9000), 1);
        EXPECT_FALSE(lease.proposeWitnesses(self, members, at(9000)));
        EXPECT_EQ(lease.poll(at(9001), 1).renewals.size(), 0u); // no candidates yet
        for (int ms = 9500; ms <= 10500; ms += 500) {
            renew(lease, ms, "b");
            EXPECT_FALSE(lease.proposeWitnesses(self, members, at(ms)));
        }
        renew(lease, 11000, "ef"); // c and d are silent by now, so renewals go to b, e and f
        const auto proposed = lease.proposeWitnesses(self, members, at(11000));
        ASSERT_TRUE(proposed);
        for (const auto& witness : *proposed)
            EXPECT_TRUE(witness.id != "c" && witness.id != "d");
    }

} // namespace
} // namespace heatherdrift::lease_test
