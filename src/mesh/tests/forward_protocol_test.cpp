#include "base/tests/odd_json.h"
#include "mesh/forward_protocol.h"
#include "mesh/internal/range_balancer.h"
#include "mesh/internal/range_replicas.h"
#include "mesh/internal/text_delta.h"
#include "mesh/member.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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
        out.callerZone = "z1";
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
        EXPECT_EQ(got.callerZone, "z1");
    }

    // Guards against callers that set headers between nodes: they chose the service that their request named as its
    // sender, or the node it was meant for, whose rejection then counted as proof that the node was replaced.
    TEST(ForwardProtocol, HeadersOfTheProtocolFromACallerAreDropped)
    {
        const auto sent = makeRequest();
        auto forged = sent;
        for (const char* name : { "heatherdrift-request-id", "Heatherdrift-Caller-Service", "heatherdrift-service",
                 "heatherdrift-idempotent", "heatherdrift-key", "heatherdrift-timeout-us", "heatherdrift-target" })
            forged.message.headers.add(name, "9");
        const auto message = encodeForward(forged, now);
        EXPECT_FALSE(message.headers.find(targetNodeHeader));
        const auto got = decodeForward(message, now);
        ASSERT_TRUE(got.has_value());
        EXPECT_EQ(got.value().message, sent.message);
        EXPECT_EQ(got.value().id, sent.id);
        EXPECT_EQ(got.value().service, sent.service);
        EXPECT_EQ(got.value().callerService, sent.callerService);
        EXPECT_EQ(got.value().deadline, sent.deadline);
        EXPECT_EQ(got.value().key, sent.key);
        EXPECT_FALSE(got.value().isIdempotent);
    }

    // Guards against a place in the queue that a caller gives itself, and against a hop that loses the place of a
    // return.
    TEST(ForwardProtocol, ReturnsAreStatedByNodesOnly)
    {
        auto request = makeRequest();
        EXPECT_FALSE(decodeForward(encodeForward(request, now), now).value().isReturn);
        request.message.headers.add("heatherdrift-return", "1");
        EXPECT_FALSE(decodeForward(encodeForward(request, now), now).value().isReturn);
        request.isReturn = true;
        EXPECT_TRUE(decodeForward(encodeForward(request, now), now).value().isReturn);
        gate_answer refused;
        EXPECT_FALSE(decodeAnswer(encodeAnswer(refused)).value().isReturnAssigned);
        refused.isReturnAssigned = true;
        EXPECT_TRUE(decodeAnswer(encodeAnswer(refused)).value().isReturnAssigned);
    }

    // Guards against a backend server whose answer states a verdict: an unsafe request that ran was answered as not
    // run.
    TEST(ForwardProtocol, HeadersOfTheProtocolFromABackendServerAreDropped)
    {
        gate_answer ran;
        ran.outcome = verdict::ran;
        ran.reachedBackend = true;
        ran.response = { { 500, { { "heatherdrift-verdict", "not_run" }, { "X-Own", "1" } } }, "body" };
        const auto got = decodeAnswer(encodeAnswer(ran));
        ASSERT_TRUE(got.has_value());
        EXPECT_EQ(got.value().outcome, verdict::ran);
        EXPECT_EQ(got.value().response, (http_response { { 500, { { "X-Own", "1" } } }, "body" }));
    }

    // Guards against a request for a key that runs without it, on a backend server that may not hold the key.
    TEST(ForwardProtocol, MalformedKeyIsRejected)
    {
        for (const char* key : { "x", "-1", "65536", "7 ", "99999999999999999999" }) {
            auto message = encodeForward(makeRequest(), now);
            message.headers.set("heatherdrift-key", key);
            EXPECT_TRUE(decodeForward(message, now).has_error()) << key;
        }
    }

    // Guards against a lost or forged urgency: a caller must not set it, and a malformed one must not decide.
    TEST(ForwardProtocol, OuterRequestIsCheckedAndBounded)
    {
        auto sent = makeRequest();
        EXPECT_FALSE(decodeForward(encodeForward(sent, now), now).value().outer);
        sent.message.headers.add("heatherdrift-outer", "0,1");
        EXPECT_FALSE(decodeForward(encodeForward(sent, now), now).value().outer);
        sent.outer = outer_request { 3, 2 };
        auto message = encodeForward(sent, now);
        EXPECT_EQ(decodeForward(message, now).value().outer, sent.outer);
        EXPECT_FALSE(decodeForward(message, now).value().message.headers.find("heatherdrift-outer"));
        message.headers.set("heatherdrift-outer", "0,1000000");
        EXPECT_EQ(decodeForward(message, now).value().outer, (outer_request { 0, maxCallDepth }));
        for (const char* text : { "", "1", "1,0", "-1,1", "1,-1", "x,1", "1,1,1", "99999999999,1", "1,1 " }) {
            message.headers.set("heatherdrift-outer", text);
            EXPECT_FALSE(decodeForward(message, now).value().outer) << text;
        }
    }

    // Guards against a refusal that is repeated at each gate of a service, and against heights that grow without end.
    TEST(ForwardProtocol, RefusalsForCallsAndHeightsAreTold)
    {
        gate_answer refused;
        EXPECT_FALSE(decodeAnswer(encodeAnswer(refused)).value().isFinal);
        EXPECT_FALSE(decodeAnswer(encodeAnswer(refused)).value().nestedHeight);
        refused.isFinal = true;
        refused.nestedHeight = 2;
        auto message = encodeAnswer(refused);
        EXPECT_TRUE(decodeAnswer(message).value().isFinal);
        EXPECT_EQ(decodeAnswer(message).value().nestedHeight, 2);
        message.head.headers.set("heatherdrift-nested-height", "999999999999");
        EXPECT_EQ(decodeAnswer(message).value().nestedHeight, maxCallHeight);
        message.head.headers.set("heatherdrift-nested-height", "-1");
        EXPECT_FALSE(decodeAnswer(message).value().nestedHeight);
    }

    // Guards against an answer that may have run and counts as one that did not reach the backend server, and so not
    // towards the maximum number of attempts.
    TEST(ForwardProtocol, AnswerThatMayHaveRunReachedTheBackendServer)
    {
        for (const auto outcome : { verdict::ran, verdict::may_have_run }) {
            gate_answer answer;
            answer.outcome = outcome;
            const auto got = decodeAnswer(encodeAnswer(answer));
            ASSERT_TRUE(got.has_value());
            EXPECT_TRUE(got.value().reachedBackend);
        }
    }

    // Guards against a late refusal whose log line does not tell a wait at the gate from one on the way to it.
    TEST(ForwardProtocol, RefusalTellsTheTimeAtTheGate)
    {
        gate_answer refused;
        refused.timeAtGate = std::chrono::milliseconds(1633);
        EXPECT_EQ(decodeAnswer(encodeAnswer(refused)).value().timeAtGate, refused.timeAtGate);
        // A node of the former version does not state it.
        auto message = encodeAnswer(refused);
        message.head.headers.remove("heatherdrift-time-at-gate-us");
        EXPECT_EQ(decodeAnswer(message).value().timeAtGate, duration::zero());
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

    // Guards against choosing backend servers by a damaged report, whose figures may be of other fields.
    TEST(ForwardProtocol, DamagedServerStatusIsIgnored)
    {
        for (const char* text : { "1,2,3,4,5", "1,2,3,4,5,6,7", "1,2,3,4,5,-6", "1,2,3,4,5,6,7,8,9,10", "1,2,3,4,5,x",
                 "1,2,3,4,5,6,", "99999999999999999999,2,3,4,5,6", "" }) {
            auto message = encodeAnswer({});
            message.head.headers.set("heatherdrift-status", text);
            const auto got = decodeAnswer(message);
            ASSERT_TRUE(got.has_value());
            EXPECT_FALSE(got.value().load.status) << text;
            EXPECT_FALSE(got.value().response.head.headers.find("heatherdrift-status"));
        }
    }

    // Guards against another order of the fields of a report on both sides.
    TEST(ForwardProtocol, ServerStatusIsDecodedAsItWasEncoded)
    {
        using std::chrono::milliseconds;
        gate_answer answer;
        answer.load.status
            = server_status { { milliseconds(1), milliseconds(20), milliseconds(300), milliseconds(4000) },
                  milliseconds(60), 2.5, std::nullopt };
        EXPECT_EQ(decodeAnswer(encodeAnswer(answer)).value().load.status, answer.load.status);
        answer.load.status->cold = cold_status { milliseconds(2500), milliseconds(40), 16 };
        EXPECT_EQ(decodeAnswer(encodeAnswer(answer)).value().load.status, answer.load.status);
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

    // Guards against headers of another node whose numbers overflow when they are converted or added to a point in
    // time.
    TEST(ForwardProtocol, NumbersOutOfRangeAreLimitedOrRejected)
    {
        const auto decodeWith = [](const char* header, const char* value) {
            auto message = encodeForward(makeRequest(), now);
            message.headers.set(header, value);
            return decodeForward(message, now);
        };
        for (const char* header : { "heatherdrift-timeout-us", "heatherdrift-objective-us" }) {
            const auto longest = decodeWith(header, "9223372036854775807");
            ASSERT_TRUE(longest.has_value()) << header;
            EXPECT_LE(longest.value().deadline, now + std::chrono::hours(48)) << header;
            EXPECT_LE(longest.value().objective, now + std::chrono::hours(48)) << header;
            const auto expired = decodeWith(header, "-9223372036854775807");
            ASSERT_TRUE(expired.has_value()) << header;
            EXPECT_GE(expired.value().deadline, now - std::chrono::hours(48)) << header;
            EXPECT_GE(expired.value().objective, now - std::chrono::hours(48)) << header;
            EXPECT_TRUE(decodeWith(header, "12 s").has_error()) << header;
            EXPECT_TRUE(decodeWith(header, "9223372036854775808").has_error()) << header;
        }
        EXPECT_TRUE(decodeWith("heatherdrift-priority", "4294967296").has_error());
        EXPECT_TRUE(decodeWith("heatherdrift-priority", "-1").has_error());
        for (const char* text : { "9223372036854775807", "-9223372036854775807" }) {
            auto message = encodeAnswer({});
            message.head.headers.set("heatherdrift-retry-after-us", text);
            message.head.headers.set("heatherdrift-load-permille", text);
            message.head.headers.set("heatherdrift-range-map", text);
            const auto got = decodeAnswer(message);
            ASSERT_TRUE(got.has_value());
            EXPECT_GE(got.value().retryAfter, duration::zero()) << text;
            EXPECT_LE(got.value().retryAfter, std::chrono::hours(1)) << text;
            EXPECT_GE(got.value().load.load, 0) << text;
            EXPECT_GE(got.value().load.mapVersion, 0) << text;
        }
    }

    // Guards against loads of keys that do not exist and against loads whose sum is not finite; the conversion of a
    // large number to a key was undefined.
    TEST(MeshRows, LoadReportsWithOddNumbersAreRejected)
    {
        ASSERT_TRUE(parseLoadReport(R"({"life":"a@1","demand":0.9,"keys":[[1,0.5],[65535,2]]})").has_value());
        for (const char* keys : { "[[1e300,1]]", "[[-1,1]]", "[[65536,1]]", "[[4294967297,1]]", "[[1,-1]]",
                 "[[1,1e300]]", "[[1]]", "[[1,2,3]]", "[1]", "{}", "[[1,\"2\"]]" }) {
            const auto text = R"({"life":"a@1","demand":0.9,"keys":)" + std::string(keys) + "}";
            EXPECT_TRUE(parseLoadReport(text).has_error()) << keys;
        }
    }

    // Guards against a request within a request: names of a member become headers of requests, where a line break would
    // start another header or request.
    TEST(MeshRows, MembersWithControlCharactersInTheirNamesAreRejected)
    {
        const mesh_member member { "n1", "z1", { "10.0.0.1", 80 }, "s", "i@1", "i", 12, false };
        for (const char* field : { "instance", "availability_zone", "service", "life", "backend_server" }) {
            for (const char* value : { "a\r\nX: y", "a\n", "\x7f" }) {
                auto row = json::parse(toJson(member));
                row[field] = value;
                EXPECT_TRUE(parseMember(row.dump()).has_error()) << field;
            }
        }
    }

    // Guards against exceptions for any mutation of a valid row or message, and against rows that cannot be written as
    // they were read.
    RC_GTEST_PROP(MeshRows, MutatedTextsAreDecodedOrRejected, ())
    {
        const mesh_member member { "n1", "z1", { "10.0.0.1", 80 }, "s", "i@1", "i", 12, true };
        forMutations(json::parse(toJson(member)), [](const std::string& text) {
            const auto parsed = parseMember(text);
            if (parsed.has_value())
                RC_ASSERT(parseMember(toJson(parsed.value())).value() == parsed.value());
        });
        const load_report report { "a@1", 0.9, { { 1, 0.5 }, { 2, 0.25 } } };
        forMutations(json::parse(toJson(report)), [](const std::string& text) {
            const auto load = parseLoadReport(text);
            if (load.has_value())
                RC_ASSERT(parseLoadReport(toJson(load.value())).has_value());
        });
        const auto map = range_map().assign({ 1, 5 }, "a", 3);
        forMutations(json::parse(map.toJson()), [](const std::string& text) {
            const auto ranges = decodeRanges(encodeDelta("9\n" + text, ""));
            if (ranges.has_value())
                RC_ASSERT(ranges.value().version == 9);
        });
    }

    // Guards against a caller's request that a node answers as a message of another node and that never runs, because
    // its path is one that the nodes use among themselves.
    TEST(ForwardProtocol, CallersRequestIsNoMessageBetweenNodesWhateverItsPathIs)
    {
        routed_request request;
        request.service = "s";
        for (const auto* target : { "/heatherdrift/ping", "/heatherdrift/crashes", "/a" }) {
            request.message.target = target;
            EXPECT_TRUE(isForwarded(encodeForward(request, now))) << target;
            EXPECT_FALSE(isForwarded({ "GET", target, { { targetNodeHeader, "n2" } }, "" })) << target;
        }
        request.message.headers.add("heatherdrift-service", "");
        EXPECT_EQ(encodeForward(request, now).headers.find("heatherdrift-service"), "s");
    }

} // namespace
} // namespace heatherdrift
