#include "ctl/tests/ctl_fixture.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    json pageWith(const json& rest)
    {
        json page { { "node", "n1" }, { "configuration_version", 7 },
            { "route",
                { { "name", "lookup" }, { "prefix", "/a/" }, { "priority", 1 }, { "objective_ms", 400.0 },
                    { "timeout_ms", nullptr } } },
            { "service", { { "name", "parcels" }, { "is_partitioned", rest.contains("range") } } } };
        page.update(rest);
        return page;
    }

    void expectLines(const ctl_run& result, const std::vector<std::string>& lines)
    {
        EXPECT_EQ(result.code, exit_code::done) << result.err;
        for (const auto& line : lines)
            EXPECT_NE(result.out.find(line), std::string::npos) << line << "\n" << result.out;
    }

    // Guards against a question that another request is asked for, and against a screen without what decided.
    TEST(CtlExplain, PrintsTheOwnersOfAKey)
    {
        fake_admin node([](const http_request&) -> std::optional<http_response> {
            return jsonResponse(pageWith({ { "range", { { "first", 0 }, { "last", 99 }, { "map_version", 12 } } },
                { "owners",
                    json::array({ { { "role", "previous" }, { "life", "a@1" }, { "node", nullptr },
                                      { "may_serve", false }, { "states", { "unknown" } } },
                        { { "role", "owner" }, { "life", "b@2" }, { "node", "n2" }, { "may_serve", true },
                            { "states", json::array() } } }) },
                { "decision", { { "outcome", "send" }, { "node", "n2" }, { "reason", "owner of the key" } } } }));
        });
        const auto result = run(node, { "explain", "--host=h.x", "--path=/a/b c", "--key=5", "--method=POST" });
        expectLines(result,
            { "node n1, configuration version 7\n",
                "route lookup, prefix /a/, priority 1, objective 400.0 ms, timeout - ms\n",
                "service parcels, with keys\n", "keys 0 to 99, version 12 of the range map\n",
                "previous  a@1   -     false      unknown\n", "owner     b@2   n2    true       -\n",
                "sent to n2: owner of the key\n" });
        ASSERT_EQ(node.requests().size(), 1u);
        EXPECT_EQ(node.requests()[0].method, "GET");
        EXPECT_EQ(node.requests()[0].target, "/explain?host=h.x&path=%2Fa%2Fb%20c&key=5&method=POST");
    }

    // Guards against a screen that leaves out a figure or the state of a candidate.
    TEST(CtlExplain, PrintsTheCandidates)
    {
        fake_admin node([](const http_request&) -> std::optional<http_response> {
            return jsonResponse(pageWith({ { "chooses_by", "expected_completion" },
                { "candidates",
                    json::array({ { { "node", "n2" }, { "zone", "z1" }, { "share", 0.75 }, { "expected_wait_ms", 1.5 },
                                      { "service_time_ms", 20.0 }, { "slowdown", 1.2 }, { "expected_answer_ms", 21.5 },
                                      { "status_age_ms", 90.0 }, { "cost_ms", 22.0 },
                                      { "states", { "cold", "unreachable" } },
                                      { "cold",
                                          { { "remaining_ms", 800.0 }, { "next_start_ms", 40.0 },
                                              { "requests_per_second", 6 } } } },
                        { { "node", "n3" }, { "zone", "z2" }, { "share", 0.0 }, { "states", { "evacuated" } } } }) },
                { "decision",
                    { { "outcome", "send" }, { "node", "n2" }, { "share", 0.75 }, { "reason", "most likely" } } } }));
        });
        expectLines(run(node, { "explain", "--host=h", "--path=/a/" }),
            { "service parcels, without keys\n", "chosen by expected_completion; times in ms\n",
                "n2    z1    0.75   1.5   20.0     1.2       21.5    90.0  22.0  cold,unreachable (warm in 800.0 ms, "
                "next "
                "start in 40.0 ms, 6/s)\n",
                "n3    z2    0.0    -     -        -         -       -     -     evacuated\n",
                "sent to n2 (0.75 of the picks): most likely\n" });
    }

    // Guards against a refusal without its reason, and a node that is down or too old that looks like an answer.
    TEST(CtlExplain, PrintsRefusalsAndFailures)
    {
        const std::vector<std::string> arguments { "explain", "--host=h", "--path=/a/" };
        json page { { "node", "n1" }, { "configuration_version", 0 },
            { "decision",
                { { "outcome", "refuse" }, { "status", 503 }, { "retry_after_ms", 300.0 },
                    { "reason", "no configuration" } } } };
        fake_admin refusing([&](const http_request&) -> std::optional<http_response> { return jsonResponse(page); });
        expectLines(run(refusing, arguments), { "refused with 503, Retry-After about 300.0 ms: no configuration\n" });
        auto asJson = arguments;
        asJson.push_back("--json");
        EXPECT_EQ(json::parse(run(refusing, asJson).out), page);

        fake_admin rejecting([](const http_request&) -> std::optional<http_response> {
            return failureResponse(400, "not_run", "bad_request", "query.key: must be at most 65535");
        });
        const auto rejected = run(rejecting, arguments);
        EXPECT_EQ(rejected.code, exit_code::failed);
        EXPECT_NE(rejected.err.find("query.key: must be at most 65535"), std::string::npos) << rejected.err;

        fake_admin older([](const http_request&) -> std::optional<http_response> {
            return http_response { { 404, {} }, "" };
        });
        const auto unknown = run(older, arguments);
        EXPECT_EQ(unknown.code, exit_code::failed);
        EXPECT_NE(unknown.err.find("status 404"), std::string::npos) << unknown.err;

        fake_admin other(
            [](const http_request&) -> std::optional<http_response> { return jsonResponse(json::array()); });
        EXPECT_EQ(run(other, arguments).code, exit_code::failed);

        auto silent = arguments;
        silent.push_back("--node=127.0.0.1:1");
        const auto down = run(silent);
        EXPECT_EQ(down.code, exit_code::failed);
        EXPECT_NE(down.err.find("no node answers"), std::string::npos) << down.err;
    }

} // namespace
} // namespace heatherdrift
