#include "http/tests/raw_peers.h"
#include "mesh/tests/mesh_fixture.h"

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// Two whole nodes with a backend server each, and a third one whose entry the callers use. Their address is not
    /// the node's, since requests of the own host are not hedged.
    class HedgedRequestTest : public mesh_fixture {
    protected:
        HedgedRequestTest() { entryAddress = "127.0.0.2"; }

        struct sent_call {
            std::unique_ptr<http_client> client;
            http_call_ptr call;
            std::vector<int> answers; ///< Statuses; 0 for a failure.
        };

        void start(double share, bool isIdempotent = true, int maxAttempts = 3)
        {
            current.routes.push_back(
                { "r", "h", "/", isIdempotent, { { "s", 1 } }, maxAttempts, seconds(60), seconds(20), 1 });
            current.services.push_back({ "s", 64, false });
            storeConfiguration();
            scheduling.hedgeShare = share;
            for (std::size_t index = 0; index < 2; ++index) {
                servers.push_back(loop.listen([this, index](http_exchange_ptr exchange) {
                    ++arrivals[index];
                    onRequest(index, std::move(exchange));
                }));
                nodes.push_back(startNode("n" + std::to_string(index), "s", servers[index]->address()));
            }
            entry = startNode("e", "other", { "127.0.0.1", 1 });
            for (std::size_t index = 0; index < 2; ++index) {
                loop.runUntil([&] { return announce(*nodes[index], "i" + std::to_string(index), 1) == 200; });
            }
            // The times of answers are known, and both servers are, if the setting is on.
            loop.runUntil([&] {
                serve();
                const bool areAnswersKnown = arrivals[0] + arrivals[1] >= 40;
                return areAnswersKnown && (share == 0 || metric("heatherdrift_known_statuses{service=\"s\"} ") == 2);
            });
        }

        void serve()
        {
            auto& sent = begin();
            loop.runUntil([&] { return !sent.answers.empty(); });
            calls.pop_back();
        }

        sent_call& begin()
        {
            auto& sent = calls.emplace_back(std::make_unique<sent_call>());
            auto& call = *sent;
            call.client = http_client::create(loop.base(), entry->settings().entry, 1);
            http_call_handlers handlers;
            const auto status = std::make_shared<int>(0);
            handlers.onHead = [status](const http_response_head& head) { *status = head.status; };
            handlers.onDone
                = [&call, status](const result<void>& how) { call.answers.push_back(how.has_value() ? *status : 0); };
            call.call = call.client->start({ "POST", "/a",
                                               { { "Host", "h" }, { "id", "r" + std::to_string(++lastId) },
                                                   { "key", "5" }, { "timeout-ms", "50000" } },
                                               "body" },
                test_loop::farDeadline(), handlers);
            return call;
        }

        void hold(std::size_t index, http_exchange_ptr exchange)
        {
            exchange->onClosed([this, index] { isClosed[index] = true; });
            held[index] = std::move(exchange);
        }

        /// Sends a request that both backend servers hold; others keep the statuses of the servers recent. Returns the
        /// index of the one that got it first.
        std::size_t holdBoth(sent_call*& sent)
        {
            std::optional<std::size_t> first;
            const auto id = "r" + std::to_string(lastId + 1);
            onRequest = [&, id](std::size_t index, http_exchange_ptr exchange) {
                if (exchange->request().headers.find("id") != id)
                    return answer(exchange, 200);
                if (!first)
                    first = index;
                hold(index, std::move(exchange));
            };
            sent = &begin();
            loop.runUntil([&] {
                serve();
                return held[0] && held[1];
            });
            onRequest = answerAtOnce;
            return *first;
        }

        /// The request is held for much longer than other requests take.
        void expectSingleAttempt()
        {
            onRequest = [this](std::size_t index, http_exchange_ptr exchange) { hold(index, std::move(exchange)); };
            const int before = arrivals[0] + arrivals[1];
            auto& sent = begin();
            bool isOver = false;
            timer wait(loop.base(), [&] { isOver = true; });
            wait.startOnce(milliseconds(700));
            loop.runUntil([&] { return isOver; });
            EXPECT_EQ(arrivals[0] + arrivals[1], before + 1);
            answer(held[held[0] ? 0 : 1], 200);
            loop.runUntil([&] { return !sent.answers.empty(); });
            EXPECT_EQ(sent.answers, std::vector<int> { 200 });
        }

        /// Value of the metric at the entry node; 0 if it does not exist.
        int metric(const std::string& name)
        {
            const auto text = loop.fetch(entry->settings().metrics, { "GET", "/metrics", {}, "" }).value().body;
            const auto at = text.find(name);
            return at == std::string::npos ? 0 : std::stoi(text.substr(at + name.size()));
        }

        int hedges(const std::string& outcome)
        {
            return metric("heatherdrift_hedges_total{outcome=\"" + outcome + "\",service=\"s\"} ");
        }

        static void answer(const http_exchange_ptr& exchange, int status)
        {
            const auto id = std::string(exchange->request().headers.find("id").value_or(""));
            exchange->respond({ { status, { { "signed", "1" }, { "id", id } } }, "x" });
        }

        std::function<void(std::size_t, http_exchange_ptr)> answerAtOnce
            = [](std::size_t, const http_exchange_ptr& exchange) { answer(exchange, 200); };
        std::function<void(std::size_t, http_exchange_ptr)> onRequest = answerAtOnce;
        std::vector<std::unique_ptr<http_server>> servers;
        std::vector<std::unique_ptr<mesh_node>> nodes;
        std::unique_ptr<mesh_node> entry;
        std::vector<std::unique_ptr<sent_call>> calls;
        int arrivals[2] = { 0, 0 };
        http_exchange_ptr held[2];
        bool isClosed[2] = { false, false };
    };

    // Guards against a caller that waits for the slow server although the other one has answered, against two answers,
    // and against a backend server that goes on working for nobody.
    TEST_F(HedgedRequestTest, FirstGoodAnswerWinsAndTheOtherAttemptIsCancelled)
    {
        start(0.2);
        for (const bool doesHedgeWin : { true, false }) {
            sent_call* sent = nullptr;
            const auto first = holdBoth(sent);
            const auto winner = doesHedgeWin ? 1 - first : first;
            answer(held[winner], 200);
            loop.runUntil([&] { return !sent->answers.empty() && isClosed[1 - winner]; });
            EXPECT_EQ(sent->answers, std::vector<int> { 200 });
            for (std::size_t index = 0; index < 2; ++index) {
                held[index].reset();
                isClosed[index] = false;
            }
            for (int count = 0; count < 20; ++count) // Refills the budget.
                serve();
        }
        // On a busy machine, other requests are hedged, too.
        EXPECT_GE(hedges("send"), 2);
        EXPECT_GE(hedges("won"), 1);
        EXPECT_LT(hedges("won"), hedges("send"));
    }

    // Guards against a failure that reaches the caller, or that is repeated, while the other attempt can succeed.
    TEST_F(HedgedRequestTest, FailedAttemptWaitsForTheOther)
    {
        const std::function<void(const http_exchange_ptr&)> failures[] = {
            [](const http_exchange_ptr& exchange) { answer(exchange, 500); },
            [](const http_exchange_ptr& exchange) {
                exchange->respond({ { 503, { { "not-executed", "1" } } }, "" });
            },
            [](const http_exchange_ptr& exchange) { exchange->abort(); },
        };
        start(0.2);
        for (const auto& fail : failures) {
            for (const bool doesHedgeFail : { true, false }) {
                sent_call* sent = nullptr;
                const auto first = holdBoth(sent);
                const auto failing = doesHedgeFail ? 1 - first : first;
                const int before = arrivals[0] + arrivals[1];
                fail(held[failing]);
                for (int count = 0; count < 5; ++count)
                    loop.runReady();
                EXPECT_TRUE(sent->answers.empty());
                answer(held[1 - failing], 200);
                loop.runUntil([&] { return !sent->answers.empty(); });
                EXPECT_EQ(sent->answers, std::vector<int> { 200 });
                EXPECT_EQ(arrivals[0] + arrivals[1], before);
                for (auto& exchange : held)
                    exchange.reset();
                for (int count = 0; count < 20; ++count)
                    serve();
            }
        }
    }

    // Guards against a caller that gets no answer, or two, when both attempts fail.
    TEST_F(HedgedRequestTest, CallerGetsOneFailureIfBothAttemptsFail)
    {
        start(0.2, true, 2);
        sent_call* sent = nullptr;
        const auto first = holdBoth(sent);
        answer(held[1 - first], 501);
        loop.runReady();
        answer(held[first], 500);
        loop.runUntil([&] { return !sent->answers.empty(); });
        loop.runReady();
        EXPECT_EQ(sent->answers, std::vector<int> { 500 });
    }

    // Guards against backend servers that work for a caller that has left.
    TEST_F(HedgedRequestTest, DisconnectOfTheCallerCancelsBothAttempts)
    {
        start(0.2);
        sent_call* sent = nullptr;
        holdBoth(sent);
        sent->call->cancel();
        loop.runUntil([&] { return isClosed[0] && isClosed[1]; });
    }

    // Guards against a second run of a request that may run once, against attempts beyond those of the route, and
    // against hedges without the setting.
    TEST_F(HedgedRequestTest, RequestThatMayRunOnceIsNotHedged)
    {
        start(0.2, false);
        expectSingleAttempt();
    }

    TEST_F(HedgedRequestTest, RequestIsNotHedgedBeyondTheAttemptsOfItsRoute)
    {
        start(0.2, true, 1);
        expectSingleAttempt();
    }

    TEST_F(HedgedRequestTest, RequestIsNotHedgedWithoutTheSetting)
    {
        start(0);
        expectSingleAttempt();
        EXPECT_EQ(hedges("send"), 0);
    }

    // Guards against hedges of nested calls, whose request may be a repeat itself.
    TEST_F(HedgedRequestTest, RequestOfTheOwnHostIsNotHedged)
    {
        entryAddress = "127.0.0.1";
        start(0.2);
        expectSingleAttempt();
    }

} // namespace
} // namespace heatherdrift
