#include "telemetry/trace.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace heatherdrift {
namespace {

    const std::string validHeader = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

    TEST(Trace, HeaderRoundTrip)
    {
        const auto context = parseTraceparent(validHeader);
        ASSERT_TRUE(context);
        EXPECT_TRUE(context->isSampled);
        EXPECT_EQ(toTraceparent(*context), validHeader);
    }

    // Guards against a malformed header that breaks the trace of another request or crashes the parser.
    TEST(Trace, RejectsMalformedHeaders)
    {
        const std::string cases[] = {
            "",
            "00",
            validHeader + "0",
            "01" + validHeader.substr(2),
            "00-4BF92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
            "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
            "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
            "00-4bf92f3577b34da6a3ce929d0e0e4736_00f067aa0ba902b7-01",
        };
        for (const auto& header : cases)
            EXPECT_FALSE(parseTraceparent(header)) << header;
    }

    TEST(Trace, ChildKeepsTheTraceAndGetsItsOwnSpan)
    {
        const auto parent = startTrace(true);
        const auto child = childOf(parent);
        EXPECT_EQ(child.traceId, parent.traceId);
        EXPECT_NE(child.spanId, parent.spanId);
        EXPECT_TRUE(parseTraceparent(toTraceparent(child)));
    }

    // Guards against a change of the published span format that its readers do not expect.
    TEST(Trace, JsonFormOfASpan)
    {
        const span_record record { { "a", "b", true }, "c", "entry", "i1", time_point(duration(5)),
            time_point(duration(9)), "ran", "" };
        EXPECT_EQ(nlohmann::json::parse(toJsonLine(record)),
            nlohmann::json::parse(R"({"trace_id":"a","span_id":"b","parent_span_id":"c","name":"entry","instance":"i1",
            "start_us":5,"end_us":9,"verdict":"ran","error":""})"));
    }

} // namespace
} // namespace heatherdrift
