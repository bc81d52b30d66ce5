#include "mesh/internal/choice_explanation.h"
#include "mesh/tests/test_port.h"

#include "base/event_handle.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const time_point start { std::chrono::hours(1) };

    /// What a node knows; two of them with the same content make the same choices.
    struct known_state {
        known_state()
        {
            settings.node = "n1";
            settings.zone = "z1";
            for (const auto* node : { "n2", "n3" })
                add(node);
            configure({ { "s", 1 } });
        }

        void add(const instance_id& node, const std::string& zone = "z1", const std::string& service = "s")
        {
            mesh_member member;
            member.node = node;
            member.zone = zone;
            member.address = { "127.0.0.1", 1 };
            member.service = service;
            member.life = node + "@1";
            directory.update(member, start);
        }

        void configure(const std::vector<service_share>& services, bool isPartitioned = false)
        {
            route_configuration configuration;
            configuration.version = routes.version() + 1;
            configuration.routes.push_back({ "r", "h", "/a/", true, services, 2, seconds(5), milliseconds(400), 1 });
            for (const auto& share : services)
                configuration.services.push_back({ share.service, 10, isPartitioned });
            routes.apply(configuration);
        }

        void reportStatus(const instance_id& node, duration wait, std::optional<cold_status> cold = std::nullopt)
        {
            gate_load load;
            load.status = server_status { { wait, wait, wait, wait }, milliseconds(20), 1.5, cold };
            directory.recordAnswer(node, load, now);
        }

        void loseContact(const instance_id& node)
        {
            for (int count = 0; count < 2; ++count)
                directory.recordFailure(node, error_code::unreachable, now);
        }

        choice_context context() const
        {
            return { settings, port, routes, directory, [this](const std::string&) { return map; },
                [this] { return configurationWait; }, endsAt };
        }

        json explain(const choice_question& question = { "h", "/a/b" }) const
        {
            return explainChoice(context(), question, now).value();
        }

        json explainKey(key_number key) const { return explain({ "h", "/a/b", "GET", key }); }

        /// Answer to GET of a target.
        std::pair<int, json> ask(const std::string& target, const std::string& method = "GET") const
        {
            const auto answer = answerQuestion(context(), { method, target, {}, "" }, now);
            return { answer.head.status, json::parse(answer.body) };
        }

        time_point now = start + seconds(10);
        event_base_handle base { event_base_new() };
        mesh_settings settings;
        platform_port port = makeTestPort();
        route_table routes;
        mesh_directory directory { base.get(), settings };
        std::optional<versioned_ranges> map;
        std::optional<duration> configurationWait;
        time_point endsAt = time_point::max();
    };

    json candidateOf(const json& page, const instance_id& node)
    {
        for (const auto& one : page.at("candidates")) {
            if (one.at("node") == node)
                return one;
        }
        return {};
    }

    // Guards against an answer that leaves out what a pick among backend servers depends on.
    TEST(ChoiceExplanation, RequestWithoutAKeyListsTheCandidates)
    {
        known_state state;
        state.add("n4", "z2");
        state.add("n5");
        state.add("n6");
        state.add("t1", "z1", "t");
        state.reportStatus("n2", milliseconds(0));
        state.reportStatus("n3", seconds(3), cold_status { seconds(4), seconds(3), 6 });
        state.now += milliseconds(100);
        state.directory.setEvacuated({ { "z2", { start, start } } }, state.now);
        state.loseContact("n5");
        for (int count = 0; count < 5; ++count)
            state.directory.view("s").onCallFinished("n6", { call_observation::kind::failure, {} }, state.now);

        const auto page = state.explain();
        EXPECT_EQ(page["node"], "n1");
        EXPECT_EQ(page["configuration_version"], 1);
        EXPECT_EQ(page["route"],
            json({ { "name", "r" }, { "host", "h" }, { "prefix", "/a/" }, { "priority", 1 }, { "objective_ms", 400.0 },
                { "timeout_ms", 5000.0 }, { "is_idempotent", true }, { "max_attempts", 2 } }));
        EXPECT_EQ(page["service"]["name"], "s");
        EXPECT_EQ(page["service"]["is_partitioned"], false);
        EXPECT_EQ(page["chooses_by"], "expected_completion");
        ASSERT_EQ(page["candidates"].size(), 5u);
        const auto fast = candidateOf(page, "n2");
        EXPECT_EQ(fast["states"], json::array());
        EXPECT_EQ(fast["status_age_ms"], 100.0);
        EXPECT_EQ(fast["slowdown"], 1.5);
        EXPECT_GT(fast["service_time_ms"], 20.0);
        EXPECT_LT(fast["service_time_ms"], 30.0) << "slowdowns lose their weight with their age";
        EXPECT_GT(fast["share"], 0.5);
        const auto cold = candidateOf(page, "n3");
        EXPECT_EQ(cold["states"], json::array({ "cold" }));
        EXPECT_EQ(cold["cold"],
            json({ { "remaining_ms", 3900.0 }, { "next_start_ms", 2900.0 }, { "requests_per_second", 6.0 } }));
        EXPECT_EQ(cold["expected_wait_ms"], 2900.0);
        EXPECT_LT(cold["share"], 0.1);
        EXPECT_EQ(candidateOf(page, "n4")["states"], json::array({ "evacuated" }));
        EXPECT_EQ(candidateOf(page, "n4")["share"], 0.0);
        EXPECT_EQ(candidateOf(page, "n5")["states"], json::array({ "unreachable" }));
        EXPECT_EQ(candidateOf(page, "n6")["states"], json::array({ "ejected" }));
        EXPECT_EQ(candidateOf(page, "n6")["share"], 0.0);
        EXPECT_EQ(page["decision"]["outcome"], "send");
        EXPECT_EQ(page["decision"]["node"], "n2");
        EXPECT_EQ(page["decision"]["share"], fast["share"]);
    }

    // Guards against an owner that the entry node would not choose.
    TEST(ChoiceExplanation, RequestWithAKeyNamesTheOwners)
    {
        known_state state;
        state.configure({ { "s", 1 } }, true);
        const auto initial = range_map().assign({ 0, lastKey }, "n2@1", 1);
        const auto moving = initial.assign({ 0, 99 }, "n3@1", 2);
        state.map = versioned_ranges { 12, moving };

        auto page = state.explainKey(99);
        EXPECT_EQ(page["range"], json({ { "first", 0 }, { "last", 99 }, { "map_version", 12 } }));
        ASSERT_EQ(page["owners"].size(), 2u);
        EXPECT_EQ(page["owners"][0]["role"], "previous");
        EXPECT_EQ(page["owners"][0]["node"], "n2");
        EXPECT_EQ(page["owners"][0]["may_serve"], true);
        EXPECT_EQ(page["owners"][1]["role"], "owner");
        EXPECT_EQ(page["owners"][1]["life"], "n3@1");
        EXPECT_EQ(page["decision"]["node"], "n2") << "it has not released the key";
        EXPECT_FALSE(page.contains("candidates"));

        state.loseContact("n2");
        page = state.explainKey(99);
        EXPECT_EQ(page["owners"][0]["may_serve"], false);
        EXPECT_EQ(page["owners"][0]["states"], json::array({ "unreachable" }));
        EXPECT_EQ(page["decision"]["node"], "n3");
        EXPECT_EQ(state.explainKey(100)["decision"]["outcome"], "refuse");
        EXPECT_EQ(state.explainKey(100)["decision"]["reason"], "the owner of the key does not respond");
        EXPECT_EQ(state.explainKey(100)["decision"]["retry_after_ms"], 300.0);

        state.directory.setEvacuated({ { "z1", { start, state.now } } }, state.now);
        state.add("n4", "z2");
        page = state.explainKey(99);
        EXPECT_EQ(page["owners"][1]["states"], json::array({ "evacuated" }));
        EXPECT_EQ(page["decision"]["outcome"], "refuse");
        EXPECT_NE(page["decision"]["reason"].get<std::string>().find("evacuated zone"), std::string::npos);

        state.map = versioned_ranges { 13, range_map().assign({ 0, 9 }, "gone@1", 1) };
        EXPECT_EQ(state.explainKey(5)["decision"]["reason"], "the owner of the key is not among the known nodes");
        EXPECT_EQ(state.explainKey(5)["owners"][0]["states"], json::array({ "unknown" }));
        EXPECT_EQ(state.explainKey(10)["decision"]["reason"], "the key has no owner");
        state.map.reset();
        EXPECT_EQ(state.explainKey(5)["range"], nullptr);
        EXPECT_EQ(state.explainKey(5)["decision"]["status"], 503);
    }

    // Guards against a key that counts although the service has no keys, and against one that is required.
    TEST(ChoiceExplanation, OnlyServicesWithKeysUseTheKey)
    {
        known_state state;
        EXPECT_TRUE(state.explainKey(5).contains("candidates"));
        state.configure({ { "s", 1 } }, true);
        EXPECT_TRUE(state.explain().contains("candidates"));
    }

    // Guards against an answer as if the request were sent when the entry node refuses it before any pick.
    TEST(ChoiceExplanation, RefusalsStateTheirReason)
    {
        known_state state;
        const auto expectRefusal = [&](int status, const std::optional<double>& retryAfter, const char* reason) {
            const auto decision = state.explain()["decision"];
            EXPECT_EQ(decision["outcome"], "refuse");
            EXPECT_EQ(decision["status"], status);
            EXPECT_EQ(decision.value("retry_after_ms", json()), retryAfter ? json(*retryAfter) : json());
            EXPECT_NE(decision["reason"].get<std::string>().find(reason), std::string::npos) << decision;
        };
        state.endsAt = state.now + seconds(1);
        expectRefusal(503, 100, "stopping");
        state.endsAt = time_point::max();
        state.directory.setEvacuated({ { "z1", { start, start } } }, state.now);
        expectRefusal(503, 2500, "evacuated zones");
        state.directory.setEvacuated({}, state.now);
        EXPECT_EQ(state.explain()["decision"]["outcome"], "send");
        state.configure({ { "nobody", 1 } });
        expectRefusal(503, 300, "no backend server of the service is known");
        state.routes.apply({ state.routes.version() + 1, {}, {}, {} });
        expectRefusal(404, std::nullopt, "no route");
        state.configurationWait = milliseconds(200);
        expectRefusal(503, 200, "a newer configuration");
        state.routes = route_table();
        expectRefusal(503, 300, "has not read a configuration");
    }

    // Guards against a question that draws a random number of the node, uses up a share of a split route, or adds a
    // view: the next request would go elsewhere.
    TEST(ChoiceExplanation, QuestionsChangeNothing)
    {
        known_state asked;
        known_state notAsked;
        std::vector<std::string> picks[2];
        for (auto* state : { &asked, &notAsked }) {
            state->add("n4");
            state->add("t1", "z1", "t");
            state->configure({ { "s", 3 }, { "t", 1 } });
            auto& out = picks[state == &notAsked];
            for (int count = 0; count < 60; ++count) {
                state->now += milliseconds(10);
                if (count == 30)
                    state->reportStatus("n2", milliseconds(5));
                if (state == &asked) {
                    const auto page = state->explain();
                    const auto& route = state->routes.configuration().routes.front();
                    EXPECT_EQ(page["service"]["name"], state->routes.nextService(route));
                    EXPECT_EQ(page, state->explain());
                }
                const auto service = state->routes.pickService(state->routes.configuration().routes.front());
                const auto node = state->directory.view(service).pick({}, state->now);
                ASSERT_TRUE(node);
                state->directory.view(service).onCallStarted(*node, state->now);
                out.push_back(service + " " + *node);
            }
        }
        EXPECT_EQ(picks[0], picks[1]);
        asked.configure({ { "unseen", 1 } });
        asked.explain();
        EXPECT_EQ(asked.directory.findView("unseen"), nullptr);
    }

    // Guards against wrong input that is explained as another request, without a reason, or that ends the process.
    TEST(ChoiceExplanation, WrongInputIsRejectedWithTheReason)
    {
        known_state state;
        const std::pair<const char*, const char*> cases[] = {
            { "/explain", "query.host: required" },
            { "/explain?host=h", "query.path: required" },
            { "/explain?host=h&path=a", "query.path: must start with '/'" },
            { "/explain?host=h&path=/a&key=65536", "query.key: must be at most 65535" },
            { "/explain?host=h&path=/a&key=-1", "query.key: expected an integer" },
            { "/explain?host=h&path=/a&key=99999999999999999999", "query.key: expected an integer" },
            { "/explain?host=h&path=/a&key=", "query.key: expected an integer" },
            { "/explain?host=h&path=/a&key=1&key=2", "query.key: given twice" },
            { "/explain?host=h&path=/a&zone=z", "query.zone: unknown parameter" },
            { "/explain?host=h&path=/a&method=get%20", "query.method: expected upper-case letters" },
            { "/explain?host=h%0d%0aX:y&path=/a", "control characters" },
            { "/explain?host=%ff&path=/a", "invalid UTF-8" },
            { "/explain?host=%zz&path=/a", "hexadecimal" },
            { "/explain?host", "expected name=value" },
        };
        for (const auto& [target, reason] : cases) {
            const auto [status, document] = state.ask(target);
            EXPECT_EQ(status, 400) << target;
            EXPECT_EQ(document["error"], "bad_request");
            EXPECT_EQ(document["verdict"], "not_run");
            EXPECT_NE(document["message"].get<std::string>().find(reason), std::string::npos) << target << document;
        }
        EXPECT_EQ(state.ask("/explain?host=h&path=/a/", "POST").first, 405);
        state.port.decodeRequest = [](const http_request&) -> result<caller_request> {
            return notRun(error_code::bad_request, "malformed");
        };
        EXPECT_EQ(state.ask("/explain?host=h&path=/a/").first, 400);
        EXPECT_EQ(state.ask("/explain?host=h&path=/a/").second["message"], "malformed");
    }

} // namespace
} // namespace heatherdrift
