#include "routing/once_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace heatherdrift {
namespace {

    const instance_ref self { "a", 3 };
    constexpr std::uint64_t secret = 17;
    constexpr std::uint64_t fingerprint = 42;

    time_point at(std::int64_t milliseconds) { return time_point(std::chrono::milliseconds(milliseconds)); }

    once_token issueAt(once_ledger& ledger, time_point now) { return parseToken(ledger.issue(now).value()).value(); }

    TEST(OnceLedger, GrantsATokenToOneClaimant)
    {
        once_ledger ledger(self, secret, {});
        const auto token = issueAt(ledger, at(0));
        EXPECT_EQ(ledger.claim(token, fingerprint, "first", at(1)).value().what, claim_answer::kind::granted);
        const auto second = ledger.claim(token, fingerprint, "second", at(2)).value();
        EXPECT_EQ(second.what, claim_answer::kind::repeated);
        EXPECT_EQ(second.claimant, "first");
    }

    // Guards against a token that becomes unusable without a run because the response to its claim was lost.
    TEST(OnceLedger, ClaimantMayRepeatItsClaimUntilItStarts)
    {
        once_ledger ledger(self, secret, {});
        const auto token = issueAt(ledger, at(0));
        EXPECT_EQ(ledger.claim(token, fingerprint, "first", at(1)).value().what, claim_answer::kind::granted);
        EXPECT_EQ(ledger.claim(token, fingerprint, "first", at(2)).value().what, claim_answer::kind::granted);
        ledger.setStarted(token);
        EXPECT_EQ(ledger.claim(token, fingerprint, "first", at(3)).value().what, claim_answer::kind::repeated);
    }

    TEST(OnceLedger, AResendGetsTheKeptAnswer)
    {
        once_ledger ledger(self, secret, {});
        const auto token = issueAt(ledger, at(0));
        ledger.claim(token, fingerprint, "first", at(1)).value();
        ledger.setStarted(token);
        const http_response answer { { 201, {} }, "done" };
        ledger.setAnswered(token, answer);
        const auto again = ledger.claim(token, fingerprint, "second", at(2)).value();
        EXPECT_EQ(again.state, run_state::answered);
        EXPECT_EQ(again.answer, answer);
    }

    // Guards against returning the kept response to a different request with the same token.
    TEST(OnceLedger, ATokenUsedForAnotherRequestIsRefused)
    {
        once_ledger ledger(self, secret, {});
        const auto token = issueAt(ledger, at(0));
        ledger.claim(token, fingerprint, "first", at(1)).value();
        const auto other = ledger.claim(token, fingerprint + 1, "second", at(2));
        ASSERT_TRUE(other.has_error());
        EXPECT_EQ(other.error().outcome, verdict::not_run);
    }

    struct foreign_token {
        const char* name;
        once_token token;
    };

    // Guards against accepting tokens that this process never issued.
    TEST(OnceLedger, RejectsTokensThatItDidNotIssue)
    {
        once_ledger ledger(self, secret, {});
        const auto token = issueAt(ledger, at(0));
        auto later = token;
        ++later.sequence;
        auto restarted = token;
        ++restarted.issuer.number;
        auto guessed = token;
        ++guessed.check;
        once_ledger predecessor(self, secret + 1, {});
        const foreign_token cases[] = { { "sequence not issued", later }, { "other incarnation", restarted },
            { "wrong check", guessed }, { "other secret", issueAt(predecessor, at(0)) } };
        for (const auto& entry : cases) {
            const auto answer = ledger.claim(entry.token, fingerprint, "c", at(1));
            ASSERT_TRUE(answer.has_error()) << entry.name;
            EXPECT_EQ(answer.error().outcome, verdict::not_run) << entry.name;
        }
    }

    TEST(OnceLedger, MalformedTokensAreNotRun)
    {
        for (const auto* text : { "", "a", "a~1~2~3", "a~1~2~3~x", "~1~2~3~4", "a~1~2~3~4~5", "a~-1~2~3~4" }) {
            const auto token = parseToken(text);
            ASSERT_TRUE(token.has_error()) << text;
            EXPECT_EQ(token.error().outcome, verdict::not_run);
        }
    }

    // Guards against granting a token again after the record of its run was evicted.
    TEST(OnceLedger, AnOldTokenIsNeverGranted)
    {
        once_limits limits;
        limits.tokenLife = std::chrono::milliseconds(100);
        once_ledger ledger(self, secret, limits);
        const auto token = issueAt(ledger, at(0));
        ledger.claim(token, fingerprint, "first", at(50)).value();
        ledger.setStarted(token);
        EXPECT_EQ(ledger.claim(token, fingerprint, "second", at(99)).value().what, claim_answer::kind::repeated);
        EXPECT_EQ(ledger.claim(token, fingerprint, "second", at(101)).value().what, claim_answer::kind::unknown);
        EXPECT_EQ(ledger.size(), 0u);
    }

    // Guards against unbounded memory: at the limit new tokens are refused and no record is evicted early.
    TEST(OnceLedger, RefusesNewTokensAboveItsLimit)
    {
        once_limits limits;
        limits.tokens = 2;
        once_ledger ledger(self, secret, limits);
        const auto spare = issueAt(ledger, at(0));
        for (int i = 0; i < 2; ++i)
            ledger.claim(issueAt(ledger, at(1)), fingerprint, "c", at(1)).value();
        EXPECT_EQ(ledger.issue(at(2)).error().code, error_code::overloaded);
        EXPECT_EQ(ledger.claim(spare, fingerprint, "c", at(2)).error().code, error_code::overloaded);
    }

    // Guards against a once call that runs twice. In any order of claims, releases, restarts of the claimant and late
    // claims, a token is not granted again after a started run, unless that run provably did not happen.
    RC_GTEST_PROP(OnceLedger, AtMostOneRunPerToken, ())
    {
        once_ledger ledger(self, secret, {});
        const auto token = issueAt(ledger, at(0));
        std::set<std::string> granted;
        bool isStarted = false;
        bool isRunProven = false;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
        for (const int step : steps) {
            const auto claimant = "c" + std::to_string(step % 4);
            if (step < 6) {
                const auto answer = ledger.claim(token, fingerprint, claimant, at(1)).value();
                if (answer.what == claim_answer::kind::granted) {
                    RC_ASSERT(!isStarted);
                    granted = { claimant };
                }
            } else if (step < 8 && !granted.empty() && !isStarted) {
                ledger.setStarted(token);
                isStarted = true;
            } else if (step == 8 && isStarted && !isRunProven) {
                ledger.release(token);
                isStarted = false;
                granted.clear();
            } else if (step == 9 && isStarted) {
                ledger.setAnswered(token, {});
                isRunProven = true;
            } else if (step == 10 && isStarted && !isRunProven) {
                ledger.setUnknown(token);
                isRunProven = true;
            } else if (step == 11 && !isStarted) {
                ledger.release(token);
                granted.clear();
            }
        }
    }

} // namespace
} // namespace heatherdrift
