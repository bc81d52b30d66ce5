#include "routing/call.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    configuration sampleConfiguration()
    {
        return parseConfiguration(json::parse(R"({
            "pools": [{ "name": "records", "members": { "pool": "records" }, "maximum_body_bytes": 1024 }],
            "selectors": [
                { "name": "lookup", "requests": { "kind": "lookup" }, "pool": "records",
                  "policy": { "timeout_ms": 2000 } },
                { "name": "any", "requests": { "kind": "any" }, "pool": "records",
                  "policy": { "ownership": "none" } }
            ],
            "instance_labels": {} })"))
            .value();
    }

    http_request lookup()
    {
        return { "GET", "/a?b", { { "heatherdrift-labels", "kind=lookup" }, { "heatherdrift-key", "k" } }, "" };
    }

    const time_point now { std::chrono::hours(1) };

    struct bad_call {
        const char* name;
        void (*change)(http_request&);
        error_code expected;
    };

    // Guards against invalid input that is run, or refused with another verdict than not_run.
    TEST(Call, BadInputIsNotRun)
    {
        const bad_call cases[] = {
            { "no labels", [](http_request& r) { r.headers.remove("heatherdrift-labels"); }, error_code::no_selector },
            { "unknown label", [](http_request& r) { r.headers.set("heatherdrift-labels", "kind=other"); },
                error_code::no_selector },
            { "malformed labels", [](http_request& r) { r.headers.set("heatherdrift-labels", "kind"); },
                error_code::bad_request },
            { "no key", [](http_request& r) { r.headers.remove("heatherdrift-key"); }, error_code::bad_request },
            { "long key", [](http_request& r) { r.headers.set("heatherdrift-key", std::string(2000, 'k')); },
                error_code::bad_request },
            { "timeout is no number", [](http_request& r) { r.headers.set("heatherdrift-timeout-ms", "1s"); },
                error_code::bad_request },
            { "negative timeout", [](http_request& r) { r.headers.set("heatherdrift-timeout-ms", "-1"); },
                error_code::bad_request },
            { "long token", [](http_request& r) { r.headers.set("heatherdrift-token", std::string(300, 't')); },
                error_code::bad_request },
            { "long customer", [](http_request& r) { r.headers.set("heatherdrift-customer", std::string(80, 'c')); },
                error_code::bad_request },
            { "large body", [](http_request& r) { r.body = std::string(2000, 'b'); }, error_code::too_large },
        };
        for (const auto& entry : cases) {
            auto request = lookup();
            entry.change(request);
            const auto parsed = parseCall(request, "r1", sampleConfiguration(), now);
            ASSERT_TRUE(parsed.has_error()) << entry.name;
            EXPECT_EQ(parsed.error().code, entry.expected) << entry.name;
            EXPECT_EQ(parsed.error().outcome, verdict::not_run) << entry.name;
        }
    }

    TEST(Call, DeadlineIsLimitedByTheSelectorsTimeout)
    {
        auto request = lookup();
        EXPECT_EQ(parseCall(request, "r", sampleConfiguration(), now).value().deadline, now + std::chrono::seconds(2));
        request.headers.set("heatherdrift-timeout-ms", "500");
        EXPECT_EQ(
            parseCall(request, "r", sampleConfiguration(), now).value().deadline, now + std::chrono::milliseconds(500));
        request.headers.set("heatherdrift-timeout-ms", "99999999");
        EXPECT_EQ(parseCall(request, "r", sampleConfiguration(), now).value().deadline, now + std::chrono::seconds(2));
    }

    // Guards against a caller that impersonates a node to the backend server, and against forwarded connection
    // headers.
    TEST(Call, CallersCannotSetTheSystemsHeaders)
    {
        auto request = lookup();
        request.headers.add("heatherdrift-grant", "forged");
        request.headers.add("Heatherdrift-Verdict", "ran");
        request.headers.add("Connection", "close");
        request.headers.add("x-own", "kept");
        const auto source = parseCall(request, "r", sampleConfiguration(), now).value();
        const auto sent = toBackendRequest(source, std::nullopt, now);
        EXPECT_FALSE(sent.headers.find("heatherdrift-grant"));
        EXPECT_FALSE(sent.headers.find("heatherdrift-verdict"));
        EXPECT_FALSE(sent.headers.find("connection"));
        EXPECT_EQ(sent.headers.find("x-own"), "kept");
    }

    TEST(Call, ForwardedCallKeepsEverything)
    {
        auto source = parseCall(lookup(), "r", sampleConfiguration(), now).value();
        source.token = "t";
        source.workspace = "c";
        const call_target target { { "owner", 7 } };
        const auto [parsed, parsedTarget]
            = parseForwardedCall(toForwardedRequest(source, target, now), sampleConfiguration(), now).value();
        EXPECT_EQ(parsed, source);
        EXPECT_EQ(parsedTarget, target);
    }

    TEST(Call, GrantNamesPartitionEpochAndLeaseEnd)
    {
        const auto source = parseCall(lookup(), "r", sampleConfiguration(), now).value();
        const auto sent = toBackendRequest(source, backend_grant { "records", 5, 9, time_point(duration(123)) }, now);
        EXPECT_EQ(sent.headers.find("heatherdrift-grant"), "records/5/9/123");
    }

    TEST(Call, FailureResponseParsesToTheSameFailure)
    {
        const auto reason = mayHaveRun(error_code::connection_lost, "lost");
        const auto parsed = parseFailure(toFailureResponse(reason, "r").head);
        ASSERT_TRUE(parsed);
        EXPECT_EQ(parsed->outcome, reason.outcome);
        EXPECT_EQ(parsed->code, reason.code);
        // Guards against an invalid verdict that is taken for proof that the call did not run.
        http_response_head unreadable { 503,
            { { "heatherdrift-error", "overloaded" }, { "heatherdrift-verdict", "?" } } };
        EXPECT_EQ(parseFailure(unreadable)->outcome, verdict::may_have_run);
    }

    struct retry_row {
        once_mode once;
        bool afterNotRun;
        bool afterMayHaveRun;
        bool afterRan;
    };

    // The table "Who may retry" of docs/requests.md. Guards against a once call that is sent again after it may have
    // run.
    TEST(Call, RetryTable)
    {
        const retry_row rows[] = {
            { once_mode::none, true, true, false },
            { once_mode::backend_server, true, true, false },
            { once_mode::token, true, false, false },
            { once_mode::intent_row, true, false, false },
        };
        for (const auto& row : rows) {
            call_policy policy;
            policy.once = row.once;
            EXPECT_EQ(mayRetry({ verdict::not_run, error_code::internal, "" }, policy), row.afterNotRun);
            EXPECT_EQ(mayRetry({ verdict::may_have_run, error_code::internal, "" }, policy), row.afterMayHaveRun);
            EXPECT_EQ(mayRetry({ verdict::ran, error_code::internal, "" }, policy), row.afterRan);
        }
    }

} // namespace
} // namespace heatherdrift
