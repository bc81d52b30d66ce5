#include "http/progress_fetch.h"
#include "http/tests/raw_peers.h"
#include "http/tests/test_loop.h"

#include <gmock/gmock.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// Answers a request with given parts, one at a time with a pause before each, and then stays silent.
    class slow_server : public raw_listener {
    public:
        slow_server(event_base* base, std::vector<std::string> parts, duration pause)
            : raw_listener(base)
            , m_parts(std::move(parts))
            , m_pause(pause)
            , m_timer(base, [this] { sendNext(); })
        {
        }

    protected:
        void readable(bufferevent* stream) override
        {
            m_stream = stream;
            m_timer.startRepeating(m_pause);
        }
        void written(bufferevent*) override { }

    private:
        void sendNext()
        {
            bufferevent_write(m_stream, m_parts[m_next].data(), m_parts[m_next].size());
            if (++m_next == m_parts.size())
                m_timer.stop();
        }

        std::vector<std::string> m_parts;
        std::size_t m_next = 0;
        duration m_pause;
        bufferevent* m_stream = nullptr;
        timer m_timer;
    };

    class ProgressFetchTest : public testing::Test {
    protected:
        static std::vector<std::string> answer(std::size_t announced, const std::string& part, std::size_t count)
        {
            std::vector<std::string> parts(count, part);
            parts.insert(parts.begin(), "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n");
            return parts;
        }

        result<http_response> fetch(const raw_listener& server, duration stallTime, duration total = seconds(600))
        {
            const auto client = http_client::create(loop.base(), server.address(), 1);
            const auto now = boot_clock::now();
            std::optional<result<http_response>> out;
            fetchWithProgress(*client, {}, { now + stallTime, stallTime, now + total, maxBody },
                [&](result<http_response> value) { out = std::move(value); });
            loop.runUntil([&] { return out.has_value(); });
            return *out;
        }

        static constexpr std::size_t maxBody = 1000;
        test_loop loop;
    };

    // Guards against discarding an answer that is long but arrives steadily.
    TEST_F(ProgressFetchTest, AnswerMayTakeLongerThanTheStallTimeWhileItArrives)
    {
        slow_server server(loop.base(), answer(100, "0123456789", 10), milliseconds(250));
        const auto got = fetch(server, seconds(2));
        ASSERT_TRUE(got.has_value()) << got.error().message;
        EXPECT_EQ(got.value().body.size(), 100u);
    }

    // Guards against waiting for a server that stopped in the middle of its answer until the deadline of the whole.
    TEST_F(ProgressFetchTest, StalledAnswerFailsWithTheBytesReceived)
    {
        slow_server server(loop.base(), answer(100, "0123456789", 1), milliseconds(1));
        const auto got = fetch(server, seconds(2));
        ASSERT_TRUE(got.has_error());
        EXPECT_EQ(got.error().code, error_code::deadline_exceeded);
        EXPECT_EQ(got.error().outcome, verdict::may_have_run);
        EXPECT_THAT(got.error().message, testing::HasSubstr("after 10 bytes"));
    }

    // Guards against waiting for a server that accepts the request and never begins to answer.
    TEST_F(ProgressFetchTest, AnswerThatNeverBeginsFails)
    {
        plain_listener silent(1);
        const auto client = http_client::create(loop.base(), silent.address(), 1);
        const auto now = boot_clock::now();
        std::optional<result<http_response>> out;
        fetchWithProgress(*client, {}, { now + milliseconds(50), seconds(600), now + seconds(600), maxBody },
            [&](result<http_response> value) { out = std::move(value); });
        loop.runUntil([&] { return out.has_value(); });
        ASSERT_TRUE(out->has_error());
        EXPECT_EQ(out->error().code, error_code::deadline_exceeded);
    }

    // Guards against a server that keeps a transfer open for ever with a byte now and then.
    TEST_F(ProgressFetchTest, TricklingAnswerEndsAtTheDeadline)
    {
        slow_server server(loop.base(), answer(100000, "x", 100000), milliseconds(1));
        const auto got = fetch(server, seconds(600), milliseconds(300));
        ASSERT_TRUE(got.has_error());
        EXPECT_EQ(got.error().code, error_code::deadline_exceeded);
    }

    // Guards against an answer without end that fills the memory of the instance.
    TEST_F(ProgressFetchTest, AnswerAboveTheSizeLimitFails)
    {
        slow_server server(loop.base(), answer(2 * maxBody, std::string(2 * maxBody, 'x'), 1), milliseconds(1));
        const auto got = fetch(server, seconds(600));
        ASSERT_TRUE(got.has_error());
        EXPECT_EQ(got.error().code, error_code::too_large);
    }

} // namespace
} // namespace heatherdrift
