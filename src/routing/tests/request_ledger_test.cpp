#include "routing/request_ledger.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    time_point at(std::int64_t milliseconds) { return time_point(std::chrono::milliseconds(milliseconds)); }

    request_ledger_limits smallLimits()
    {
        request_ledger_limits limits;
        limits.recordRetention = std::chrono::milliseconds(1000);
        limits.refusalRetention = std::chrono::milliseconds(3000);
        limits.requests = 4;
        limits.refusals = 2;
        return limits;
    }

    // Guards against an answer of another node that ends the process, or that counts as proof that a request has not
    // run.
    TEST(InquiryAnswer, MalformedAnswersStateNothing)
    {
        for (const auto* body :
            { "", "{", "[]", "{}", R"({"state":7})", R"({"state":null})", R"({"state":["refused"]})",
                R"({"state":{"state":"refused"}})", R"({"state":"Refused"})", R"({"state":"unknown"})" })
            EXPECT_EQ(parseInquiryAnswer(body), request_state::unknown) << body;
        EXPECT_EQ(parseInquiryAnswer(R"({"state":"refused"})"), request_state::refused);
        EXPECT_EQ(parseInquiryAnswer(R"({"state":"answered","more":1})"), request_state::answered);
    }

    // Guards against reporting "refused" for a request that arrives after the inquiry and is then run.
    TEST(RequestLedger, ARefusedRequestNeverBegins)
    {
        request_ledger ledger(smallLimits());
        EXPECT_EQ(ledger.inquire("r", at(10), at(20)), request_state::refused);
        EXPECT_FALSE(ledger.begin("r", at(30)));
        EXPECT_EQ(ledger.inquire("r", at(10), at(40)), request_state::refused);
    }

    TEST(RequestLedger, DistinguishesRunningFromAnswered)
    {
        request_ledger ledger(smallLimits());
        EXPECT_TRUE(ledger.begin("r", at(10)));
        EXPECT_EQ(ledger.inquire("r", at(10), at(20)), request_state::running);
        ledger.finish("r", request_state::answered, at(30));
        EXPECT_EQ(ledger.inquire("r", at(10), at(40)), request_state::answered);
    }

    TEST(RequestLedger, ARequestIdBeginsOnce)
    {
        request_ledger ledger(smallLimits());
        EXPECT_TRUE(ledger.begin("r", at(10)));
        EXPECT_FALSE(ledger.begin("r", at(11)));
        ledger.finish("r", request_state::answered, at(12));
        EXPECT_FALSE(ledger.begin("r", at(13)));
    }

    // Guards against reporting "refused" for a request whose record was evicted.
    TEST(RequestLedger, EvictedRequestsAreUnknown)
    {
        request_ledger ledger(smallLimits());
        ledger.begin("old", at(10));
        ledger.finish("old", request_state::answered, at(20));
        EXPECT_EQ(ledger.inquire("old", at(10), at(1100)), request_state::unknown);
        // A request sent after the last evicted one ended can still be answered.
        EXPECT_EQ(ledger.inquire("new", at(1050), at(1100)), request_state::refused);
    }

    TEST(RequestLedger, RequestsEvictedForSpaceAreUnknown)
    {
        request_ledger ledger(smallLimits());
        for (int i = 0; i < 8; ++i) {
            const auto id = std::to_string(i);
            ledger.begin(id, at(10 + i));
            ledger.finish(id, request_state::answered, at(10 + i));
        }
        EXPECT_EQ(ledger.inquire("0", at(10), at(30)), request_state::unknown);
        EXPECT_EQ(ledger.inquire("7", at(17), at(30)), request_state::answered);
    }

    TEST(RequestLedger, RefusesNoMoreThanItsLimit)
    {
        request_ledger ledger(smallLimits());
        EXPECT_EQ(ledger.inquire("a", at(10), at(20)), request_state::refused);
        EXPECT_EQ(ledger.inquire("b", at(10), at(20)), request_state::refused);
        EXPECT_EQ(ledger.inquire("c", at(10), at(20)), request_state::unknown);
    }

    // Guards against a refusal that expires while the process is paused and the request is still in a socket buffer.
    TEST(RequestLedger, APauseDoesNotEndRefusals)
    {
        request_ledger ledger(smallLimits());
        EXPECT_EQ(ledger.inquire("r", at(10), at(20)), request_state::refused);
        EXPECT_FALSE(ledger.begin("r", at(600000)));
        EXPECT_TRUE(ledger.begin("other", at(600500)));
        for (int i = 1; i <= 8; ++i)
            ledger.finish("other", request_state::answered, at(600500 + 500 * i));
        EXPECT_TRUE(ledger.begin("r", at(605000)));
    }

} // namespace
} // namespace heatherdrift
