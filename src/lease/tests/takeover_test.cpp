#include "lease/takeover.h"

#include "lease_fixtures.h"

#include <gtest/gtest.h>
#include <map>

namespace heatherdrift::lease_test {
namespace {

    using std::chrono::milliseconds;

    const lease_settings settings;
    const instance_ref self { "w", 1 };
    const instance_ref holderRef { "h", 3 };
    const instance_ref a { "a", 1 };
    const instance_ref b { "b", 1 };

    /// One takeover with a store that answers its reads and commits immediately. Records all actions.
    struct fixture {
        std::map<instance_id, versioned_member> rows;
        takeover machine { { self, holderRef, false, "op", 1 }, settings };
        int ms = 0;
        std::vector<takeover_action> seen;
        bool losesAnswers = false; ///< Commits have no effect, and their outcome is unknown.

        explicit fixture(std::vector<instance_ref> witnesses = { self, a, b }, bool isResumed = false)
            : machine({ self, holderRef, isResumed, "op", 1 }, settings)
        {
            put(makeMember("w"));
            put(makeMember("h", "a", 3, member_state::active, std::move(witnesses)));
        }

        void put(const member_row& row) { rows[row.self.id] = { rows[row.self.id].version + 1, row }; }
        member_row& holder() { return rows["h"].row; }
        void start() { run(machine.start()); }
        void feed(const takeover_input& input) { run(machine.handle(input, at(ms))); }
        void advance(int to)
        {
            ms = to;
            feed(timer_due {});
        }
        void reportSilence(const instance_ref& witness, int forMs)
        {
            feed(silence_report { holderRef, witness, milliseconds(forMs) });
        }
        void promise(const instance_ref& witness, int remainingMs)
        {
            feed(lease_promise { holderRef, witness, milliseconds(remainingMs) });
        }
        template <typename Action> std::vector<Action> all() const
        {
            std::vector<Action> found;
            for (const auto& action : seen) {
                if (const auto* value = std::get_if<Action>(&action))
                    found.push_back(*value);
            }
            return found;
        }

        void run(const std::vector<takeover_action>& actions)
        {
            seen.insert(seen.end(), actions.begin(), actions.end());
            for (const auto& action : actions) {
                if (const auto* read = std::get_if<read_row>(&action)) {
                    const auto row = rows.find(read->id);
                    feed(row_read { read->id, row == rows.end() ? std::nullopt : std::optional(row->second) });
                } else if (const auto* write = std::get_if<commit_row>(&action)) {
                    feed(commit_done { write->operationId, apply(*write), write->expected + 1 });
                }
            }
        }

        commit_status apply(const commit_row& write)
        {
            if (losesAnswers)
                return commit_status::unknown;
            bool isMet = rows[write.row.self.id].version == write.expected;
            for (const auto& check : write.checks)
                isMet &= rows[check.key.key].version == check.version;
            if (isMet)
                put(write.row);
            return isMet ? commit_status::applied : commit_status::conflict;
        }
    };

    TEST(Takeover, RunsThroughAllSteps)
    {
        fixture test;
        test.start();
        EXPECT_EQ(test.all<silence_inquiry>(), (std::vector<silence_inquiry> { { holderRef, a }, { holderRef, b } }));
        test.reportSilence(a, 750);
        EXPECT_EQ(test.holder().state, member_state::fencing);
        EXPECT_EQ(test.holder().fencedBy, "w");
        EXPECT_EQ(test.all<promise_request>().size(), 3u);
        test.promise(self, 400);
        test.promise({ "a", 2 }, 0); // not a witness of the set
        test.promise(b, 530);
        test.promise(b, 530);
        test.advance(529);
        EXPECT_EQ(test.holder().state, member_state::fencing);
        test.advance(530);
        EXPECT_EQ(test.holder().state, member_state::fenced);
        ASSERT_EQ(test.all<reassign_pages>().size(), 1u);
        test.feed(pages_reassigned {});
        EXPECT_EQ(test.all<finished>().at(0).outcome, takeover_outcome::completed);
    }

    struct start_case {
        const char* name;
        std::function<void(fixture&)> prepare;
        bool isResumed;
        takeover_stage expected;
    };

    // Guards against takeovers by or of instances in the wrong state.
    TEST(Takeover, FirstStepFollowsTheRows)
    {
        const auto holderState = [](member_state state, const char* by) {
            return [=](fixture& test) { test.holder().state = state, test.holder().fencedBy = by; };
        };
        const auto ownState
            = [](member_state state) { return [=](fixture& test) { test.rows["w"].row.state = state; }; };
        const start_case cases[] = {
            { "silent", [](fixture&) {}, false, takeover_stage::inquiring },
            { "left", holderState(member_state::left, ""), false, takeover_stage::finished },
            { "no row", [](fixture& test) { test.rows.erase("h"); }, false, takeover_stage::finished },
            { "not a witness", [](fixture& test) { test.holder().witnesses = { a }; }, false,
                takeover_stage::finished },
            { "unbounded lease", [](fixture& test) { test.holder().witnesses.clear(); }, false,
                takeover_stage::finished },
            { "own row fenced", ownState(member_state::fenced), true, takeover_stage::finished },
            { "own row draining", ownState(member_state::draining), false, takeover_stage::finished },
            { "own row superseded", [](fixture& test) { test.rows["w"].row.self.number = 2; }, false,
                takeover_stage::finished },
            { "fencing by another", holderState(member_state::fencing, "a"), false, takeover_stage::finished },
            { "fencing by this one", holderState(member_state::fencing, "w"), false, takeover_stage::collecting },
            { "fencing, resumed", holderState(member_state::fencing, "a"), true, takeover_stage::collecting },
            { "fenced, resumed", holderState(member_state::fenced, "a"), true, takeover_stage::reassigning },
            { "restarted at its address",
                [](fixture& test) { test.holder().self.number = 5, test.holder().firstAtAddress = 2; }, false,
                takeover_stage::reassigning },
            { "restarted at another address",
                [](fixture& test) { test.holder().self.number = 5, test.holder().firstAtAddress = 4; }, false,
                takeover_stage::reading },
        };
        for (const auto& entry : cases) {
            fixture test({ self, a, b }, entry.isResumed);
            entry.prepare(test);
            test.start();
            EXPECT_EQ(test.machine.stage(), entry.expected) << entry.name;
            EXPECT_TRUE(test.all<commit_row>().empty()) << entry.name;
        }
    }

    // Guards against fencing an instance that is silent for this one only, due to a broken link or the loss of its own
    // network.
    TEST(Takeover, FencesOnlyHoldersSilentForAMajority)
    {
        fixture test;
        test.start();
        test.reportSilence(a, 749);
        test.reportSilence({ "b", 2 }, 5000);
        EXPECT_EQ(test.machine.stage(), takeover_stage::inquiring);
        test.feed(renewal_received {});
        EXPECT_EQ(test.all<finished>().at(0).outcome, takeover_outcome::abandoned);
        EXPECT_TRUE(test.all<commit_row>().empty());
    }

    // Guards against fencing an instance that a witness has heard: its report of silence was an answer to an earlier
    // inquiry, or was made before a renewal that arrived since.
    TEST(Takeover, CountsNoWitnessThatHasHeardTheHolder)
    {
        const instance_ref c { "c", 1 };
        const instance_ref d { "d", 1 };
        for (const bool isSilentFirst : { true, false }) {
            fixture test({ self, a, b, c, d });
            test.start();
            test.reportSilence(a, isSilentFirst ? 5000 : 10);
            test.reportSilence(a, isSilentFirst ? 10 : 5000);
            test.reportSilence(b, 5000);
            EXPECT_EQ(test.machine.stage(), takeover_stage::inquiring);
            EXPECT_TRUE(test.all<commit_row>().empty());
            test.reportSilence(c, 5000);
            EXPECT_EQ(test.all<commit_row>().size(), 1u);
        }
    }

    // Guards against hazard (c) of docs/ownership.md: two instances that are each other's witness fence each other.
    TEST(Takeover, TwoInstancesCannotFenceEachOther)
    {
        for (const bool isFirst : { true, false }) {
            std::map<instance_id, versioned_member> rows;
            rows["w"] = { 1, makeMember("w", "a", 1, member_state::active, { a }) };
            rows["a"] = { 1, makeMember("a", "a", 1, member_state::active, { self }) };
            takeover ofA({ self, a, false, "x", 1 }, settings);
            takeover ofW({ a, self, false, "y", 1 }, settings);
            std::vector<commit_row> writes;
            for (auto* machine : { &ofA, &ofW }) {
                machine->start();
                machine->handle(row_read { "w", rows["w"] }, at(0));
                const auto actions = machine->handle(row_read { "a", rows["a"] }, at(0));
                writes.push_back(std::get<commit_row>(actions.back()));
            }
            const auto& won = writes[isFirst ? 0 : 1];
            const auto& lost = writes[isFirst ? 1 : 0];
            rows[won.row.self.id] = { 2, won.row };
            EXPECT_EQ(lost.checks.at(0).key.key, won.row.self.id);
            EXPECT_EQ(lost.checks.at(0).version, 1); // so the store rejects it
            auto& loser = isFirst ? ofW : ofA;
            loser.handle(commit_done { lost.operationId, commit_status::conflict, 0 }, at(10));
            loser.handle(row_read { "w", rows["w"] }, at(10));
            loser.handle(row_read { "a", rows["a"] }, at(10));
            EXPECT_EQ(loser.stage(), takeover_stage::finished);
        }
    }

    // Guards against a change to fencing that is based on outdated rows, because a newer row arrived during the
    // inquiry: by an instance that is fencing itself, or back from fenced to fencing.
    TEST(Takeover, DecidesAgainOnNewRowsDuringTheInquiry)
    {
        auto fenced = makeMember("h", "a", 3, member_state::fenced, { self, a, b });
        fenced.fencedBy = "a";
        for (const auto& newer : { makeMember("w", "a", 1, member_state::fencing), fenced }) {
            fixture test;
            test.start();
            test.put(newer);
            test.feed(member_updated { test.rows[newer.self.id] });
            test.reportSilence(a, 5000);
            EXPECT_EQ(test.machine.stage(), takeover_stage::finished);
            EXPECT_TRUE(test.all<commit_row>().empty());
        }
    }

    // Guards against collecting promises before the row is fencing, after the answer to the write was lost.
    TEST(Takeover, ReadsBackALostAnswer)
    {
        fixture test;
        test.losesAnswers = true;
        test.start();
        test.reportSilence(a, 1000);
        test.advance(5000);
        EXPECT_EQ(test.machine.stage(), takeover_stage::inquiring);
        EXPECT_TRUE(test.all<promise_request>().empty());
        test.holder().state = member_state::fencing; // the write takes effect late
        test.holder().fencedBy = "w";
        ++test.rows["h"].version;
        test.advance(10000);
        EXPECT_EQ(test.all<promise_request>().size(), 3u);
    }

    // Guards against counting silence or promises of another witness set than the one in the fencing row.
    TEST(Takeover, RestartsWhenTheSetChanges)
    {
        fixture test;
        test.start();
        test.holder().witnesses = { self, { "c", 1 }, { "d", 1 } };
        ++test.rows["h"].version;
        test.reportSilence(a, 5000); // the write with the old version conflicts, so the new set is read
        EXPECT_EQ(test.holder().state, member_state::active);
        test.reportSilence({ "c", 1 }, 5000);
        test.promise(a, 0);
        test.promise(b, 0);
        EXPECT_EQ(test.holder().state, member_state::fencing);
        test.promise({ "d", 1 }, 0);
        EXPECT_EQ(test.holder().state, member_state::fencing);
        test.promise({ "c", 1 }, 0);
        EXPECT_EQ(test.holder().state, member_state::fenced);
    }

    // Guards against hazard (e) of docs/ownership.md: grants of a restarted witness's predecessor may not have expired.
    TEST(Takeover, CountsARestartedWitnessAfterAFullGrant)
    {
        fixture test;
        test.start();
        test.reportSilence(a, 1000);
        test.promise(self, 0);
        auto restarted = makeMember("b", "b", 2);
        test.put(restarted);
        test.ms = 1000;
        test.feed(promise_refusal { holderRef, { "b", 2 } }); // no proof, since the address is unknown
        test.advance(4000);
        EXPECT_EQ(test.holder().state, member_state::fencing);
        restarted.self.number = 3;
        restarted.firstAtAddress = 1;
        test.feed(member_updated { { 2, restarted } });
        test.advance(5529);
        EXPECT_EQ(test.holder().state, member_state::fencing);
        test.advance(5530);
        EXPECT_EQ(test.holder().state, member_state::fenced);
    }

    // Guards against a takeover that is blocked without a report, and against one that an operator cannot complete.
    TEST(Takeover, IsBlockedWithoutAMajorityUntilDeclaredLost)
    {
        for (const bool isMarked : { true, false }) {
            fixture test;
            test.start();
            if (isMarked)
                test.reportSilence(a, 1000);
            test.promise(self, 0);
            for (int ms = 100; ms <= 20000; ms += 100)
                test.advance(ms);
            EXPECT_TRUE(test.machine.isBlocked());
            ASSERT_EQ(test.all<report_blocked>().size(), 1u);
            EXPECT_EQ(test.all<report_blocked>()[0].missing, (std::vector<instance_ref> { a, b }));
            EXPECT_EQ(test.holder().state, isMarked ? member_state::fencing : member_state::active);
            test.feed(declared_lost {});
            test.advance(21529);
            EXPECT_EQ(test.holder().state, member_state::fencing);
            test.advance(21530);
            EXPECT_EQ(test.holder().state, member_state::fenced);
        }
        fixture unbounded(std::vector<instance_ref> {});
        unbounded.feed(declared_lost {});
        unbounded.start();
        unbounded.advance(1530);
        EXPECT_EQ(unbounded.holder().state, member_state::fenced);
    }

    TEST(Takeover, RetriesAStoreOutageWithBackoff)
    {
        takeover machine({ self, holderRef, false, "op", 1 }, settings);
        machine.start();
        time_point now = at(0);
        for (int i = 0; i < 10; ++i) {
            const auto waits = machine.handle(read_failed { "h" }, now);
            EXPECT_TRUE(machine.handle(read_failed { "w" }, now).empty());
            const auto due = std::get<start_timer>(waits.at(0)).at;
            const auto maxDelay = std::min<duration>(settings.initialRetryDelay * (1 << i), settings.maxRetryDelay);
            EXPECT_GE(due - now, maxDelay / 2);
            EXPECT_LE(due - now, maxDelay);
            now = due;
            EXPECT_EQ(machine.handle(timer_due {}, now).size(), 2u);
        }
    }

} // namespace
} // namespace heatherdrift::lease_test
