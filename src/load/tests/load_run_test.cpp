#include "load/load_run.h"

#include "base/hash.h"
#include "http/http_server.h"

#include <cinttypes>
#include <csignal>
#include <cstdio>
#include <gtest/gtest.h>
#include <set>

namespace heatherdrift {
namespace {

    std::string answerTo(const std::string& id, const http_request& request)
    {
        const std::string key(request.headers.find("heatherdrift-key").value_or(""));
        const auto size = std::stoul(std::string(request.headers.find("standin-response-bytes").value()));
        char checksum[17] {};
        std::snprintf(
            checksum, sizeof(checksum), "%016" PRIx64, hashBytes(request.body, hashBytes(key, hashBytes(id))));
        auto text = "id: " + id + "\nkey: " + key + "\nchecksum: " + checksum + "\n";
        for (std::size_t i = 0; text.size() < size; ++i)
            text += i % 17 == 16 ? '\n' : checksum[i % 17];
        return text;
    }

    /// Answers as an entry node does; the hook decides what happens to each request.
    class fake_entry {
    public:
        explicit fake_entry(event_base* base)
            : m_server(http_server::listen(base, { "127.0.0.1", 0 }, {}, [this](const http_exchange_ptr& exchange) {
                answer(exchange, ++requests);
            }).value())
        {
        }

        endpoint address() const { return m_server->address(); }

        std::function<void(const http_exchange_ptr&, int number)> answer;
        int requests = 0;

    private:
        std::unique_ptr<http_server> m_server;
    };

    void answerRight(const http_exchange_ptr& exchange, int number)
    {
        const auto id = "node#1-" + std::to_string(number);
        exchange->respond({ { 200, { { "heatherdrift-verdict", "ran" }, { "heatherdrift-request-id", id } } },
            answerTo(id + ".1", exchange->request()) });
    }

    void answerFailure(const http_exchange_ptr& exchange, const char* outcome, const char* error, const char* token)
    {
        http_response response { { 409, { { "heatherdrift-verdict", outcome }, { "heatherdrift-error", error } } },
            "" };
        if (token)
            response.head.headers.add("heatherdrift-token", token);
        exchange->respond(std::move(response));
    }

    struct run_outcome {
        json summary;
        std::uint64_t badAnswers = 0;
    };

    /// Runs one kind of request, at a rate that gives ten of them.
    run_outcome runPlan(event_base* base, const fake_entry& entry, bool isOnce)
    {
        request_kind kind;
        kind.name = "a";
        kind.method = "POST";
        kind.bodyBytes = 20;
        kind.keys.uniform = 3;
        kind.arrivals = arrival_kind::regular;
        kind.rate = { { {}, 100 } };
        kind.timeout = std::chrono::seconds(60);
        kind.isOnce = isOnce;
        load_run_settings settings;
        settings.entries = { entry.address() };
        settings.resendDelay = std::chrono::milliseconds(1);
        const auto run = load_run::start(
            base, { std::chrono::milliseconds(100), { kind } }, settings, [base] { event_base_loopbreak(base); });
        event_base_dispatch(base);
        const auto& report = run->report().at("a");
        return { report.summary(std::chrono::seconds(1)), report.badAnswers() };
    }

    // Guards against requests that are lost from the report, or answers that are refused although they are right.
    TEST(LoadRun, CountsEachRequestOnce)
    {
        const event_base_handle base(event_base_new());
        fake_entry entry(base.get());
        entry.answer = answerRight;
        const auto how = runPlan(base.get(), entry, false);
        EXPECT_EQ(how.summary["requests"], 10);
        EXPECT_EQ(how.summary["answered"], 10);
        EXPECT_EQ(how.summary["verdicts"], json({ { "ran", 10 } }));
        EXPECT_EQ(how.badAnswers, 0u);
    }

    // Guards against the same answer being accepted for two requests, and against one that is cut being called bad.
    TEST(LoadRun, NoticesDuplicateAndCutAnswers)
    {
        signal(SIGPIPE, SIG_IGN);
        const event_base_handle base(event_base_new());
        fake_entry entry(base.get());
        entry.answer = [](const http_exchange_ptr& exchange, int number) {
            if (number == 4) {
                exchange->start({ 200,
                    { { "heatherdrift-verdict", "ran" }, { "heatherdrift-request-id", "node#1-4" },
                        { "Content-Length", "1000" } } });
                exchange->sendData("id: node#1-4.1\n");
                // Closing at once would discard the bytes before they are sent.
                exchange->onDrained([exchange] { exchange->abort(); });
                return;
            }
            answerRight(exchange, number == 7 ? 6 : number);
        };
        const auto how = runPlan(base.get(), entry, false);
        EXPECT_EQ(how.summary["answered"], 8);
        EXPECT_EQ(how.summary["bad_answers"], json({ { "duplicate", 1 } }));
        EXPECT_EQ(how.summary["cut"], 1);
        EXPECT_EQ(how.summary["verdicts"], json({ { "may_have_run", 1 }, { "ran", 9 } }));
    }

    // Guards against a once call that is resent with another token, or not resent when its outcome is unknown.
    TEST(LoadRun, ResendsOnceCallsWithTheirToken)
    {
        const event_base_handle base(event_base_new());
        fake_entry entry(base.get());
        std::multiset<std::string> tokens;
        std::set<std::string> lost;
        int issued = 0;
        entry.answer = [&](const http_exchange_ptr& exchange, int number) {
            const std::string token(exchange->request().headers.find("heatherdrift-token").value_or(""));
            if (token.empty())
                return answerFailure(
                    exchange, "not_run", "token_required", ("token-" + std::to_string(++issued)).c_str());
            tokens.insert(token);
            if (lost.insert(token).second)
                return answerFailure(exchange, "may_have_run", "connection_lost", nullptr);
            answerRight(exchange, number);
        };
        const auto how = runPlan(base.get(), entry, true);
        EXPECT_EQ(how.summary["answered"], 10);
        EXPECT_EQ(how.summary["once"], json({ { "tokens", 10 }, { "resends", 10 } }));
        EXPECT_EQ(issued, 10);
        for (const auto& token : lost)
            EXPECT_EQ(tokens.count(token), 2u) << token;
    }

    // Guards against reporting "not run" for a call whose earlier sending may have run.
    TEST(LoadRun, KeepsAnUnknownOutcomeUnknown)
    {
        const event_base_handle base(event_base_new());
        fake_entry entry(base.get());
        std::set<std::string> lost;
        int issued = 0;
        entry.answer = [&](const http_exchange_ptr& exchange, int) {
            const std::string token(exchange->request().headers.find("heatherdrift-token").value_or(""));
            if (token.empty())
                return answerFailure(exchange, "not_run", "token_required", std::to_string(++issued).c_str());
            const bool isFirst = lost.insert(token).second;
            answerFailure(exchange, isFirst ? "may_have_run" : "not_run", "overloaded", nullptr);
        };
        const auto how = runPlan(base.get(), entry, true);
        EXPECT_EQ(how.summary["verdicts"], json({ { "may_have_run", 10 } }));
    }

} // namespace
} // namespace heatherdrift
