#include "mesh/forward_protocol.h"
#include "mesh/internal/range_replicas.h"
#include "mesh/internal/text_delta.h"
#include "mesh/member.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    const time_point now { std::chrono::hours(1) };

    routed_request makeRequest()
    {
        routed_request out;
        out.message = { "POST", "/a?b", { { "X-Own", "1" } }, "body" };
        out.id = "r1";
        out.route = "route";
        out.service = "service";
        out.callerService = "caller";
        out.objective = now + std::chrono::milliseconds(100);
        out.deadline = now + std::chrono::milliseconds(900);
        out.priority = 2;
        out.isFromOwnHost = true;
        out.key = 77;
        return out;
    }

    // Guards against a hop that loses fields of a request or passes its own headers on to the backend server.
    TEST(ForwardProtocol, RequestIsDecodedWithoutTheHeadersOfTheProtocol)
    {
        const auto sent = makeRequest();
        const auto received = decodeForward(encodeForward(sent, now), now);
        ASSERT_TRUE(received.has_value());
        const auto& got = received.value();
        EXPECT_EQ(got.message, sent.message);
        EXPECT_EQ(got.id, sent.id);
        EXPECT_EQ(got.service, sent.service);
        EXPECT_EQ(got.callerService, sent.callerService);
        EXPECT_EQ(got.objective, sent.objective);
        EXPECT_EQ(got.deadline, sent.deadline);
        EXPECT_EQ(got.priority, 2);
        EXPECT_TRUE(got.isFromOwnHost);
        EXPECT_FALSE(got.isIdempotent);
        EXPECT_EQ(got.key, 77u);
    }

    // Guards against accepting a request that was not forwarded by a node.
    TEST(ForwardProtocol, PlainRequestIsRejected)
    {
        EXPECT_TRUE(decodeForward({ "GET", "/", {}, "" }, now).has_error());
    }

    // Guards against using a damaged header with table states and against passing it on to the caller.
    TEST(ForwardProtocol, DamagedTableStatementsAreIgnored)
    {
        for (const char* text : { "1,2,3", "1,2,3,x", "1,2,3,-4", "" }) {
            auto message = encodeAnswer({});
            message.head.headers.set("heatherdrift-tables", text);
            const auto got = decodeAnswer(message);
            ASSERT_TRUE(got.has_value());
            EXPECT_FALSE(got.value().load.tables) << text;
            EXPECT_FALSE(got.value().response.head.headers.find("heatherdrift-tables"));
        }
    }

    // Guards against losing the verdict of a refusal, which would turn "not run" into "may have run".
    TEST(ForwardProtocol, AnswersKeepTheirVerdict)
    {
        gate_answer refused;
        refused.reason = error_code::overloaded;
        refused.retryAfter = std::chrono::milliseconds(250);
        const table_statements tables { { 40, std::chrono::milliseconds(900) }, { 71, std::chrono::milliseconds(3) } };
        refused.load = { "life", 1.5, 0.7, 12, true, tables };
        const auto got = decodeAnswer(encodeAnswer(refused));
        ASSERT_TRUE(got.has_value());
        EXPECT_EQ(got.value().outcome, verdict::not_run);
        EXPECT_EQ(got.value().reason, error_code::overloaded);
        EXPECT_EQ(got.value().retryAfter, refused.retryAfter);
        EXPECT_EQ(got.value().load, refused.load);
        EXPECT_FALSE(got.value().reachedBackend);

        gate_answer ran;
        ran.outcome = verdict::ran;
        ran.reachedBackend = true;
        ran.response = { { 200, { { "X-Own", "1" } } }, "body" };
        const auto answered = decodeAnswer(encodeAnswer(ran));
        ASSERT_TRUE(answered.has_value());
        EXPECT_EQ(answered.value().response, ran.response);
    }

    // Guards against treating a response without a verdict, as from another program, as "not run".
    TEST(ForwardProtocol, AnswerWithoutAVerdictMayHaveRun)
    {
        const auto got = decodeAnswer({ { 503, {} }, "" });
        ASSERT_TRUE(got.has_error());
        EXPECT_EQ(got.error().outcome, verdict::may_have_run);
    }

    // Guards against rows that do not decode to what was encoded.
    TEST(MeshRows, RoundTrip)
    {
        const mesh_member member { "n1", "z1", { "10.0.0.1", 80 }, "s", "i@1", "i", 12, true };
        EXPECT_EQ(parseMember(toJson(member)).value(), member);
        EXPECT_TRUE(parseMember("{}").has_error());
        const auto map = range_map().assign({ 1, 5 }, "a", 3);
        const auto ranges = decodeRanges(encodeRanges({ 9, map }));
        ASSERT_TRUE(ranges.has_value());
        EXPECT_EQ(ranges.value().map, map);
        EXPECT_EQ(ranges.value().version, 9);
        EXPECT_TRUE(decodeRanges(encodeRanges({ 0, map })).has_error());
        for (const char* text : { "", "9", "9\n", "\n[]", "x\n[]", "-9\n[]" })
            EXPECT_TRUE(decodeRanges(encodeDelta(text, "")).has_error()) << text;
        EXPECT_TRUE(decodeRanges("9\n[]").has_error());
    }

} // namespace
} // namespace heatherdrift
