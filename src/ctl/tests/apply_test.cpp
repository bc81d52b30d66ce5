#include "configuration/configuration.h"
#include "ctl/tests/ctl_fixture.h"

#include <fstream>
#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    json exampleDocument()
    {
        std::ifstream file(exampleFile());
        return toJson(parseConfiguration(json::parse(file)).value());
    }

    /// Node at version 7 that answers a change with the given response, or closes the connection.
    fake_admin::handler nodeThat(std::optional<http_response> onChange, json members, json present = json::object())
    {
        return [=](const http_request& request) -> std::optional<http_response> {
            if (request.method != "GET")
                return onChange;
            if (request.target == "/v1/members")
                return jsonResponse({ { "members", members } });
            return jsonResponse({ { "version", 7 }, { "configuration", present } });
        };
    }

    const http_response accepted = jsonResponse({ { "version", 8 }, { "is_changed", true } });

    // Guards against a report of success before the last member has the version.
    TEST(CtlApply, WaitsForAMemberThatLags)
    {
        fake_member quick("a-1", 8);
        fake_member slow("a-2", 8, 3);
        fake_admin node(nodeThat(accepted,
            json::array({ memberDocument("a-1", quick.address()), memberDocument("a-2", slow.address()),
                memberDocument("a-3", "127.0.0.1:1", 0, "fenced") })));
        const auto result = run(node, { "apply", exampleFile(), "--json", "--timeout=60s" });
        EXPECT_EQ(result.code, exit_code::done) << result.err;
        const json expected { { "version", 8 }, { "is_changed", true }, { "in_force", true },
            { "lagging", json::array() } };
        EXPECT_EQ(json::parse(result.out), expected);
        const auto sent = json::parse(node.requests("PUT").at(0).body.text());
        EXPECT_EQ(sent["base_version"], 7);
        EXPECT_EQ(sent["configuration"], exampleDocument());
    }

    // Guards against a wait without end, and against a report that does not name the instances.
    TEST(CtlApply, NamesMembersThatNeverGetThere)
    {
        fake_member quick("a-1", 8);
        fake_member stuck("a-2", 8, 1 << 30);
        fake_admin node(nodeThat(accepted,
            json::array({ memberDocument("a-1", quick.address()), memberDocument("a-2", stuck.address()),
                memberDocument("a-3", "127.0.0.1:1"), memberDocument("a-4", quick.address()) })));
        const auto result = run(node, { "apply", exampleFile(), "--json", "--timeout=5s" });
        EXPECT_EQ(result.code, exit_code::not_in_force);
        const auto document = json::parse(result.out);
        EXPECT_EQ(document["in_force"], false);
        ASSERT_EQ(document["lagging"].size(), 3u);
        EXPECT_EQ(document["lagging"][0]["instance"], "a-2");
        EXPECT_EQ(document["lagging"][0]["version"], 7);
        EXPECT_EQ(document["lagging"][1]["instance"], "a-3");
        EXPECT_EQ(document["lagging"][1]["version"], nullptr);
        EXPECT_EQ(document["lagging"][2]["instance"], "a-4");
        EXPECT_NE(result.err.find("a-2 (" + stuck.address() + "): at version 7"), std::string::npos);
    }

    // Guards against a second version of the same document.
    TEST(CtlApply, UnchangedDocumentIsNotApplied)
    {
        fake_member member("a-1", 7);
        fake_admin node(
            nodeThat(std::nullopt, json::array({ memberDocument("a-1", member.address()) }), exampleDocument()));
        const auto result = run(node, { "apply", exampleFile() });
        EXPECT_EQ(result.code, exit_code::done) << result.err;
        EXPECT_TRUE(node.requests("PUT").empty());
    }

    struct refusal_case {
        const char* name;
        std::optional<http_response> answer;
        exit_code code;
        const char* text;
    };

    // Guards against an unknown outcome that is reported as refused, and a conflict that does not say where to look.
    TEST(CtlApply, ReportsHowAChangeFailed)
    {
        const std::vector<refusal_case> table {
            { "conflict", failureResponse(409, "not_run", "conflict", "look at version 8"), exit_code::failed,
                "look at version 8" },
            { "invalid", failureResponse(400, "not_run", "invalid_configuration", "pools[0].slots: x"),
                exit_code::failed, "pools[0].slots" },
            { "unknown", failureResponse(504, "may_have_run", "deadline_exceeded", "not known"), exit_code::unknown,
                "show configuration --version=8" },
            { "connection lost", std::nullopt, exit_code::unknown, "outcome is unknown" },
            { "unreadable", http_response { { 500, {} }, "oops" }, exit_code::unknown, "status 500" },
            { "unreadable success", http_response { { 200, {} }, "{}" }, exit_code::unknown, "no version" },
            { "too large", http_response { { 413, {} }, "" }, exit_code::failed, "size" },
        };
        for (const auto& entry : table) {
            fake_admin node(nodeThat(entry.answer, json::array()));
            fake_admin other(nodeThat(accepted, json::array()));
            const auto result = run({ "apply", exampleFile(), "--node=" + node.address() + "," + other.address() });
            EXPECT_EQ(result.code, entry.code) << entry.name << ": " << result.err;
            EXPECT_NE(result.err.find(entry.text), std::string::npos) << entry.name << ": " << result.err;
            EXPECT_TRUE(other.requests("PUT").empty()) << entry.name;
        }
    }

    // Guards against a change of version 7 that an operator made from version 6.
    TEST(CtlApply, BaseVersionIsThatOfTheOperator)
    {
        fake_admin node(nodeThat(
            failureResponse(409, "not_run", "conflict", "look at version 7"), json::array(), exampleDocument()));
        EXPECT_EQ(run(node, { "apply", exampleFile(), "--base_version=6" }).code, exit_code::failed);
        EXPECT_EQ(json::parse(node.requests("PUT").at(0).body.text())["base_version"], 6);
    }

    // Guards against a program that depends on one node.
    TEST(CtlApply, AsksTheNextNode)
    {
        fake_admin hung([](const http_request&) { return std::nullopt; }, true);
        fake_admin node(nodeThat(accepted, json::array()));
        const auto result
            = run({ "apply", exampleFile(), "--node=127.0.0.1:1," + hung.address() + "," + node.address() });
        EXPECT_EQ(result.code, exit_code::done) << result.err;
        EXPECT_TRUE(hung.requests("PUT").empty());
        const auto none = run({ "members", "--node=127.0.0.1:1,127.0.0.1:2" });
        EXPECT_EQ(none.code, exit_code::failed);
        EXPECT_NE(none.err.find("127.0.0.1:2"), std::string::npos);
    }

    // Guards against a diff that an operator cannot read or that names the wrong side.
    TEST(CtlApply, DiffShowsWhatWouldChange)
    {
        auto present = exampleDocument();
        present["pools"][0]["slots"] = 11;
        fake_admin node(nodeThat(std::nullopt, json::array(), present));
        const auto text = run(node, { "diff", exampleFile() });
        EXPECT_EQ(text.out, "replace /pools/0/slots 11 -> 12\n");
        const auto patch = json::parse(run(node, { "diff", exampleFile(), "--json" }).out)["patch"];
        EXPECT_EQ(present.patch(patch), exampleDocument());
        const auto shown = run(node, { "show", "configuration", "--version=7" });
        EXPECT_EQ(json::parse(shown.out), present);
        EXPECT_EQ(node.requests().back().target, "/v1/configuration?version=7");
    }

} // namespace
} // namespace heatherdrift
