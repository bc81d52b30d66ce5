#include "http/tests/test_loop.h"
#include "standin/store_service.h"
#include "store/http_table_store.h"
#include "store/tests/fake_table_store.h"
#include "store/tests/virtual_time.h"

#include <gtest/gtest.h>

// The contract of the port table_store, for the fake and for the HTTP adapter with the stand-in of the table service.

namespace heatherdrift {
namespace {

    /// A store with faults that the contract names.
    class store_environment {
    public:
        virtual ~store_environment() = default;

        virtual table_store& store() = 0;
        virtual void runUntil(const std::function<bool()>&) = 0;
        virtual void takeDown() = 0;
        virtual void repair() = 0;
        /// The next commit takes effect and its answer is lost.
        virtual void loseNextAnswer() = 0;
        /// The answer of the next commit is lost before it takes effect.
        virtual void delayNextEffect() = 0;
    };

    class fake_environment : public store_environment {
    public:
        fake_environment()
        {
            m_fake.chooseLatency = [] { return std::chrono::milliseconds(10); };
        }

        table_store& store() override { return m_fake; }
        void runUntil(const std::function<bool()>& isDone) override
        {
            while (!isDone())
                ASSERT_TRUE(m_time.step()) << "nothing left to do";
        }
        void takeDown() override { m_fake.isDown = true; }
        void repair() override { m_fake.isDown = false; }
        void loseNextAnswer() override { setNextFault(commit_fault::lose_after); }
        void delayNextEffect() override { setNextFault(commit_fault::lose_and_delay); }

    private:
        void setNextFault(commit_fault fault)
        {
            m_fake.chooseFault = [this, fault](const store_transaction&) {
                m_fake.chooseFault = nullptr;
                return fault;
            };
        }

        virtual_time m_time;
        fake_table_store m_fake { m_time.delays() };
    };

    class http_environment : public store_environment {
    public:
        http_environment()
        {
            store_service_settings settings;
            settings.readsPerSecond = settings.writesPerSecond = 0;
            m_service = startTableService(m_loop.base(), settings).value();
            http_table_store_settings client;
            client.servers = { m_service->address() };
            client.scanPartRows = 3;
            m_store = makeHttpTableStore(m_loop.base(), client);
        }

        table_store& store() override { return *m_store; }
        void runUntil(const std::function<bool()>& isDone) override { m_loop.runUntil(isDone); }
        void takeDown() override
        {
            setFaults(R"({"outage":"refuse"})");
            m_loop.runReady(); // The client sees that its idle connection is closed.
        }
        void repair() override { setFaults("{}"); }
        void loseNextAnswer() override { setFaults(R"({"rules":[{"lose_answers":1}]})"); }
        void delayNextEffect() override { setFaults(R"({"rules":[{"lose_answers":1,"effect_delay_ms":1000}]})"); }

    private:
        void setFaults(const std::string& faults) { m_loop.putFaults(m_service->controlAddress(), faults); }

        test_loop m_loop;
        std::unique_ptr<store_service> m_service;
        std::unique_ptr<table_store> m_store;
    };

    struct environment_kind {
        const char* name;
        std::function<std::unique_ptr<store_environment>()> make;
    };

    const row_key rowA { "t", "a" };
    const row_key rowB { "t", "b" };

    class table_store_contract : public testing::TestWithParam<environment_kind> {
    protected:
        template <typename Value>
        result<Value> wait(const std::function<void(std::function<void(result<Value>)>)>& call)
        {
            std::optional<result<Value>> outcome;
            call([&](result<Value> value) {
                EXPECT_FALSE(outcome.has_value()) << "called back twice";
                outcome = std::move(value);
            });
            EXPECT_FALSE(outcome.has_value()) << "called back before the function returned";
            environment->runUntil([&] { return outcome.has_value(); });
            return *outcome;
        }

        result<std::optional<stored_row>> read(const row_key& key)
        {
            return wait<std::optional<stored_row>>(
                [&](auto done) { environment->store().read(key, test_loop::farDeadline(), done); });
        }

        result<std::vector<stored_row>> scan(const std::string& table)
        {
            return wait<std::vector<stored_row>>(
                [&](auto done) { environment->store().scan(table, test_loop::farDeadline(), done); });
        }

        result<commit_receipt> commit(std::vector<row_write> writes, std::vector<version_check> checks = {})
        {
            const store_transaction transaction { "op" + std::to_string(++m_lastOperation), std::move(checks),
                std::move(writes) };
            return wait<commit_receipt>(
                [&](auto done) { environment->store().commit(transaction, test_loop::farDeadline(), done); });
        }

        row_version put(const row_key& key, row_version expected, const std::string& value)
        {
            const auto receipt = commit({ { key, expected, value } });
            EXPECT_TRUE(receipt.has_value()) << receipt.error().message;
            return receipt.value().rows.at(0).version;
        }

        void expectConflict(const result<commit_receipt>& outcome, const std::string& message)
        {
            ASSERT_TRUE(outcome.has_error());
            EXPECT_EQ(outcome.error(), notRun(error_code::conflict, message));
        }

        std::unique_ptr<store_environment> environment = GetParam().make();

    private:
        int m_lastOperation = 0;
    };

    TEST_P(table_store_contract, ReadsWhatWasWritten)
    {
        EXPECT_EQ(read(rowA).value(), std::nullopt);
        const auto first = put(rowA, 0, "one");
        EXPECT_GT(first, 0);
        EXPECT_EQ(read(rowA).value(), (stored_row { rowA, first, "one" }));
        const auto second = put(rowA, first, "two");
        EXPECT_GT(second, first);
        EXPECT_EQ(read(rowA).value(), (stored_row { rowA, second, "two" }));
    }

    // Guards against keys or values that change on their way, such as the slash in a page's key.
    TEST_P(table_store_contract, KeysAndValuesAreAnyText)
    {
        const std::string texts[] = { "pool/3", "a b?c=d&e%2F", "\"quoted\\\"\n", "gr\u00fcn", "." };
        for (const auto& text : texts) {
            const row_key key { "odd " + text, text };
            const auto version = put(key, 0, text);
            EXPECT_EQ(read(key).value(), (stored_row { key, version, text }));
            EXPECT_EQ(scan(key.table).value(), (std::vector<stored_row> { { key, version, text } }));
        }
    }

    // Guards against a lost update: a writer with an old version must not win.
    TEST_P(table_store_contract, StaleWritesConflictAndNameTheVersion)
    {
        const auto first = put(rowA, 0, "one");
        expectConflict(commit({ { rowA, 0, "other" } }), "row t/a has version " + std::to_string(first));
        const auto second = put(rowA, first, "two");
        expectConflict(commit({ { rowA, first, "other" } }), "row t/a has version " + std::to_string(second));
        expectConflict(commit({ { rowB, 5, "other" } }), "row t/b has version 0");
        EXPECT_EQ(read(rowA).value()->value, "two");
    }

    // Guards against a transaction that takes effect in part.
    TEST_P(table_store_contract, TransactionsTakeEffectTogetherOrNotAtAll)
    {
        const auto version = put(rowA, 0, "one");
        expectConflict(
            commit({ { rowB, 0, "b" }, { rowA, 0, "x" } }), "row t/a has version " + std::to_string(version));
        expectConflict(
            commit({ { rowB, 0, "b" } }, { { rowA, version + 1 } }), "row t/a has version " + std::to_string(version));
        EXPECT_EQ(read(rowB).value(), std::nullopt);
        const auto receipt = commit({ { rowB, 0, "b" }, { rowA, version, "two" } }, { { { "t", "none" }, 0 } });
        ASSERT_TRUE(receipt.has_value());
        EXPECT_EQ(receipt.value().rows.at(0), read(rowB).value());
        EXPECT_EQ(receipt.value().rows.at(1), read(rowA).value());
    }

    // Guards against rows that are missing or repeated where two parts of a scan meet.
    TEST_P(table_store_contract, ScansOneTableInTheOrderOfKeys)
    {
        EXPECT_TRUE(scan("t").value().empty());
        for (const int count : { 3, 7 }) {
            const auto table = "t" + std::to_string(count);
            std::vector<stored_row> expected;
            for (int i = 0; i < count; ++i) {
                const row_key key { table, "key" + std::to_string(i) };
                expected.push_back({ key, put(key, 0, "v"), "v" });
            }
            put({ table + "x", "key" }, 0, "v");
            EXPECT_EQ(scan(table).value(), expected);
        }
    }

    // Guards against an outage that looks like a lost answer, which would start a read-back.
    TEST_P(table_store_contract, OutageIsNotRun)
    {
        put(rowA, 0, "one");
        environment->takeDown();
        const auto refused = commit({ { rowB, 0, "b" } });
        ASSERT_TRUE(refused.has_error());
        EXPECT_EQ(refused.error().code, error_code::store_unavailable);
        EXPECT_EQ(refused.error().outcome, verdict::not_run);
        EXPECT_EQ(read(rowA).error().code, error_code::store_unavailable);
        EXPECT_EQ(scan("t").error().code, error_code::store_unavailable);
        environment->repair();
        std::optional<stored_row> row;
        while (!row) {
            if (const auto outcome = read(rowA); outcome.has_value())
                row = outcome.value();
        }
        EXPECT_EQ(row->value, "one");
        EXPECT_EQ(read(rowB).value(), std::nullopt);
    }

    // Guards against a write that took effect and is reported as not_run.
    TEST_P(table_store_contract, LostAnswerMayHaveRun)
    {
        environment->loseNextAnswer();
        const auto outcome = commit({ { rowA, 0, "one" } });
        ASSERT_TRUE(outcome.has_error());
        EXPECT_EQ(outcome.error().code, error_code::store_unavailable);
        EXPECT_EQ(outcome.error().outcome, verdict::may_have_run);
        EXPECT_EQ(read(rowA).value()->value, "one");
        EXPECT_TRUE(commit({ { rowB, 0, "b" } }).has_value());
    }

    // Guards against a lost answer taken as proof that the write will not take effect.
    TEST_P(table_store_contract, LateEffectMayHaveRun)
    {
        environment->delayNextEffect();
        const auto outcome = commit({ { rowA, 0, "late" } });
        ASSERT_TRUE(outcome.has_error());
        EXPECT_EQ(outcome.error().outcome, verdict::may_have_run);
        std::optional<stored_row> row;
        while (!row)
            row = read(rowA).value();
        EXPECT_EQ(row->value, "late");
    }

    INSTANTIATE_TEST_SUITE_P(Stores, table_store_contract,
        testing::Values(environment_kind { "fake", [] { return std::make_unique<fake_environment>(); } },
            environment_kind { "http", [] { return std::make_unique<http_environment>(); } }),
        [](const auto& info) { return info.param.name; });

} // namespace
} // namespace heatherdrift
