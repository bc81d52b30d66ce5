#include "http/tests/test_loop.h"
#include "standin/store_service.h"
#include "store/table_protocol.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace heatherdrift {
namespace {

    using json = nlohmann::json;

    const row_key rowA { "t", "a" };

    class table_service_test : public testing::Test {
    protected:
        void start(double readsPerSecond = 0, double writesPerSecond = 0)
        {
            store_service_settings settings;
            settings.readsPerSecond = readsPerSecond;
            settings.writesPerSecond = writesPerSecond;
            service = startTableService(loop.base(), settings).value();
            client = http_client::create(loop.base(), service->address(), 16);
        }

        static http_request commitRequest(const row_key& key, row_version expected, const std::string& value)
        {
            return { "POST", transactionTarget, {}, toJsonText({ "op", {}, { { key, expected, value } } }).value() };
        }

        int statusOf(http_request request) { return loop.fetch(*client, std::move(request)).value().head.status; }
        int commitStatus(const row_key& key) { return statusOf(commitRequest(key, 0, "v")); }
        int readStatus(const row_key& key)
        {
            return statusOf({ "GET", toTarget({ key.table, key.key, {}, 0 }), {}, {} });
        }

        void putFaults(const std::string& faults) { loop.putFaults(service->controlAddress(), faults); }

        json stats()
        {
            return json::parse(loop.fetch(service->controlAddress(), { "GET", "/stats", {}, {} }).value().body);
        }

        test_loop loop;
        std::unique_ptr<store_service> service;
        std::unique_ptr<http_client> client;
    };

    TEST_F(table_service_test, CountsWhatItDid)
    {
        start();
        EXPECT_EQ(commitStatus(rowA), 200);
        EXPECT_EQ(commitStatus(rowA), 409);
        EXPECT_EQ(readStatus(rowA), 200);
        EXPECT_EQ(readStatus({ "t", "none" }), 404);
        EXPECT_EQ(stats(), json::parse(R"({"reads":2,"writes":1,"conflicts":1,"rejected":0,"lost_answers":0})"));
    }

    // Guards against a request that is run although it is refused.
    TEST_F(table_service_test, RefusesMalformedRequests)
    {
        start();
        const auto twice = toJsonText({ "op", {}, { { rowA, 0, "v" }, { rowA, 0, "w" } } }).value();
        const http_request requests[] = {
            { "POST", transactionTarget, {}, "{}" },
            { "POST", transactionTarget, {}, twice },
            { "GET", "/v1/tables/t/rows?limit=x", {}, {} },
            { "DELETE", "/v1/tables/t/rows/a", {}, {} },
        };
        for (const auto& request : requests) {
            const auto answer = loop.fetch(*client, request).value();
            EXPECT_GE(answer.head.status, 400) << request.target;
            EXPECT_EQ(answer.head.headers.find("heatherdrift-verdict"), "not_run") << request.target;
        }
        EXPECT_EQ(stats()["writes"], 0);
    }

    // Guards against tests that believe a fault is set when it is not.
    TEST_F(table_service_test, RejectsUnknownFaults)
    {
        start();
        const char* faults[] = { "", "[]", R"({"outrage":"refuse"})", R"({"outage":"maybe"})", R"({"rules":[{"x":1}]})",
            R"({"rules":[{"lose_share":1.5}]})", R"({"rules":[{"delay_ms":-1}]})", R"({"rules":[{"tables":[1]}]})" };
        for (const auto* text : faults)
            EXPECT_EQ(loop.fetch(service->controlAddress(), { "PUT", "/faults", {}, text }).value().head.status, 400)
                << text;
    }

    TEST_F(table_service_test, RateLimitsRefuseWhatIsAbove)
    {
        start(0.001, 0.001);
        EXPECT_EQ(commitStatus(rowA), 200);
        EXPECT_EQ(commitStatus({ "t", "b" }), 503);
        EXPECT_EQ(readStatus(rowA), 200);
        EXPECT_EQ(readStatus(rowA), 503);
        EXPECT_EQ(stats()["rejected"], 2);
    }

    TEST_F(table_service_test, FaultsOfATableSpareTheOthers)
    {
        start();
        putFaults(R"({"rules":[{"tables":["t"],"reject_share":1},{"tables":["u"],"lose_answers":1}]})");
        EXPECT_EQ(commitStatus(rowA), 503);
        EXPECT_EQ(commitStatus({ "v", "a" }), 200);
        EXPECT_TRUE(loop.fetch(*client, commitRequest({ "u", "a" }, 0, "v")).has_error());
        EXPECT_EQ(commitStatus({ "u", "b" }), 200);
        EXPECT_EQ(readStatus({ "u", "a" }), 200);
        EXPECT_EQ(readStatus(rowA), 503);
    }

    // Guards against a late effect that ignores the versions of its time.
    TEST_F(table_service_test, LateEffectIsCheckedWhenItTakesPlace)
    {
        start();
        putFaults(R"({"rules":[{"lose_answers":1,"effect_delay_ms":200}]})");
        EXPECT_TRUE(loop.fetch(*client, commitRequest(rowA, 0, "late")).has_error());
        putFaults("{}");
        // On a slow machine the late write may come first; the other then conflicts.
        const bool isFirst = commitStatus(rowA) == 200;
        while (stats()["conflicts"] == 0)
            loop.runReady();
        const auto answer = loop.fetch(*client, { "GET", "/v1/tables/t/rows/a", {}, {} }).value();
        EXPECT_EQ(parseStoredRow(answer.body, "t").value().value, isFirst ? "v" : "late");
    }

    TEST_F(table_service_test, DelaysAnswersAndWrites)
    {
        start();
        putFaults(R"({"rules":[{"delay_ms":50,"write_delay_ms":50}]})");
        const auto begin = boot_clock::now();
        EXPECT_EQ(commitStatus(rowA), 200);
        const auto written = boot_clock::now();
        EXPECT_EQ(readStatus(rowA), 200);
        EXPECT_GE(written - begin, std::chrono::milliseconds(100) - test_loop::clockTick);
        EXPECT_GE(boot_clock::now() - written, std::chrono::milliseconds(50) - test_loop::clockTick);
    }

    // Guards against a hang that forgets requests: they take effect when it ends, also if their clients gave up.
    TEST_F(table_service_test, HangingServiceRunsItsRequestsLater)
    {
        start();
        putFaults(R"({"outage":"hang"})");
        bool isWaitingDone = false;
        fetch(*client, commitRequest(rowA, 0, "waited"), test_loop::farDeadline(), 4096,
            [&](const auto& answer) { isWaitingDone = answer.has_value(); });
        const auto left = client->start(commitRequest({ "t", "b" }, 0, "left"), test_loop::farDeadline(), {});
        loop.runUntil([&] { return left->hasWritten(); });
        loop.runReady();
        EXPECT_FALSE(isWaitingDone);
        left->cancel();
        loop.runReady();
        putFaults("{}");
        loop.runUntil([&] { return isWaitingDone; });
        EXPECT_EQ(readStatus({ "t", "b" }), 200);
    }

    TEST_F(table_service_test, RefusedConnectionsComeBackAtTheSameAddressWithTheRows)
    {
        start();
        EXPECT_EQ(commitStatus(rowA), 200);
        putFaults(R"({"outage":"refuse"})");
        loop.runReady();
        const auto refused = loop.fetch(service->address(), { "GET", "/v1/tables/t/rows/a", {}, {} });
        ASSERT_TRUE(refused.has_error());
        EXPECT_EQ(refused.error().code, error_code::connection_refused);
        putFaults("{}");
        while (loop.fetch(service->address(), { "GET", "/v1/tables/t/rows/a", {}, {} }).has_error())
            loop.runReady();
        EXPECT_EQ(readStatus(rowA), 200);
    }

    TEST(ObjectService, DeletesObjects)
    {
        test_loop loop;
        const auto service = startObjectService(loop.base(), {}).value();
        const auto statusOf = [&](const char* method) {
            return loop.fetch(service->address(), { method, "/v1/objects/a", {}, {} }).value().head.status;
        };
        EXPECT_EQ(statusOf("GET"), 404);
        EXPECT_EQ(statusOf("PUT"), 200);
        EXPECT_EQ(statusOf("GET"), 200);
        EXPECT_EQ(statusOf("DELETE"), 200);
        EXPECT_EQ(statusOf("GET"), 404);
    }

} // namespace
} // namespace heatherdrift
