#include "http/tests/test_loop.h"
#include "store/http_table_store.h"
#include "store/table_protocol.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    const row_key rowA { "t", "a" };
    const store_transaction sampleTransaction { "op1", {}, { { rowA, 4, "value" } } };

    /// Table service that gives one fixed answer.
    class http_table_store_test : public testing::Test {
    protected:
        struct fixed_answer {
            int status;
            std::string body;
            bool isRefusal = false; ///< Has the header "heatherdrift-verdict: not_run".
            bool isTruncated = false; ///< The connection is closed within the body.
        };

        std::unique_ptr<http_server> serve(const fixed_answer& answer)
        {
            return loop.listen([this, answer](const http_exchange_ptr& exchange) {
                ++requestCount;
                http_response_head head { answer.status, {} };
                if (answer.isRefusal)
                    head.headers.add("heatherdrift-verdict", "not_run");
                if (!answer.isTruncated)
                    return exchange->respond({ head, answer.body });
                head.headers.add("Content-Length", std::to_string(answer.body.size() + 1));
                exchange->start(head);
                exchange->sendData(answer.body);
                held = exchange;
                exchange->onDrained([this] { held->abort(); });
            });
        }

        std::unique_ptr<table_store> connect(std::vector<endpoint> servers)
        {
            http_table_store_settings settings;
            settings.servers = std::move(servers);
            settings.answerBytes = 4096;
            settings.transactionBytes = 1024;
            return makeHttpTableStore(loop.base(), settings);
        }

        result<commit_receipt> commit(
            table_store& store, const store_transaction& transaction, time_point deadline = test_loop::farDeadline())
        {
            std::optional<result<commit_receipt>> outcome;
            store.commit(transaction, deadline, [&](result<commit_receipt> value) { outcome = std::move(value); });
            loop.runUntil([&] { return outcome.has_value(); });
            return *outcome;
        }

        result<std::optional<stored_row>> read(table_store& store)
        {
            std::optional<result<std::optional<stored_row>>> outcome;
            store.read(rowA, test_loop::farDeadline(), [&](auto value) { outcome = std::move(value); });
            loop.runUntil([&] { return outcome.has_value(); });
            return *outcome;
        }

        result<std::vector<stored_row>> scan(table_store& store)
        {
            std::optional<result<std::vector<stored_row>>> outcome;
            store.scan("t", test_loop::farDeadline(), [&](auto value) { outcome = std::move(value); });
            loop.runUntil([&] { return outcome.has_value(); });
            return *outcome;
        }

        /// An address that refuses connections.
        endpoint closedAddress()
        {
            return loop.listen([](const auto&) {})->address();
        }

        test_loop loop;
        int requestCount = 0;
        http_exchange_ptr held;
    };

    struct commit_case {
        const char* name;
        int status;
        std::string body;
        bool isRefusal;
        bool isTruncated;
        verdict expected; ///< ran: success.
        error_code code;
    };

    // Guards against each answer that could be taken for proof of an outcome, and against a transaction sent twice.
    TEST_F(http_table_store_test, CommitTrustsOnlyAnswersThatProveTheirOutcome)
    {
        using enum error_code;
        const auto conflictOf = [](const char* table, int version) {
            return R"({"error":"conflict","table":")" + std::string(table) + R"(","key":"a","version":)"
                + std::to_string(version) + "}";
        };
        const auto receiptOf = [](const char* operation, const char* versions) {
            return R"({"operation":")" + std::string(operation) + R"(","versions":)" + versions + "}";
        };
        const commit_case cases[] = {
            { "receipt", 200, receiptOf("op1", "[5]"), false, false, verdict::ran, internal },
            { "receipt of another", 200, receiptOf("op2", "[5]"), false, false, verdict::may_have_run,
                store_unavailable },
            { "too few versions", 200, receiptOf("op1", "[]"), false, false, verdict::may_have_run, store_unavailable },
            { "too many versions", 200, receiptOf("op1", "[5,6]"), false, false, verdict::may_have_run,
                store_unavailable },
            { "a version that did not grow", 200, receiptOf("op1", "[4]"), false, false, verdict::may_have_run,
                store_unavailable },
            { "version is no integer", 200, receiptOf("op1", "[5.5]"), false, false, verdict::may_have_run,
                store_unavailable },
            { "not JSON", 200, "<html>", false, false, verdict::may_have_run, store_unavailable },
            { "empty", 200, "", false, false, verdict::may_have_run, store_unavailable },
            { "truncated", 200, receiptOf("op1", "[5]"), false, true, verdict::may_have_run, store_unavailable },
            { "oversized", 200, std::string(5000, ' ') + receiptOf("op1", "[5]"), false, false, verdict::may_have_run,
                store_unavailable },
            { "conflict", 409, conflictOf("t", 9), true, false, verdict::not_run, conflict },
            { "conflict without header", 409, conflictOf("t", 9), false, false, verdict::not_run, conflict },
            { "conflict of another row", 409, conflictOf("u", 9), true, false, verdict::may_have_run,
                store_unavailable },
            { "conflict with the expected version", 409, conflictOf("t", 4), true, false, verdict::may_have_run,
                store_unavailable },
            { "conflict without a row", 409, "", true, false, verdict::may_have_run, store_unavailable },
            { "refused", 503, "", true, false, verdict::not_run, store_unavailable },
            { "unavailable", 503, "", false, false, verdict::may_have_run, store_unavailable },
            { "failed", 500, "", false, false, verdict::may_have_run, store_unavailable },
            { "malformed", 400, "", true, false, verdict::not_run, store_unavailable },
            { "no such resource", 404, "", false, false, verdict::may_have_run, store_unavailable },
        };
        for (const auto& entry : cases) {
            SCOPED_TRACE(entry.name);
            requestCount = 0;
            const auto server = serve({ entry.status, entry.body, entry.isRefusal, entry.isTruncated });
            const auto second = serve({ 200, receiptOf("op1", "[5]") });
            const auto store = connect({ server->address(), second->address() });
            const auto outcome = commit(*store, sampleTransaction);
            EXPECT_EQ(requestCount, 1);
            if (entry.expected == verdict::ran) {
                ASSERT_TRUE(outcome.has_value());
                EXPECT_EQ(outcome.value().rows, (std::vector<stored_row> { { rowA, 5, "value" } }));
                continue;
            }
            ASSERT_TRUE(outcome.has_error());
            EXPECT_EQ(outcome.error().outcome, entry.expected);
            EXPECT_EQ(outcome.error().code, entry.code);
        }
    }

    struct read_case {
        const char* name;
        int status;
        std::string body;
        bool isTruncated = false;
    };

    // Guards against a damaged or foreign answer taken for a row, or for the proof that there is none.
    TEST_F(http_table_store_test, ReadRejectsEachBadAnswer)
    {
        const read_case cases[] = {
            { "not JSON", 200, "value" },
            { "an array", 200, "[]" },
            { "row of another key", 200, R"({"key":"b","version":1,"value":"x"})" },
            { "no value", 200, R"({"key":"a","version":1})" },
            { "negative version", 200, R"({"key":"a","version":-1,"value":"x"})" },
            { "version too large", 200, R"({"key":"a","version":9223372036854775808,"value":"x"})" },
            { "value is no string", 200, R"({"key":"a","version":1,"value":{}})" },
            { "unknown field", 200, R"({"key":"a","version":1,"value":"x","more":1})" },
            { "absent with status 200", 200, R"({"key":"a","version":0})" },
            { "present with status 404", 404, R"({"key":"a","version":1,"value":"x"})" },
            { "404 of another service", 404, "" },
            { "truncated", 200, R"({"key":"a","version":1,"value":"x"})", true },
            { "oversized", 200, R"({"key":"a","version":1,"value":")" + std::string(5000, 'x') + "\"}" },
            { "failed", 500, "" },
        };
        for (const auto& entry : cases) {
            SCOPED_TRACE(entry.name);
            const auto server = serve({ entry.status, entry.body, false, entry.isTruncated });
            const auto store = connect({ server->address() });
            const auto outcome = read(*store);
            ASSERT_TRUE(outcome.has_error());
            EXPECT_EQ(outcome.error().code, error_code::store_unavailable);
        }
    }

    // Guards against a scan that never ends or repeats rows.
    TEST_F(http_table_store_test, ScanRejectsEachBadPart)
    {
        const char* bodies[] = {
            R"({"rows":[],"more":true})",
            R"({"rows":[{"key":"b","version":1,"value":""},{"key":"a","version":1,"value":""}],"more":false})",
            R"({"rows":[{"key":"a","version":1,"value":""}],"more":true})", // The same part again and again.
            R"({"rows":[{"key":"a","version":0}],"more":false})",
            R"({"rows":[7],"more":false})",
            R"({"rows":[]})",
        };
        for (const auto* body : bodies) {
            const auto server = serve({ 200, body });
            const auto store = connect({ server->address() });
            const auto outcome = scan(*store);
            ASSERT_TRUE(outcome.has_error()) << body;
            EXPECT_EQ(outcome.error().code, error_code::store_unavailable) << body;
        }
    }

    // Guards against an outage of one server that stops all requests, and against requests that keep going to it.
    TEST_F(http_table_store_test, GoesToTheNextServerIfOneCannotBeReached)
    {
        const auto server = serve({ 200, R"({"operation":"op1","versions":[5]})" });
        const auto store = connect({ closedAddress(), server->address() });
        EXPECT_TRUE(commit(*store, sampleTransaction).has_value());
        EXPECT_TRUE(commit(*store, sampleTransaction).has_value());
        EXPECT_EQ(requestCount, 2);
        const auto none = connect({ closedAddress(), closedAddress() });
        const auto outcome = commit(*none, sampleTransaction);
        ASSERT_TRUE(outcome.has_error());
        EXPECT_EQ(outcome.error().outcome, verdict::not_run);
    }

    // Guards against reads that fail while one of two servers hangs, and writes that are repeated there.
    TEST_F(http_table_store_test, HangingServerLosesTheCommitButNotTheRead)
    {
        std::vector<http_exchange_ptr> heldRequests;
        const auto hanging
            = loop.listen([&](http_exchange_ptr exchange) { heldRequests.push_back(std::move(exchange)); });
        const auto server = serve({ 200, R"({"key":"a","version":1,"value":"x"})" });
        const auto store = connect({ hanging->address(), server->address() });
        std::optional<result<commit_receipt>> lost;
        store->commit(sampleTransaction, boot_clock::now() + std::chrono::milliseconds(100),
            [&](result<commit_receipt> value) { lost = std::move(value); });
        loop.runUntil([&] { return lost.has_value(); });
        ASSERT_TRUE(lost->has_error());
        EXPECT_EQ(lost->error().outcome, heldRequests.empty() ? verdict::not_run : verdict::may_have_run);
        EXPECT_EQ(requestCount, 0);
        EXPECT_TRUE(read(*store).has_value());
    }

    TEST_F(http_table_store_test, TransactionsThatCannotBeSentAreNotRun)
    {
        const auto server = serve({ 200, "" });
        const auto store = connect({ server->address() });
        const auto large = commit(*store, { "op", {}, { { rowA, 0, std::string(2000, 'x') } } });
        ASSERT_TRUE(large.has_error());
        EXPECT_EQ(large.error().code, error_code::too_large);
        EXPECT_EQ(large.error().outcome, verdict::not_run);
        const auto binary = commit(*store, { "op", {}, { { rowA, 0, "\xff" } } });
        ASSERT_TRUE(binary.has_error());
        EXPECT_EQ(binary.error().outcome, verdict::not_run);
        EXPECT_EQ(requestCount, 0);
    }

    // Guards against a callback into a caller that destroyed the store.
    TEST_F(http_table_store_test, StoreMayBeDestroyedByACallback)
    {
        const auto server = serve({ 200, std::string(100000, 'x') });
        auto store = connect({ server->address() });
        bool isDone = false;
        bool isCalledLater = false;
        store->read(rowA, test_loop::farDeadline(), [&](const auto&) {
            store.reset();
            isDone = true;
        });
        store->commit({ "op", {}, { { rowA, 0, std::string(2000, 'x') } } }, test_loop::farDeadline(),
            [&](const auto&) { isCalledLater = !store; });
        loop.runUntil([&] { return isDone; });
        loop.runReady();
        EXPECT_FALSE(isCalledLater);
    }

    // Guards against a request of the service's API that a server would misread.
    TEST(TableProtocol, RejectsEachBadRequest)
    {
        const char* targets[] = { "/v1/tables/t/rows?limit=0", "/v1/tables/t/rows?limit=501", "/v1/tables/t/rows?x=1",
            "/v1/tables/t/rows/", "/v1/tables//rows", "/v2/tables/t/rows", "/v1/tables/t/rows/a?after=b",
            "/v1/tables/t" };
        for (const auto* target : targets)
            EXPECT_TRUE(parseReadTarget(target).has_error()) << target;
        const table_read_target scanned { "t", std::nullopt, "a/b", 7 };
        EXPECT_EQ(parseReadTarget(toTarget(scanned)).value(), scanned);
        const store_transaction transaction { "op", { { rowA, 3 } }, { { { "u", "b" }, 0, "v" } } };
        const auto text = toJsonText(transaction).value();
        EXPECT_EQ(parseTransaction(text).value(), transaction);
        for (std::size_t size = 0; size < text.size(); ++size)
            EXPECT_TRUE(parseTransaction(text.substr(0, size)).has_error());
        EXPECT_TRUE(parseTransaction(
            R"({"operation":"o","checks":[],"writes":[{"table":"t","key":"","expected":0,"value":""}]})")
                        .has_error());
    }

} // namespace
} // namespace heatherdrift
