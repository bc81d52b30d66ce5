#include "admission/hedge_policy.h"
#include "admission/load_view.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;

    constexpr time_point start { 1000s };

    /// A policy that has seen 100 answers of 101 to 200 ms and 200 first attempts in the last 10 s, and a request whose
    /// attempt has taken 400 ms at a server that needs 200 ms more.
    struct driver {
        explicit driver(double share = 0.05)
            : policy({ .share = share })
        {
            for (int count = 0; count < 100; ++count)
                policy.recordAnswer("r", 101ms + count * 1ms, start);
            for (int count = 0; count < 200; ++count) {
                policy.recordFirstAttempt(start + count * 49ms);
                budget.recordFirstAttempt(start + count * 49ms);
            }
            request.route = "r";
            request.isEligible = true;
            request.maxAttempts = 3;
            request.sentAt = now - 400ms;
            request.objective = request.sentAt + 800ms;
            request.deadline = request.sentAt + 2s;
            request.objectiveTime = 800ms;
            situation.dueAt = now;
            situation.first = server_outlook { 0ms, 600ms };
            situation.second = server_outlook { 20ms, 100ms };
        }

        hedge_decision decide() { return policy.decide(request, situation, budget, now); }

        time_point now = start + 9900ms;
        hedge_policy policy;
        retry_budget budget { start, { .share = 0.2, .floorPerSecond = 0, .maxBalance = 100 } };
        hedge_request request;
        hedge_situation situation;
    };

    // Guards against hedges before the answer is late, by the status of the server or by recent answers, and against
    // guesses without either.
    TEST(HedgePolicy, WaitsForTheLaterOfStatusAndRecentAnswers)
    {
        driver d;
        const auto sentAt = d.request.sentAt = d.now;
        // The quantile may lag by a few answers.
        const auto byAnswers = d.policy.checkAt(d.request, server_outlook { 20ms, 50ms }, d.now);
        ASSERT_TRUE(byAnswers);
        EXPECT_GE(*byAnswers, sentAt + 185ms);
        EXPECT_LE(*byAnswers, sentAt + 196ms);
        EXPECT_EQ(d.policy.checkAt(d.request, server_outlook { 200ms, 50ms }, d.now), sentAt + 250ms);
        EXPECT_EQ(d.policy.checkAt(d.request, std::nullopt, d.now), byAnswers);
        EXPECT_EQ(d.policy.checkAt(d.request, std::nullopt, d.now + 1s), d.now + 1s);
        EXPECT_FALSE(d.policy.checkAt(d.request, server_outlook { 2s, 0ms }, d.now)); // The deadline comes first.
        EXPECT_FALSE(d.policy.checkAt(d.request, std::nullopt, d.now + 11min)); // The answers are too old.
        d.request.route = "other";
        EXPECT_FALSE(d.policy.checkAt(d.request, std::nullopt, d.now));
    }

    // Guards against a second attempt of a request that may run once, or beyond the attempts of its route.
    TEST(HedgePolicy, OnlyEligibleRequestsAreHedged)
    {
        driver d;
        d.request.isEligible = false;
        EXPECT_EQ(d.decide(), hedge_decision::not_eligible);
        EXPECT_FALSE(d.policy.checkAt(d.request, std::nullopt, d.now));
        d.request.isEligible = true;
        d.request.attempts = 3;
        EXPECT_EQ(d.decide(), hedge_decision::not_eligible);
        EXPECT_FALSE(d.policy.checkAt(d.request, std::nullopt, d.now));
        d.request.attempts = 2;
        EXPECT_EQ(d.decide(), hedge_decision::send);
    }

    // Guards against extra work while there is no capacity for it, which makes all answers slower.
    TEST(HedgePolicy, NoHedgeWhileTheServiceIsShortOfCapacity)
    {
        driver d;
        d.situation.usualWait = 401ms; // Of an objective of 800 ms.
        EXPECT_EQ(d.decide(), hedge_decision::short_of_capacity);
        d.situation.usualWait = 399ms;
        d.policy.recordOverload(d.now - 900ms);
        EXPECT_EQ(d.decide(), hedge_decision::short_of_capacity);
        d.policy.recordOverload(d.now - 1001ms);
        EXPECT_EQ(d.decide(), hedge_decision::send);
    }

    // Guards against hedges to servers that are cold or broken, or that do not exist.
    TEST(HedgePolicy, NoHedgeToAServerThatIsColdOrOutOfService)
    {
        driver d;
        d.situation.second->isCold = true;
        EXPECT_EQ(d.decide(), hedge_decision::no_server);
        d.situation.second->isCold = false;
        d.situation.second->isInService = false;
        EXPECT_EQ(d.decide(), hedge_decision::no_server);
        d.situation.second.reset();
        EXPECT_EQ(d.decide(), hedge_decision::no_server);
    }

    // Guards against extra work that does not help the caller.
    TEST(HedgePolicy, SecondServerHasToAnswerClearlyEarlierAndInTime)
    {
        const struct {
            const char* name;
            std::optional<server_outlook> first;
            server_outlook second;
            duration objective; ///< After the time of the decision.
            hedge_decision expected;
        } cases[] = {
            { "clearly earlier", server_outlook { 0ms, 600ms }, { 20ms, 100ms }, 400ms, hedge_decision::send },
            { "only a new request would wait", server_outlook { 2s, 100ms }, { 50ms, 100ms }, 400ms,
                hedge_decision::no_gain },
            { "hardly earlier", server_outlook { 0ms, 600ms }, { 50ms, 100ms }, 400ms, hedge_decision::no_gain },
            { "after the objective", server_outlook { 0ms, 600ms }, { 20ms, 100ms }, 110ms, hedge_decision::no_gain },
            { "objective has passed", server_outlook { 0ms, 600ms }, { 20ms, 100ms }, -10ms, hedge_decision::send },
            { "after the deadline", server_outlook { 3s, 3s }, { 1s, 700ms }, -10ms, hedge_decision::no_gain },
            { "first server is gone", std::nullopt, { 20ms, 100ms }, 400ms, hedge_decision::send },
        };
        for (const auto& one : cases) {
            driver d;
            d.situation.first = one.first;
            d.situation.second = one.second;
            d.request.objective = d.now + one.objective;
            EXPECT_EQ(d.decide(), one.expected) << one.name;
        }
    }

    // Guards against a service whose retries are used up by hedges, and the reverse.
    TEST(HedgePolicy, EachHedgeTakesATokenOfTheRetryBudget)
    {
        driver d;
        d.budget = retry_budget(d.now, { .share = 0, .floorPerSecond = 2, .maxBalance = 2 });
        const double before = d.budget.balance(d.now);
        ASSERT_EQ(before, 2);
        int sent = 0;
        for (int count = 0; count < 5; ++count)
            sent += d.decide() == hedge_decision::send;
        EXPECT_EQ(sent, static_cast<int>(before));
        EXPECT_LT(d.budget.balance(d.now), 1);
        EXPECT_EQ(d.decide(), hedge_decision::over_budget);
        EXPECT_DOUBLE_EQ(d.policy.allowance(d.now), 10 - sent);
    }

    // Guards against hedges because the own process was paused: the answers are there and have not been read.
    TEST(HedgePolicy, NoHedgeWhileTheEventLoopIsLate)
    {
        driver d;
        d.situation.dueAt = d.now - 41ms; // A twentieth of the objective is 40 ms.
        EXPECT_EQ(d.decide(), hedge_decision::loop_late);
        d.situation.dueAt = d.now - 39ms;
        EXPECT_EQ(d.decide(), hedge_decision::send);
    }

    // Guards against a slow attempt that is looked at only once, against decisions in a tight loop, and against those
    // that outlive the request.
    TEST(HedgePolicy, DecidesAgainWhileTheAttemptIsInProgress)
    {
        driver d; // The attempt has taken 400 ms.
        const auto again = [&](hedge_decision decision) {
            return hedge_policy::checkAgainAt(d.request, d.situation, decision, d.now);
        };
        EXPECT_EQ(again(hedge_decision::no_gain), d.now + 200ms);
        EXPECT_EQ(again(hedge_decision::short_of_capacity), d.now + 200ms);
        EXPECT_FALSE(again(hedge_decision::send));
        EXPECT_FALSE(again(hedge_decision::not_eligible));
        d.situation.dueAt = d.now - 50ms;
        EXPECT_EQ(again(hedge_decision::loop_late), d.now + 50ms);
        d.request.sentAt = d.now;
        EXPECT_EQ(again(hedge_decision::no_gain), d.now + 20ms);
        d.request.deadline = d.now + 20ms;
        EXPECT_FALSE(again(hedge_decision::no_gain));
    }

    // Guards against hedges without the setting.
    TEST(HedgePolicy, NoHedgeWithoutAShare)
    {
        driver d(0);
        EXPECT_FALSE(d.policy.checkAt(d.request, std::nullopt, d.now));
        EXPECT_EQ(d.decide(), hedge_decision::over_limit);
    }

    // Guards against more hedges than the limit when requests come in bursts or every answer is slow: at each hedge,
    // those of the last 10 s are at most the share of the first attempts of the last 10 s.
    RC_GTEST_PROP(HedgePolicyProperty, HedgesStayWithinTheShareOverAnyTenSeconds, ())
    {
        const double share = *rc::gen::element(0.02, 0.05, 0.2);
        driver d(share);
        d.budget = retry_budget(start, { .share = 1, .floorPerSecond = 1000, .maxBalance = 10'000 });
        std::vector<time_point> attempts;
        std::vector<time_point> hedges;
        for (int count = 0; count < 200; ++count)
            attempts.push_back(start + count * 49ms);
        const auto within = [](const std::vector<time_point>& times, time_point now) {
            return std::ranges::count_if(times, [&](time_point at) { return at > now - 10s; });
        };
        const auto gaps = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 150));
        for (std::size_t index = 0; index < gaps.size(); ++index) {
            // Pauses let attempts leave the window.
            d.now += std::chrono::milliseconds(index % 100 == 99 ? gaps[index] * 80 : gaps[index]);
            d.policy.recordFirstAttempt(d.now);
            attempts.push_back(d.now);
            d.request.sentAt = d.now - 400ms;
            d.request.objective = d.now + 400ms;
            d.request.deadline = d.now + 2s;
            d.situation.dueAt = d.now;
            if (d.decide() != hedge_decision::send)
                continue;
            hedges.push_back(d.now);
            RC_ASSERT(static_cast<double>(within(hedges, d.now))
                <= share * static_cast<double>(within(attempts, d.now)) + 1e-9);
        }
        RC_ASSERT(!hedges.empty());
    }

    // Guards against a limit so careful that hedges never happen at the load of one entry node.
    TEST(HedgePolicy, ShareIsUsedAtTheLoadOfOneEntryNode)
    {
        driver d;
        int sent = 0;
        for (int count = 0; count < 2000; ++count) { // 20 per second.
            d.now += 50ms;
            d.policy.recordFirstAttempt(d.now);
            d.budget.recordFirstAttempt(d.now);
            d.request.sentAt = d.now - 400ms;
            d.request.objective = d.now + 400ms;
            d.request.deadline = d.now + 2s;
            d.situation.dueAt = d.now;
            sent += d.decide() == hedge_decision::send;
        }
        EXPECT_GE(sent, 90);
        EXPECT_LE(sent, 110);
    }

    // Guards against hedges to a server that the view does not know to be warm, and against a view that says nothing
    // about evacuated and unknown servers.
    TEST(HedgePolicy, ViewPicksOnlyWarmServersForHedges)
    {
        load_view view(seededRandom(20261206), {});
        for (const char* id : { "a", "b", "c" })
            view.add(id, "z", false, start);
        const server_status warm { { 10ms, 10ms, 10ms, 10ms }, 100ms, 1, std::nullopt };
        auto cold = warm;
        cold.cold = cold_status { 10s, 0ms, 10 };
        view.reportStatus("a", { warm, start });
        view.reportStatus("b", { cold, start });
        const pick_options hedge { .excluded = { "a" }, .needsWarm = true };
        EXPECT_FALSE(view.pick(hedge, start + 10ms)); // The state of c is not known.
        EXPECT_TRUE(view.outlook("b", 1, start + 10ms)->isCold);
        EXPECT_TRUE(view.outlook("c", 1, start + 10ms)->isCold);
        EXPECT_FALSE(view.outlook("a", 1, start + 10ms)->isCold);
        EXPECT_EQ(view.outlook("a", 1, start)->service, 100ms);
        EXPECT_FALSE(view.outlook("d", 1, start));
        view.reportStatus("c", { warm, start });
        EXPECT_EQ(view.pick(hedge, start + 10ms), "c");
        for (int count = 0; count < 5; ++count)
            view.onCallFinished("c", { call_observation::kind::failure, std::nullopt }, start + 10ms);
        EXPECT_FALSE(view.pick(hedge, start + 20ms)); // Ejected.
        EXPECT_FALSE(view.outlook("c", 1, start + 20ms)->isInService);
    }

    // Guards against a cancelled attempt that counts as a fast answer, or that is no evidence although it was slow.
    TEST(HedgePolicy, OvertakenAttemptTookAtLeastItsTime)
    {
        load_view view(seededRandom(20261206), {});
        view.add("a", "z", false, start);
        const auto expect = [&](duration latency) {
            view.onCallStarted("a", start);
            view.onCallFinished("a", { call_observation::kind::overtaken, latency }, start);
            return view.cost("a", start);
        };
        view.onCallStarted("a", start);
        view.onCallFinished("a", { call_observation::kind::success, 100ms }, start);
        const double before = view.cost("a", start);
        EXPECT_EQ(expect(20ms), before);
        EXPECT_GT(expect(400ms), before);
    }

} // namespace
} // namespace heatherdrift
