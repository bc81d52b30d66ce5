#include "base/event_handle.h"
#include "http/http_client.h"
#include "node/admin_service.h"
#include "node/tests/fake_control_node.h"
#include "telemetry/log_event.h"

#include <csignal>
#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    class fake_exchange : public http_exchange {
    public:
        explicit fake_exchange(http_request request)
            : m_request(std::move(request))
        {
        }

        const http_request& request() const override { return m_request; }
        bool isFirstOnConnection() const override { return true; }
        bool isFromOwnHost() const override { return true; }
        bool hasClientLeft() const override { return false; }
        bool isOpen() const override { return answers.empty(); }
        void respond(http_response response) override { answers.push_back(std::move(response)); }
        void start(http_response_head) override { }
        void sendData(std::string_view) override { }
        void finish() override { }
        void abort() override { }
        std::size_t bufferedBytes() const override { return 0; }
        void onDrained(std::function<void()>) override { }
        void onClosed(std::function<void()>) override { }

        json document() const { return json::parse(answers.at(0).body); }

        std::vector<http_response> answers;

    private:
        http_request m_request;
    };

    class admin_service_test : public ::testing::Test {
    protected:
        std::shared_ptr<fake_exchange> ask(
            const std::string& method, const std::string& target, const std::string& body = "")
        {
            auto exchange = std::make_shared<fake_exchange>(http_request { method, target, {}, body });
            m_service.handle(exchange);
            return exchange;
        }
        json get(const std::string& target)
        {
            const auto exchange = ask("GET", target);
            EXPECT_EQ(exchange->answers.at(0).head.status, 200) << target;
            return exchange->document();
        }
        void fireTimers()
        {
            for (const auto& timer : std::exchange(m_timers, {}))
                timer();
        }

        fake_control_node m_node;
        metrics_registry m_metrics;
        std::vector<std::function<void()>> m_timers;
        admin_service m_service { m_node, m_metrics,
            [this](duration, std::function<void()> call) { m_timers.push_back(std::move(call)); } };
    };

    struct bad_request_case {
        const char* method;
        const char* target;
        std::string body;
        int status;
        const char* error;
        const char* message;
    };

    // Guards against input that is half understood: wrong types, unknown fields, paths, methods and parameters.
    TEST_F(admin_service_test, RejectsBadInputWithItsPath)
    {
        const std::string nested(100000, '[');
        const std::string valid = R"({"base_version": 7, "configuration": )";
        const std::vector<bad_request_case> table {
            { "GET", "/v1/nothing", "", 404, "not_found", "no such resource" },
            { "GET", "/v1/status/x", "", 404, "not_found", "no such resource" },
            { "POST", "/v1/instances/a-1", "", 404, "not_found", "no such resource" },
            { "POST", "/v1/instances/a-1/explode", "", 404, "not_found", "no such resource" },
            { "DELETE", "/v1/configuration", "", 405, "bad_request", "GET, PUT" },
            { "POST", "/metrics", "", 405, "bad_request", "GET" },
            { "GET", "/v1/drain", "", 405, "bad_request", "POST" },
            { "GET", "/v1/instances/a-1/drain", "", 405, "bad_request", "POST" },
            { "GET", "/v1/status?x=1", "", 400, "bad_request", "query.x: unknown parameter" },
            { "GET", "/v1/owner", "", 400, "bad_request", "query.pool: required" },
            { "GET", "/v1/owner?pool=a&key=", "", 400, "bad_request", "query.key: required" },
            { "GET", "/v1/owner?pool=a&pool=b&key=k", "", 400, "bad_request", "query.pool: given twice" },
            { "GET", "/v1/owner?pool=a&key=%2", "", 400, "bad_request", "query: a percent sign" },
            { "GET", "/v1/owner?pool&key=k", "", 400, "bad_request", "query: expected name=value" },
            { "GET", "/v1/owner?pool=z&key=k", "", 404, "not_found", "query.pool: no pool is named z" },
            { "GET", "/v1/partitions?pool=z", "", 404, "not_found", "query.pool" },
            { "GET", "/v1/hot-keys?pool=z", "", 404, "not_found", "query.pool" },
            { "GET", "/v1/events?after=-1", "", 400, "bad_request", "query.after: expected an integer" },
            { "GET", "/v1/events?after=99999999999999999999", "", 400, "bad_request", "query.after" },
            { "GET", "/v1/configuration?version=1x", "", 400, "bad_request", "query.version" },
            { "GET", "/v1/configuration?version=5", "", 404, "not_found", "no such version" },
            { "PUT", "/v1/configuration", "", 400, "bad_request", "" },
            { "PUT", "/v1/configuration", "[]", 400, "bad_request", "" },
            { "PUT", "/v1/configuration", nested, 400, "bad_request", "" },
            { "PUT", "/v1/configuration", "{}", 400, "bad_request", "base_version" },
            { "PUT", "/v1/configuration", R"({"base_version": "7"})", 400, "bad_request", "base_version" },
            { "PUT", "/v1/configuration", R"({"base_version": -1})", 400, "bad_request", "base_version" },
            { "PUT", "/v1/configuration", valid + R"({"pools": 3, "selectors": []}})", 400, "invalid_configuration",
                "pools" },
            { "PUT", "/v1/configuration", valid + R"({"pools": [{"name": 3}], "selectors": []}})", 400,
                "invalid_configuration", "pools[0].name" },
            { "PUT", "/v1/configuration", valid + R"({"pools": [], "selectors": []}, "force": true})", 400,
                "bad_request", "force" },
            { "PUT", "/v1/configuration?force=1", valid + R"({"pools": [], "selectors": []}})", 400, "bad_request",
                "query.force" },
            { "POST", "/v1/announcements", R"({"address": "x", "labels": {}})", 400, "bad_request", "address" },
            { "POST", "/v1/announcements", R"({"address": "127.0.0.1:1", "labels": {"A": "b"}})", 400, "bad_request",
                "labels" },
            { "POST", "/v1/announcements", R"({"address": "127.0.0.1:1", "labels": {}, "slots": 1.5})", 400,
                "bad_request", "slots" },
            { "POST", "/v1/announcements", R"({"address": "127.0.0.1:1", "labels": {}, "slot": 1})", 400, "bad_request",
                "slot" },
            { "POST", "/v1/drain", R"({"instance": "a-2"})", 400, "bad_request", "instance" },
            { "POST", "/v1/drain?instance=a-2", "", 400, "bad_request", "query.instance" },
            { "POST", "/v1/instances/A%202/drain", "", 400, "bad_request", "path.instance" },
            { "POST", "/v1/instances/a-9/drain", "", 404, "not_found", "a-9" },
            { "POST", "/v1/instances/a-9/declare-lost", "", 404, "not_found", "a-9" },
        };
        for (const auto& entry : table) {
            const auto exchange = ask(entry.method, entry.target, entry.body);
            const auto& answer = exchange->answers.at(0);
            const auto where = std::string(entry.method) + " " + entry.target + " " + entry.body.substr(0, 80);
            EXPECT_EQ(answer.head.status, entry.status) << where;
            EXPECT_EQ(exchange->document()["verdict"], "not_run") << where;
            EXPECT_EQ(exchange->document()["error"], entry.error) << where;
            const auto message = exchange->document()["message"].get<std::string>();
            EXPECT_NE(message.find(entry.message), std::string::npos) << where << ": " << message;
        }
        EXPECT_FALSE(m_node.isTouched());
    }

    // Guards against fields that disappear from the documents that programs read.
    TEST_F(admin_service_test, AnswersReads)
    {
        EXPECT_EQ(get("/v1/status")["lease_remaining_ms"], 900);
        EXPECT_EQ(get("/v1/members")["members"][0]["partitions"], 3);
        EXPECT_EQ(get("/v1/members")["members"][1]["partitions"], 1);
        const json hot { { "pool", "a" }, { "key", "hot" }, { "partition", hotPartitionBase }, { "epoch", 6 },
            { "owner", "a-2" }, { "incarnation", 2 } };
        EXPECT_EQ(get("/v1/owner?pool=a&key=%68ot"), hot);
        EXPECT_EQ(get("/v1/hot-keys"), json({ { "hot_keys", { hot } } }));
        EXPECT_EQ(get("/v1/hot-keys?pool=a"), json({ { "hot_keys", { hot } } }));
        EXPECT_EQ(get("/v1/partitions?pool=a")["partitions"].size(), 5u);
        EXPECT_EQ(get("/v1/partitions?pool=a&owner=a-2")["partitions"].size(), 1u);
        EXPECT_EQ(get("/v1/partitions?pool=a&owner=")["partitions"].size(), 1u);
        EXPECT_EQ(get("/v1/configuration")["version"], 7);
        EXPECT_EQ(get("/v1/configuration?version=6")["version"], 6);
        m_metrics.counter("some_counter", "Help.").Increment();
        EXPECT_NE(ask("GET", "/metrics")->answers.at(0).body.find("some_counter"), std::string::npos);
    }

    // Guards against an exception for keys that are not UTF-8 and keys cut at a NUL byte.
    TEST_F(admin_service_test, KeysMayHoldAnyBytes)
    {
        for (const char* target : { "/v1/owner?pool=a&key=%ff%fe", "/v1/owner?pool=a&key=hot%00x" })
            EXPECT_NE(ask("GET", target)->document().value("key", ""), "hot");
    }

    // Guards against a node without a configuration yet that fails or claims to know something.
    TEST_F(admin_service_test, AnswersBeforeAnyConfiguration)
    {
        m_node.view = nullptr;
        EXPECT_EQ(get("/v1/configuration")["version"], 0);
        EXPECT_EQ(get("/v1/members")["members"][0]["partitions"], nullptr);
        EXPECT_TRUE(get("/v1/hot-keys")["hot_keys"].empty());
        EXPECT_EQ(ask("GET", "/v1/owner?pool=a&key=k")->answers.at(0).head.status, 404);
        EXPECT_EQ(ask("POST", "/v1/instances/a-1/drain")->answers.at(0).head.status, 404);
    }

    // Guards against events that are repeated or lost between two reads.
    TEST_F(admin_service_test, EventsFollowASequence)
    {
        const auto last = get("/v1/events")["last"].get<std::uint64_t>();
        logEvent(log_event::lease_lost, { { "holder", "a-1#2\xff" } });
        const auto after = get("/v1/events?after=" + std::to_string(last));
        ASSERT_EQ(after["events"].size(), 1u);
        EXPECT_EQ(after["events"][0]["number"], 1202);
        EXPECT_EQ(after["events"][0]["level"], "warning");
        EXPECT_EQ(after["last"], last + 1);
    }

    // Guards against actions on the wrong node or instance.
    TEST_F(admin_service_test, PassesActionsOn)
    {
        ask("POST", "/v1/announcements", R"({"address": "127.0.0.1:9", "labels": {"pool": "a"}, "slots": 4})");
        EXPECT_EQ(m_node.announced->slots, 4);
        ask("POST", "/v1/drain", "{}");
        EXPECT_EQ(m_node.drains, 1);
        ask("POST", "/v1/instances/a-2/declare-lost");
        EXPECT_EQ(m_node.lost, "a-2");
    }

    // Guards against a drain that changes other labels or follows another version than the one that it was made from.
    TEST_F(admin_service_test, DrainChangesOneLabel)
    {
        const auto exchange = ask("POST", "/v1/instances/a-1/drain");
        auto expected = m_node.current;
        expected.instanceLabels["a-1"]["drain"] = "true";
        EXPECT_EQ(m_node.applied, expected);
        EXPECT_EQ(m_node.base, 7);
        m_node.pending(8);
        EXPECT_EQ(exchange->document(), json({ { "version", 8 }, { "is_changed", true } }));
        ask("POST", "/v1/instances/a-2/undrain");
        EXPECT_TRUE(m_node.applied->instanceLabels.empty());
        m_node.applied.reset();
        EXPECT_EQ(ask("POST", "/v1/instances/a-2/drain")->document()["is_changed"], false);
        EXPECT_EQ(ask("POST", "/v1/instances/a-1/undrain")->document()["version"], 7);
        EXPECT_FALSE(m_node.applied);
    }

    // Guards against a change whose operator waits as long as the store hangs, and against an unknown outcome that is
    // reported as refused or applied.
    TEST_F(admin_service_test, ApplyIsAnsweredInBoundedTime)
    {
        const auto body = json { { "base_version", 7 }, { "configuration", toJson(m_node.current) } }.dump();
        const auto hanging = ask("PUT", "/v1/configuration", body);
        EXPECT_TRUE(hanging->answers.empty());
        fireTimers();
        ASSERT_EQ(hanging->answers.size(), 1u);
        EXPECT_EQ(hanging->answers[0].head.status, 504);
        EXPECT_EQ(hanging->document()["verdict"], "may_have_run");
        EXPECT_NE(hanging->document()["message"].get<std::string>().find("version 8"), std::string::npos);
        m_node.pending(8);
        EXPECT_EQ(hanging->answers.size(), 1u) << "answered twice";

        const auto refused = ask("PUT", "/v1/configuration", body);
        m_node.pending(notRun(error_code::conflict, "look at version 8"));
        fireTimers();
        ASSERT_EQ(refused->answers.size(), 1u);
        EXPECT_EQ(refused->answers[0].head.status, 409);

        const auto unknown = ask("PUT", "/v1/configuration", body);
        m_node.pending(mayHaveRun(error_code::store_unavailable, "lost"));
        EXPECT_EQ(unknown->document()["verdict"], "may_have_run");
    }

    // Guards against a listener that takes more than the documented size.
    TEST_F(admin_service_test, OversizedBodiesAreRefused)
    {
        signal(SIGPIPE, SIG_IGN);
        const event_base_handle base(event_base_new());
        bool wasHandled = false;
        http_server_limits limits;
        limits.bodyBytes = administrationBodyBytes;
        const auto server
            = http_server::listen(base.get(), { "127.0.0.1", 0 }, limits, [&](http_exchange_ptr exchange) {
                  wasHandled = true;
                  m_service.handle(std::move(exchange));
              });
        const auto client = http_client::create(base.get(), server.value()->address(), 1);
        std::optional<result<http_response>> answer;
        fetch(*client, { "PUT", "/v1/configuration", {}, std::string(administrationBodyBytes + 1, ' ') },
            boot_clock::now() + std::chrono::minutes(1), 1000,
            [&](result<http_response> response) { answer.emplace(std::move(response)); });
        while (!answer)
            event_base_loop(base.get(), EVLOOP_ONCE);
        // The listener answers and closes before it has read the body, so the answer may be lost on the way.
        EXPECT_EQ(answer->has_value() ? answer->value().head.status : 413, 413);
        EXPECT_FALSE(wasHandled);
    }

} // namespace
} // namespace heatherdrift
