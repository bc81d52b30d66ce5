#include "http/internal/message_parser.h"
#include "http/tests/raw_peers.h"
#include "http/tests/test_loop.h"

namespace heatherdrift {
namespace {

    /// A server that sends the start of an answer to each request and ends the connection.
    class BrokenAnswerTest : public testing::Test {
    protected:
        enum class end_kind { close, reset };

        result<http_response> fetchPart(const std::string& bytes, end_kind how)
        {
            http_client_options options;
            options.maximumConnections = 1;
            options.acceptsUnframedAnswers = true;
            const auto client = http_client::create(loop.base(), listener.address(), options);
            std::optional<result<http_response>> answer;
            fetch(*client, { "POST", "/", {}, "x" }, test_loop::farDeadline(), 1 << 20,
                [&](result<http_response> value) { answer = std::move(value); });
            const int peer = accept(listener.descriptor(), nullptr, nullptr);
            std::string seen;
            while (!seen.ends_with("\r\n\r\nx")) {
                loop.runReady();
                char buffer[4096];
                const auto size = ::recv(peer, buffer, sizeof(buffer), MSG_DONTWAIT);
                seen.append(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
            }
            EXPECT_EQ(::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
            if (how == end_kind::reset) {
                const linger option { 1, 0 };
                setsockopt(peer, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
            }
            ::close(peer);
            loop.runUntil([&] { return answer.has_value(); });
            return *answer;
        }

        void expectBroken(const std::string& bytes, end_kind how)
        {
            const auto answer = fetchPart(bytes, how);
            ASSERT_TRUE(answer.has_error()) << bytes.size() << " bytes: " << bytes;
            EXPECT_EQ(toString(answer.error().outcome), toString(verdict::may_have_run)) << bytes;
        }

        test_loop loop;
        plain_listener listener { 4 };
    };

    const std::string head = "HTTP/1.1 200 OK\r\nX-Signed: 1\r\n";
    const std::string framings[] = { head + "Content-Length: 4\r\n\r\nbody",
        head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", head + "\r\nbody" };

    // Guards against an answer that ends within its head or its body and is passed on as a whole one with an empty or
    // short body, for each framing and each place at which the server stops.
    TEST_F(BrokenAnswerTest, AnswerIsBrokenAtEachByteBeforeItsEnd)
    {
        for (const auto& whole : framings) {
            const bool isUnframed = whole.ends_with("\r\nbody") && whole.find("Length") == std::string::npos;
            const auto headEnd = whole.find("\r\n\r\n") + 4;
            for (std::size_t size = 0; size < whole.size(); ++size) {
                // An answer without length ends with its connection, so its body has no end that can be missed.
                if (!isUnframed || size < headEnd)
                    expectBroken(whole.substr(0, size), end_kind::close);
                expectBroken(whole.substr(0, size), end_kind::reset);
            }
            const auto answer = fetchPart(whole, end_kind::close);
            ASSERT_TRUE(answer.has_value()) << whole;
            EXPECT_EQ(answer.value().body, "body");
        }
    }

    // Guards against an interim answer that is taken for the final one when the server closes after it.
    TEST_F(BrokenAnswerTest, InterimAnswerIsNoAnswer)
    {
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        expectBroken(interim, end_kind::close);
        expectBroken(interim + "HTTP/1.1 200 OK\r\n", end_kind::close);
    }

    // Guards against a status that no reader understands, such as 000, or that has more digits than three, such as
    // 0200, and is passed on as a whole answer.
    TEST_F(BrokenAnswerTest, InvalidFinalStatusIsNoAnswer)
    {
        const std::string rest = " OK\r\nX-Signed: 1\r\nContent-Length: 4\r\n\r\nbody";
        for (const std::string status :
            { "000", "0", "20", "099", "600", "999", "0200", "00200", "0000000200", "2000" }) {
            expectBroken("HTTP/1.1 " + status + rest, end_kind::close);
            expectBroken("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + rest, end_kind::close);
        }
        for (const int status : { 200, 599 }) {
            const auto answer = fetchPart("HTTP/1.1 " + std::to_string(status) + rest, end_kind::close);
            ASSERT_TRUE(answer.has_value()) << status;
            EXPECT_EQ(answer.value().head.status, status);
        }
    }

    // Guards against a status line whose digits are counted wrongly: without a reason, with digits in the reason,
    // behind another response, and if any two of its bytes arrive apart.
    TEST(MessageParser, StatusHasExactlyThreeDigits)
    {
        const auto countHeads = [](std::string_view bytes, std::size_t pieceSize) {
            int count = 0;
            message_parser parser(message_parser::side::responses, 1000,
                { [&] { return ++count > 0; }, [](std::string_view) {}, [] { return true; } });
            for (; !bytes.empty() && !parser.hasFailed(); bytes.remove_prefix(std::min(pieceSize, bytes.size())))
                parser.parse(bytes.substr(0, pieceSize));
            return count;
        };
        const std::string rest = "\r\nContent-Length: 4\r\n\r\nbody";
        const std::string before[] = { "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK" + rest };
        const std::string reasons[] = { "", " ", " OK", " 200", " 0 0200 " };
        for (int earlier = 0; earlier < 3; ++earlier) {
            for (const auto& reason : reasons) {
                for (const std::string status : { "200", "0200", "00200", "0000000200" }) {
                    const auto bytes = before[earlier] + "HTTP/1.1 " + status + reason + rest;
                    const int expected = (earlier > 0 ? 1 : 0) + (status == "200" ? 1 : 0);
                    for (std::size_t pieceSize = 1; pieceSize <= bytes.size(); ++pieceSize)
                        ASSERT_EQ(countHeads(bytes, pieceSize), expected) << pieceSize << " of " << bytes;
                }
            }
        }
    }

} // namespace
} // namespace heatherdrift
