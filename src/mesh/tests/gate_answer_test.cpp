#include "http/tests/raw_peers.h"
#include "http/tests/test_loop.h"
#include "mesh/internal/gate_service.h"
#include "mesh/tests/test_port.h"

#include <map>

namespace heatherdrift {
namespace {

    using std::chrono::seconds;

    /// Answers the requests of each connection with the scripted bytes of that connection.
    class connection_script_server : public raw_listener {
    public:
        using scripts = std::vector<std::vector<std::string>>;

        connection_script_server(event_base* base, scripts answers)
            : raw_listener(base)
            , m_answers(std::move(answers))
        {
        }

        int requests = 0;

    protected:
        void readable(bufferevent* stream) override
        {
            const auto connection = m_indices.try_emplace(stream, m_indices.size()).first->second;
            auto* input = bufferevent_get_input(stream);
            if (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos < 0)
                return;
            evbuffer_drain(input, evbuffer_get_length(input));
            ++requests;
            auto& script = m_answers.at(connection);
            const std::string answer = script.at(0);
            script.erase(script.begin());
            bufferevent_write(stream, answer.data(), answer.size());
        }
        void written(bufferevent*) override { }

    private:
        scripts m_answers;
        std::map<bufferevent*, std::size_t> m_indices;
    };

    std::string refusal(const std::string& id, const std::string& body = "")
    {
        const std::string idField = id.empty() ? "" : "id: " + id + "\r\n";
        return "HTTP/1.1 503 Service Unavailable\r\n" + idField
            + "not-executed: 1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string success(const std::string& id)
    {
        const std::string idField = id.empty() ? "" : "id: " + id + "\r\n";
        return "HTTP/1.1 200 OK\r\n" + idField + "signed: 1\r\nContent-Length: 2\r\n\r\n" + (id.empty() ? "??" : id);
    }

    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";

    struct repeated_answer_case {
        const char* name;
        connection_script_server::scripts answers;
        const char* firstId;
        const char* secondId;
        verdict expected; ///< Of the second request.
        int expectedConnections;
    };

    /// A gate whose backend server sends scripted bytes.
    class GateAnswerTest : public testing::Test {
    protected:
        void start(connection_script_server::scripts answers)
        {
            gate.reset();
            server = std::make_unique<connection_script_server>(loop.base(), std::move(answers));
            settings.service = "s";
            settings.backend = server->address();
            gate = std::make_unique<gate_service>(loop.base(), settings, port,
                gate_hooks { [](key_number) { return key_access::serve; }, [] { return std::int64_t { 0 }; },
                    [] { return std::optional<table_statements>(); }, [](const backend_question&) {}, nullptr, nullptr,
                    [this](request_fingerprint) { ++answersOfSuspects; }, nullptr });
            gate->setBackend({ "i@1", "i", 2 });
        }

        gate_answer send(const std::string& method, const std::string& id)
        {
            routed_request request;
            request.message = { method, "/a", {}, "" };
            if (!id.empty())
                request.message.headers.add("id", id);
            request.id = id;
            request.route = "r";
            request.service = "s";
            request.isIdempotent = method == "GET";
            request.deadline = request.objective = test_loop::farDeadline();
            std::optional<gate_answer> answer;
            gate->execute(request, [&](gate_answer value) { answer = std::move(value); });
            loop.runUntil([&] { return answer.has_value(); });
            return *answer;
        }

        test_loop loop;
        platform_port port = makeTestPort();
        mesh_settings settings;
        std::unique_ptr<connection_script_server> server;
        std::unique_ptr<gate_service> gate;
        int answersOfSuspects = 0; ///< That end a suspicion of crashes.
    };

    /// Resets the connection of each request.
    class resetting_server : public raw_listener {
    public:
        using raw_listener::raw_listener;

    protected:
        void readable(bufferevent* stream) override
        {
            const linger option { 1, 0 };
            setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
            close(stream);
        }
        void written(bufferevent*) override { }
    };

    /// A gate whose backend server resets the connection of each request.
    class GateCrashTest : public testing::Test {
    protected:
        GateCrashTest()
        {
            settings.service = "s";
            settings.backend = server.address();
            gate = std::make_unique<gate_service>(loop.base(), settings, port,
                gate_hooks { [](key_number) { return key_access::serve; }, [] { return std::int64_t { 0 }; },
                    [] { return std::optional<table_statements>(); }, [](const backend_question&) {},
                    [this](request_fingerprint, time_point now) {
                        return isRefused ? std::optional(now + seconds(60)) : std::nullopt;
                    },
                    nullptr, nullptr, [this](backend_crash crash) { crashes.push_back(std::move(crash)); } });
            gate->setBackend({ "i@1", "i", 2 });
        }

        gate_answer send(const std::string& body)
        {
            routed_request request;
            request.message = { "POST", "/a", {}, body };
            request.route = "r";
            request.service = "s";
            request.deadline = request.objective = test_loop::farDeadline();
            std::optional<gate_answer> answer;
            gate->execute(request, [&](gate_answer value) { answer = std::move(value); });
            loop.runUntil([&] { return answer.has_value(); });
            return *answer;
        }

        test_loop loop;
        platform_port port = makeTestPort();
        mesh_settings settings;
        resetting_server server { loop.base() };
        std::unique_ptr<gate_service> gate;
        std::vector<backend_crash> crashes;
        bool isRefused = false;
    };

    // Guards against a request that crashes backend servers and that no node knows, since the gate alone sees which
    // requests were at work when its backend server ended.
    TEST_F(GateCrashTest, RequestsAtWorkAtTheEndOfTheBackendServerAreReported)
    {
        EXPECT_EQ(send("x").outcome, verdict::may_have_run);
        EXPECT_EQ(send("y").outcome, verdict::may_have_run);
        gate->setBackend({ "i@2", "i", 2 });
        ASSERT_EQ(crashes.size(), 1u);
        EXPECT_EQ(crashes[0].life, "i@1");
        ASSERT_EQ(crashes[0].suspects.size(), 2u);
        EXPECT_NE(crashes[0].suspects[0], crashes[0].suspects[1]);
        send("x");
        gate->setBackend({});
        ASSERT_EQ(crashes.size(), 2u);
        EXPECT_EQ(crashes[1].suspects, (std::vector { crashes[0].suspects[0] }));
    }

    // Guards against suspects from a planned end.
    TEST_F(GateCrashTest, EndOfADrainingBackendServerIsNoCrash)
    {
        gate->closeAt(boot_clock::now() + seconds(60));
        send("x");
        gate->setBackend({});
        EXPECT_TRUE(crashes.empty());
    }

    // Guards against a request that goes on crashing backend servers, and against a caller that is not told when to
    // return.
    TEST_F(GateCrashTest, RequestThatCrashesBackendServersIsRefusedAsNotRun)
    {
        isRefused = true;
        const auto answer = send("x");
        EXPECT_EQ(answer.outcome, verdict::not_run);
        EXPECT_EQ(answer.reason, error_code::quarantined);
        EXPECT_FALSE(answer.reachedBackend);
        EXPECT_EQ(answer.retryAfter, seconds(60));
    }

    // Guards against `not_run` for a request that runs: a backend server writes an earlier refusal once more on a kept
    // connection, where the answer to the next request is expected.
    TEST_F(GateAnswerTest, RepeatedRefusalIsNoProofForALaterRequest)
    {
        const repeated_answer_case cases[] = {
            { "earlier id, before the answer", { { refusal("r1"), refusal("r1") + success("r2") } }, "r1", "r2",
                verdict::ran, 1 },
            { "earlier id and a body, before the answer", { { refusal("r1"), refusal("r1", "busy") + success("r2") } },
                "r1", "r2", verdict::ran, 1 },
            { "in the segment of the first copy", { { refusal("r1") + refusal(""), success("r1") }, { success("r2") } },
                "r1", "r2", verdict::ran, 2 },
            { "no id, before the answer", { { refusal("r1"), refusal("") + success("r2") } }, "r1", "r2",
                verdict::may_have_run, 1 },
            { "no id, no answer", { { refusal("r1"), refusal("") } }, "r1", "r2", verdict::may_have_run, 1 },
            { "no id and a body", { { refusal("r1"), refusal("", "busy") + success("r2") } }, "r1", "r2",
                verdict::may_have_run, 1 },
            { "no id, behind an interim answer", { { refusal("r1"), interim + refusal("") + success("r2") } }, "r1",
                "r2", verdict::may_have_run, 1 },
            { "no id, between an interim answer and the answer",
                { { success("r1"), refusal("") + interim + success("r2") } }, "r1", "r2", verdict::may_have_run, 1 },
            { "no id, behind a copy with the earlier id",
                { { refusal("r1"), refusal("r1") + refusal("") + success("r2") } }, "r1", "r2", verdict::may_have_run,
                1 },
            { "the same id again", { { refusal("r1"), refusal("r1") + success("r1") }, { success("r1") } }, "r1", "r1",
                verdict::ran, 2 },
            { "a request without id", { { refusal("r1"), refusal("") + success("") }, { success("") } }, "r1", "",
                verdict::ran, 2 },
        };
        for (const auto& entry : cases) {
            for (const std::string method : { "GET", "POST" }) {
                start(entry.answers);
                send(method, entry.firstId);
                const auto answer = send(method, entry.secondId);
                EXPECT_EQ(toString(answer.outcome), toString(entry.expected)) << method << ", " << entry.name;
                EXPECT_EQ(server->requests, 2) << method << ", " << entry.name;
                EXPECT_EQ(server->connections, entry.expectedConnections) << method << ", " << entry.name;
            }
        }
    }

    // Guards against the success of an earlier request that is passed on as the answer to a later one.
    TEST_F(GateAnswerTest, RepeatedSuccessWithoutAnIdIsNoAnswerToALaterRequest)
    {
        start({ { success("r1"), success("") + success("r2") } });
        EXPECT_EQ(toString(send("POST", "r1").outcome), toString(verdict::ran));
        EXPECT_EQ(toString(send("POST", "r2").outcome), toString(verdict::may_have_run));
    }

    // Guards against a refusal that cannot be repeated one and is still not taken as proof, so that the caller is not
    // told to try again.
    TEST_F(GateAnswerTest, RefusalWithoutAnIdIsProofAsTheFirstAnswerOfItsConnection)
    {
        start({ { refusal("") }, { refusal("") } });
        for (const std::string id : { "r1", "" }) {
            const auto answer = send("POST", id);
            EXPECT_EQ(toString(answer.outcome), toString(verdict::not_run));
            EXPECT_EQ(answer.reason, error_code::refused_by_backend);
        }
    }

    // Guards against a caller that is told "not run" by the status of an answer in which the backend server does not
    // state it.
    TEST_F(GateAnswerTest, StatusOfARefusalAloneIsNoProof)
    {
        for (const std::string status : { "408", "429", "503" }) {
            start({ { "HTTP/1.1 " + status + " x\r\nid: r1\r\nContent-Length: 0\r\n\r\n" } });
            EXPECT_EQ(toString(send("POST", "r1").outcome), toString(verdict::may_have_run)) << status;
        }
    }

    // Guards against a request that is cleared of earlier crashes by a run that ended early, as at its deadline or with
    // the hold of its key.
    TEST_F(GateAnswerTest, FailureOfTheBackendServerIsNoProofThatTheRequestIsHarmless)
    {
        for (const std::string status : { "500", "502", "504" }) {
            start(
                { { "HTTP/1.1 " + status + " x\r\nid: r1\r\nsigned: 1\r\nContent-Length: 0\r\n\r\n", success("r2") } });
            EXPECT_EQ(toString(send("POST", "r1").outcome), toString(verdict::ran)) << status;
            EXPECT_EQ(answersOfSuspects, 0) << status;
        }
        send("POST", "r2");
        EXPECT_EQ(answersOfSuspects, 1);
    }

    // Guards against a connection that stays in use after an answer that may belong to another request.
    TEST_F(GateAnswerTest, ConnectionWithAnAnswerOfUnknownOriginIsClosed)
    {
        start({ { success("r1"), refusal("") + success("r2") }, { success("r3") } });
        send("POST", "r1");
        EXPECT_EQ(toString(send("POST", "r2").outcome), toString(verdict::may_have_run));
        EXPECT_EQ(send("POST", "r3").response.body, "r3");
        EXPECT_EQ(server->connections, 2);
    }

} // namespace
} // namespace heatherdrift
