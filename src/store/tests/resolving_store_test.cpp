#include "store/resolving_store.h"
#include "store/tests/fake_table_store.h"
#include "store/tests/virtual_time.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    const row_key rowA { "members", "a" };
    const row_key rowB { "members", "b" };
    const row_key rowC { "members", "c" };

    std::string valueOf(const std::string& operationId) { return R"({"operation_id":")" + operationId + R"("})"; }

    row_write writeOf(const row_key& key, row_version expected, const std::string& operationId)
    {
        return { key, expected, valueOf(operationId) };
    }

    /// A store with rows "a" and "b" at version 1, and the outcome of one write.
    struct resolver_setup {
        resolver_setup()
        {
            (void)fake.apply({ "setup", {}, { writeOf(rowA, 0, "setup"), writeOf(rowB, 0, "setup") } });
        }

        static resolving_store_options options(virtual_time& time)
        {
            resolving_store_options value;
            value.now = time.clock();
            value.after = time.delays();
            value.random = [] { return 0.5; };
            return value;
        }

        /// Another writer replaces a row.
        void overwrite(const row_key& key, const std::string& operationId)
        {
            (void)fake.apply({ operationId, {}, { writeOf(key, fake.find(key)->version, operationId) } });
        }

        /// The next commit has the fault; the function runs just after it.
        void failOnce(
            commit_fault fault, std::function<void()> meanwhile = [] {})
        {
            fake.chooseFault = [this, fault, meanwhile](const store_transaction&) {
                time.after({}, meanwhile);
                fake.chooseFault = nullptr;
                return fault;
            };
        }

        /// Waits for the outcome.
        void commit(store_transaction transaction, duration wantedFor, applied_test test = nullptr)
        {
            outcome.reset();
            if (!test)
                test = operationIdTest(transaction.operationId);
            store.commit(std::move(transaction), time.now() + wantedFor, test, [this](result<commit_receipt> value) {
                EXPECT_FALSE(outcome.has_value()) << "two outcomes";
                outcome = std::move(value);
            });
            time.runFor(std::chrono::hours(1));
            ASSERT_TRUE(outcome.has_value());
            EXPECT_EQ(store.unresolvedCount(), 0u);
        }

        const char* outcomeName() const
        {
            if (outcome->has_value())
                return "applied";
            return outcome->error().outcome == verdict::not_run ? "not applied" : "unknown";
        }

        virtual_time time;
        fake_table_store fake { time.delays() };
        resolving_store store { fake, options(time) };
        std::optional<result<commit_receipt>> outcome;
    };

    class resolving_store_test : public testing::Test, protected resolver_setup { };

    struct fault_case {
        const char* name;
        store_transaction transaction;
        commit_fault firstSend;
        std::function<void(fake_table_store&)> meanwhile; ///< After the first send, before the first read-back.
        duration lateEffect;
        duration wantedFor;
        const char* expected; ///< "applied", "not applied" or "unknown".
        int effects; ///< Of the transaction, in the end.
    };

    std::function<void(fake_table_store&)> replace(std::vector<row_key> keys)
    {
        return [keys](fake_table_store& fake) {
            for (const auto& key : keys) {
                const auto version = fake.find(key)->version;
                (void)fake.apply({ "other-" + key.key, {}, { writeOf(key, version, "other-" + key.key) } });
            }
        };
    }

    // Guards against each way to report a wrong outcome of a write whose answer was lost.
    TEST_F(resolving_store_test, FindsTheOutcomeUnderEachFault)
    {
        using namespace std::chrono_literals;
        const store_transaction one { "x", {}, { writeOf(rowA, 1, "x") } };
        const store_transaction two { "x", {}, { writeOf(rowA, 1, "x"), writeOf(rowB, 1, "x") } };
        const store_transaction checked { "x", { { rowB, 1 } }, { writeOf(rowA, 1, "x") } };
        const store_transaction creating { "x", {}, { writeOf(rowC, 0, "x") } };
        const auto nothing = [](fake_table_store&) {};
        const fault_case cases[] = {
            { "answered", two, commit_fault::none, nothing, 0s, 5s, "applied", 1 },
            { "refused", two, commit_fault::refuse, nothing, 0s, 5s, "not applied", 0 },
            { "lost, applied", two, commit_fault::lose_after, nothing, 0s, 5s, "applied", 1 },
            { "lost, not applied, still wanted", two, commit_fault::lose_before, nothing, 0s, 5s, "applied", 1 },
            { "lost, not applied, no longer wanted", two, commit_fault::lose_before, nothing, 0s, 0s, "not applied",
                0 },
            { "lost, applied late, still wanted", two, commit_fault::lose_and_delay, nothing, 1s, 5s, "applied", 1 },
            { "lost, applied late, no longer wanted", two, commit_fault::lose_and_delay, nothing, 1s, 0s, "not applied",
                0 },
            { "lost, applied before the read-back, not wanted", two, commit_fault::lose_and_delay, nothing, 50ms, 0s,
                "applied", 1 },
            { "one of two rows replaced first", two, commit_fault::lose_before, replace({ rowA }), 0s, 5s,
                "not applied", 0 },
            { "one of two rows replaced first, late copy", two, commit_fault::lose_and_delay, replace({ rowA }), 1s, 5s,
                "not applied", 0 },
            { "applied, one of two rows replaced", two, commit_fault::lose_after, replace({ rowA }), 0s, 5s, "applied",
                1 },
            { "applied, all rows replaced", two, commit_fault::lose_after, replace({ rowA, rowB }), 0s, 5s, "unknown",
                1 },
            { "not applied, all rows replaced", two, commit_fault::lose_before, replace({ rowA, rowB }), 0s, 5s,
                "unknown", 0 },
            { "the only row replaced", one, commit_fault::lose_before, replace({ rowA }), 0s, 5s, "unknown", 0 },
            { "a checked row replaced", checked, commit_fault::lose_before, replace({ rowB }), 0s, 5s, "not applied",
                0 },
            { "applied, then a checked row replaced", checked, commit_fault::lose_after, replace({ rowB }), 0s, 5s,
                "applied", 1 },
            { "creation lost, applied", creating, commit_fault::lose_after, nothing, 0s, 5s, "applied", 1 },
            { "creation lost, nothing to fence", creating, commit_fault::lose_before, nothing, 0s, 0s, "applied", 1 },
            { "created by another", creating, commit_fault::lose_before,
                [](fake_table_store& fake) {
                    (void)fake.apply({ "y", {}, { writeOf(rowC, 0, "y") } });
                },
                0s, 5s, "unknown", 0 },
        };
        for (const auto& entry : cases) {
            SCOPED_TRACE(entry.name);
            resolver_setup own;
            own.fake.lateEffect = entry.lateEffect;
            own.failOnce(entry.firstSend, [&] { entry.meanwhile(own.fake); });
            own.commit(entry.transaction, entry.wantedFor);
            EXPECT_STREQ(own.outcomeName(), entry.expected);
            EXPECT_EQ(own.fake.effects["x"], entry.effects);
        }
    }

    // Guards against an effect between a read and the write that follows from it. A fence on a row that is only checked
    // was once taken as proof that the transaction had not taken effect.
    TEST_F(resolving_store_test, LateEffectAtAnyMomentIsSeen)
    {
        const store_transaction transactions[] = {
            { "x", {}, { writeOf(rowA, 1, "x"), writeOf(rowB, 1, "x") } },
            { "x", { { rowA, 1 } }, { writeOf(rowB, 1, "x") } },
            { "x", { { rowA, 1 } }, { writeOf(rowC, 0, "x") } },
        };
        for (const auto& transaction : transactions) {
            for (int lateMs = 0; lateMs < 400; lateMs += 3) {
                resolver_setup own;
                own.fake.chooseLatency = [] { return std::chrono::milliseconds(10); };
                own.fake.lateEffect = std::chrono::milliseconds(lateMs);
                own.failOnce(commit_fault::lose_and_delay);
                own.commit(transaction, {});
                EXPECT_STREQ(own.outcomeName(), own.fake.effects.contains("x") ? "applied" : "not applied")
                    << "effect after " << lateMs << " ms";
            }
        }
    }

    // Guards against a row that was read before the late effect and taken as proof when a later read shows that the
    // transaction is closed.
    TEST_F(resolving_store_test, RowsReadBeforeTheEffectProveNothing)
    {
        using namespace std::chrono_literals;
        fake.chooseLatency = [] { return 10ms; };
        fake.lateEffect = 125ms; // At 135 ms; row a is read at 130 ms, row b at 150 ms.
        failOnce(commit_fault::lose_and_delay);
        time.after(140ms, [this] { overwrite(rowB, "y"); });
        commit({ "x", {}, { writeOf(rowA, 1, "x"), writeOf(rowB, 1, "x") } }, 5s);
        EXPECT_STREQ(outcomeName(), "applied");
        EXPECT_EQ(fake.effects["x"], 1);
    }

    // Guards against a fence that destroys the operation id another instance looks for.
    TEST_F(resolving_store_test, FenceKeepsTheRowsValue)
    {
        fake.chooseFault = [&](const store_transaction& transaction) {
            return transaction.operationId == "x" ? commit_fault::lose_before : commit_fault::none;
        };
        commit({ "x", {}, { writeOf(rowA, 1, "x") } }, {});
        ASSERT_TRUE(outcome->has_error());
        EXPECT_EQ(outcome->error().code, error_code::store_unavailable);
        EXPECT_EQ(fake.find(rowA), (stored_row { rowA, 2, valueOf("setup") }));
    }

    // Guards against a fence whose own answer is lost: it must be recognised by the value it left.
    TEST_F(resolving_store_test, FenceWithALostAnswerIsRecognised)
    {
        for (const auto fault : { commit_fault::lose_after, commit_fault::lose_and_delay }) {
            fake.chooseFault = [&](const store_transaction& transaction) {
                return transaction.operationId == "x" ? commit_fault::lose_before : fault;
            };
            commit({ "x", {}, { writeOf(rowA, fake.find(rowA)->version, "x") } }, {});
            EXPECT_STREQ(outcomeName(), "not applied");
        }
        EXPECT_EQ(fake.effects.count("x"), 0u);
    }

    // Guards against an outcome guessed while the store is down, and against load on a store that does not answer.
    TEST_F(resolving_store_test, WaitsQuietlyWhileTheStoreIsDown)
    {
        constexpr int writes = 30;
        fake.chooseLatency = [] { return std::chrono::milliseconds(5); };
        for (int i = 0; i < writes; ++i)
            (void)fake.apply({ "create", {}, { writeOf({ "members", std::to_string(i) }, 0, "create") } });
        fake.chooseFault = [](const store_transaction&) { return commit_fault::lose_after; };
        int resolved = 0;
        for (int i = 0; i < writes; ++i) {
            const auto id = "x" + std::to_string(i);
            store.commit({ id, {}, { writeOf({ "members", std::to_string(i) }, 1, id) } },
                time.now() + std::chrono::minutes(1),
                [&](const result<commit_receipt>& value) { resolved += value.has_value() ? 1 : 0; });
        }
        time.runFor(std::chrono::milliseconds(20));
        fake.chooseFault = nullptr;
        fake.isDown = true;
        fake.mostCallsInProgress = 0;
        time.runFor(std::chrono::minutes(1));
        EXPECT_FALSE(store.health().isAvailable());
        EXPECT_EQ(store.unresolvedCount(), static_cast<std::size_t>(writes));
        EXPECT_LE(fake.mostCallsInProgress, 5); // roundsAtOnce and the probe.
        fake.mostCallsInProgress = 0;
        const int readsBefore = fake.readCount;
        time.runFor(std::chrono::minutes(10));
        EXPECT_LE(fake.mostCallsInProgress, 2); // One round and the probe.
        // Each write and the probe ask at most once per half of the longest delay.
        EXPECT_LE(fake.readCount - readsBefore, (writes + 1) * 120);
        EXPECT_EQ(resolved, 0);
        fake.isDown = false;
        time.runFor(std::chrono::minutes(1));
        EXPECT_EQ(resolved, writes);
        EXPECT_TRUE(store.health().isAvailable());
    }

    // Guards against a store that is back and never noticed because nothing else is sent to it.
    TEST_F(resolving_store_test, ProbesUntilTheStoreAnswers)
    {
        fake.isDown = true;
        for (int i = 0; i < 3; ++i) {
            store.read(rowA, time.now(), [](const auto&) {});
            time.runFor(std::chrono::seconds(2));
        }
        EXPECT_FALSE(store.health().isAvailable());
        fake.isDown = false;
        time.runFor(std::chrono::minutes(1));
        EXPECT_TRUE(store.health().isAvailable());
        const int reads = fake.readCount;
        time.runFor(std::chrono::minutes(10));
        EXPECT_EQ(fake.readCount, reads);
    }

    // Guards against a call into a store that is gone.
    TEST_F(resolving_store_test, DestroyedStoreCallsNothing)
    {
        auto own = std::make_unique<resolving_store>(fake, options(time));
        fake.chooseFault = [](const store_transaction&) { return commit_fault::lose_before; };
        bool isCalled = false;
        own->commit({ "x", {}, { writeOf(rowA, 1, "x") } }, time.now() + std::chrono::hours(1),
            [&](const auto&) { isCalled = true; });
        time.runFor(std::chrono::milliseconds(150));
        own.reset();
        time.runFor(std::chrono::hours(1));
        EXPECT_FALSE(isCalled);
    }

    // Guards against a hook's "not applied" taken as final while the transaction can still take effect.
    TEST_F(resolving_store_test, HookDecidesOnlyOnceTheTransactionIsClosed)
    {
        failOnce(commit_fault::lose_and_delay);
        fake.lateEffect = std::chrono::milliseconds(200);
        const auto test = [](const std::vector<stored_row>& rows) {
            return rows[0].value == valueOf("x") ? applied_state::applied : applied_state::not_applied;
        };
        commit({ "x", {}, { writeOf(rowA, 1, "x") } }, {}, test);
        EXPECT_EQ(outcome->has_value(), fake.effects.contains("x"));
        failOnce(commit_fault::lose_before, [this] { overwrite(rowA, "y"); });
        commit({ "w", {}, { writeOf(rowA, fake.find(rowA)->version, "w") } }, {}, test);
        EXPECT_STREQ(outcomeName(), "not applied");
    }

    struct health_case {
        const char* name;
        std::function<bool(int)> isAnswered; ///< By the number of the call; one call per second.
        int changes;
        bool isAvailable;
    };

    // Guards against a series of alerts while the store answers only some calls.
    TEST(StoreHealth, ChangesOnlyOnClearEvidence)
    {
        const health_case cases[] = {
            { "always answers", [](int) { return true; }, 0, true },
            { "never answers", [](int) { return false; }, 1, false },
            { "every other call", [](int i) { return i % 2 == 0; }, 0, true },
            { "a short gap", [](int i) { return i < 10 || i > 12; }, 0, true },
            { "an outage", [](int i) { return i < 10 || i > 100; }, 2, true },
            { "an outage, then every other call", [](int i) { return i < 10 || (i > 100 && i % 2 == 0); }, 1, false },
        };
        for (const auto& entry : cases) {
            store_health health;
            int changes = 0;
            for (int i = 0; i < 1000; ++i) {
                const time_point now { std::chrono::seconds(i) };
                changes += entry.isAnswered(i) ? health.recordAnswer(now) : health.recordFailure(now);
            }
            EXPECT_EQ(changes, entry.changes) << entry.name;
            EXPECT_EQ(health.isAvailable(), entry.isAvailable) << entry.name;
        }
    }

} // namespace
} // namespace heatherdrift
