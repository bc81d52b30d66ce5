#include "ctl/tests/ctl_fixture.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    // Guards against fields that disappear from tables or answers that cannot be read by programs.
    TEST(CtlCommands, PrintsWhatNodesSay)
    {
        fake_member member("a-1", 7);
        const json documents {
            { "/v1/members",
                { { "members",
                    json::array(
                        { memberDocument("a-1", member.address(), 5), memberDocument("a-2", "127.0.0.1:1") }) } } },
            { "/v1/partitions?pool=a",
                { { "partitions",
                    json::array({ { { "partition", 3 }, { "epoch", 9 }, { "owner", "a-1" }, { "incarnation", 2 },
                        { "hot_key", "" } } }) } } },
            { "/v1/hot-keys",
                { { "hot_keys",
                    json::array({ { { "pool", "a" }, { "key", "k" }, { "partition", 16777216 }, { "epoch", 1 },
                        { "owner", "" }, { "incarnation", 0 } } }) } } },
            { "/v1/owner?pool=a&key=x%20%26y",
                { { "owner", "a-1" }, { "incarnation", 2 }, { "partition", 3 }, { "epoch", 9 } } },
            { "/v1/events?after=4",
                { { "events",
                      json::array(
                          { { { "sequence", 5 }, { "time_ms", 1000 }, { "number", 1202 }, { "name", "lease_lost" },
                              { "level", "warning" }, { "fields", { { "holder", "a-1#2" } } } } }) },
                    { "last", 5 } } },
        };
        fake_admin node([&](const http_request& request) -> std::optional<http_response> {
            if (documents.contains(request.target))
                return jsonResponse(documents[request.target]);
            return failureResponse(404, "not_run", "not_found", "no such resource");
        });
        struct print_case {
            std::vector<std::string> arguments;
            std::vector<std::string> lines;
        };
        const std::vector<print_case> table {
            { { "members" }, { "a-1       1            active  zone-1  region-1  5" } },
            { { "partitions", "a" }, { "3          9      a-1#2" } },
            { { "hot-keys" }, { "a     k    16777216   1      -" } },
            { { "owner", "a", "x &y" }, { "a-1#2 partition 3 epoch 9" } },
            { { "leases" }, { "true   900           7              0          w#1", "a-2       active  ?" } },
            { { "events", "--nofollow", "--after=4" },
                { "1970-01-01T00:00:01.000Z warning E1202 lease_lost holder=a-1#2" } },
        };
        for (auto entry : table) {
            const auto text = run(node, entry.arguments);
            EXPECT_EQ(text.code, exit_code::done) << text.err;
            for (const auto& line : entry.lines)
                EXPECT_NE(text.out.find(line), std::string::npos) << text.out;
            entry.arguments.push_back("--json");
            EXPECT_TRUE(json::accept(run(node, entry.arguments).out)) << entry.arguments[0];
        }
        EXPECT_EQ(run(node, { "partitions", "b" }).code, exit_code::failed);
    }

    /// A node whose drain label and partitions follow a script.
    struct drained_node {
        explicit drained_node(int conflictCount, int busyCount)
            : conflicts(conflictCount)
            , busyAnswers(busyCount)
            , member("a-1", 8)
            , node([this](const http_request& request) -> std::optional<http_response> {
                if (request.method == "GET" && request.target == "/v1/members")
                    return jsonResponse({ { "members",
                        json::array({ memberDocument("a-1", member.address(), busyAnswers-- > 0 ? 4 : 0) }) } });
                if (conflicts-- > 0)
                    return failureResponse(409, "not_run", "conflict", "look at version 8");
                return jsonResponse({ { "version", 8 }, { "is_changed", true } });
            })
        {
        }

        std::atomic<int> conflicts;
        std::atomic<int> busyAnswers;
        fake_member member;
        fake_admin node;
    };

    // Guards against a drain that ends before the instance owns nothing, and that gives up at the first conflict.
    TEST(CtlCommands, DrainRetriesConflictsAndWaits)
    {
        drained_node calm(2, 4);
        const auto result = run(calm.node, { "drain", "a-1", "--json" });
        EXPECT_EQ(result.code, exit_code::done) << result.err;
        EXPECT_EQ(json::parse(result.out)["partitions"], 0);
        ASSERT_EQ(calm.node.requests("POST").size(), 3u);
        EXPECT_EQ(calm.node.requests("POST")[0].target, "/v1/instances/a-1/drain");
        EXPECT_LT(calm.busyAnswers, 1);

        drained_node contested(1 << 30, 0);
        const auto refused = run(contested.node, { "undrain", "a-1" });
        EXPECT_EQ(refused.code, exit_code::failed);
        EXPECT_NE(refused.err.find("look at version 8"), std::string::npos);
        EXPECT_EQ(contested.node.requests("POST").size(), 5u);

        drained_node busy(0, 1 << 30);
        const auto late = run(busy.node, { "drain", "a-1", "--timeout=5s" });
        EXPECT_EQ(late.code, exit_code::not_in_force);
        EXPECT_NE(late.err.find("a-1 still owns 4 partitions"), std::string::npos) << late.err;
    }

    // Guards against a drain that reports an unknown number of partitions because its deadline cuts off the last
    // question, although a node has answered before.
    TEST(CtlCommands, DrainReportsTheLastAnswerIfItsDeadlineCutsOffAQuestion)
    {
        fake_member member("a-1", 8);
        std::atomic<int> answersLeft = 2; // To the wait for the configuration and to the first count of partitions.
        fake_admin node(
            [&](const http_request& request) -> std::optional<http_response> {
                if (request.method != "GET")
                    return jsonResponse({ { "version", 8 }, { "is_changed", true } });
                if (answersLeft-- <= 0)
                    return std::nullopt;
                return jsonResponse({ { "members", json::array({ memberDocument("a-1", member.address(), 4) }) } });
            },
            true);
        const auto late = run(node, { "drain", "a-1", "--timeout=5s", "--json" });
        EXPECT_EQ(late.code, exit_code::not_in_force);
        EXPECT_LT(answersLeft, 0) << "no question was cut off";
        EXPECT_NE(late.err.find("a-1 still owns 4 partitions"), std::string::npos) << late.err;
        EXPECT_EQ(json::parse(late.out)["partitions"], 4);
    }

    // Guards against the declaration of a process that answers, and of a mistyped instance.
    TEST(CtlCommands, DeclareLostNeedsASilentMember)
    {
        fake_member alive("a-1", 7);
        fake_admin node([&](const http_request& request) -> std::optional<http_response> {
            if (request.method == "POST")
                return jsonResponse(json::object());
            return jsonResponse({ { "members",
                json::array({ memberDocument("a-1", alive.address()), memberDocument("a-2", "127.0.0.1:1") }) } });
        });
        EXPECT_EQ(run(node, { "declare-lost", "a-1", "--yes" }).code, exit_code::failed);
        EXPECT_EQ(run(node, { "declare-lost", "a-9", "--yes" }).code, exit_code::failed);
        EXPECT_EQ(run(node, { "declare-lost", "a-2" }).code, exit_code::usage);
        EXPECT_TRUE(node.requests("POST").empty());
        EXPECT_EQ(run(node, { "declare-lost", "a-2", "--yes" }).code, exit_code::done);
        EXPECT_EQ(node.requests("POST").at(0).target, "/v1/instances/a-2/declare-lost");
    }

    http_response callerResponse(
        int status, const std::string& verdict, const std::string& error = "", const std::string& token = "")
    {
        http_response response { { status, { { "heatherdrift-verdict", verdict } } }, "body\n" };
        if (!error.empty())
            response.head.headers.add("heatherdrift-error", error);
        if (!token.empty())
            response.head.headers.add("heatherdrift-token", token);
        return response;
    }

    // Guards against exit codes that hide whether a request may have run.
    TEST(CtlCommands, RequestReportsTheVerdict)
    {
        const std::vector<std::tuple<std::optional<http_response>, exit_code>> table {
            { callerResponse(200, "ran"), exit_code::done },
            { callerResponse(500, "ran"), exit_code::failed },
            { callerResponse(503, "not_run", "overloaded"), exit_code::failed },
            { callerResponse(502, "may_have_run", "connection_lost"), exit_code::unknown },
            { callerResponse(200, "unheard_of"), exit_code::unknown },
            { http_response { { 200, {} }, "" }, exit_code::unknown },
            { std::nullopt, exit_code::unknown },
        };
        for (const auto& [answer, code] : table) {
            fake_admin entry([answer = answer](const http_request&) { return answer; });
            const auto result = run({ "request", "/x", "--entry=127.0.0.1:1," + entry.address() });
            EXPECT_EQ(result.code, code) << result.err;
            EXPECT_EQ(entry.requests().size(), 1u) << "sent again";
        }
    }

    // Guards against a once call that goes out without the token that its owner issued, or more than twice.
    TEST(CtlCommands, OnceRequestUsesTheIssuedToken)
    {
        fake_admin entry([](const http_request& request) -> std::optional<http_response> {
            if (!request.headers.find("heatherdrift-token"))
                return callerResponse(409, "not_run", "token_required", "t1");
            return callerResponse(200, "ran");
        });
        fake_admin node([&](const http_request& request) -> std::optional<http_response> {
            if (request.target == "/v1/status")
                return jsonResponse({ { "instance", "a-2" } });
            return jsonResponse({ { "members",
                json::array({ memberDocument("a-1", "127.0.0.1:1"), memberDocument("a-2", entry.address()) }) } });
        });
        const std::vector<std::string> arguments { "request", "POST", "/book", "--key=k", "--labels=kind=booking",
            "--customer=c", "--body=x", "--timeout=20s" };
        EXPECT_EQ(run(node, arguments).code, exit_code::failed);
        EXPECT_EQ(entry.requests().size(), 1u);
        auto once = arguments;
        once.push_back("--once");
        const auto result = run(node, once);
        EXPECT_EQ(result.code, exit_code::done) << result.err;
        EXPECT_EQ(result.out, "body\n");
        ASSERT_EQ(entry.requests().size(), 3u);
        const auto sent = entry.requests().back();
        EXPECT_EQ(sent.method, "POST");
        EXPECT_EQ(sent.body, "x");
        EXPECT_EQ(sent.headers.find("heatherdrift-token"), "t1");
        EXPECT_EQ(sent.headers.find("heatherdrift-key"), "k");
        EXPECT_EQ(sent.headers.find("heatherdrift-labels"), "kind=booking");
        EXPECT_TRUE(sent.headers.find("heatherdrift-timeout-ms"));
    }

} // namespace
} // namespace heatherdrift
