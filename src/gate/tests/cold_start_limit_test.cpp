#include "gate/cold_start_limit.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;
    using std::chrono::milliseconds;

    const time_point start { std::chrono::hours(1) };

    /// Of a process that has been running for a while, beside a backend server that states that it is cold.
    cold_start_limit makeLimit(double rate, duration coldFor = 60s)
    {
        cold_start_limit limit(start - 5s);
        limit.configure({ rate, {} });
        limit.recordHeartbeat(coldFor, start);
        return limit;
    }

    bool exceeds(std::vector<time_point> times, std::size_t perSecond)
    {
        std::ranges::sort(times);
        for (std::size_t i = perSecond; i < times.size(); ++i) {
            if (times[i] - times[i - perSecond] < 1s)
                return true;
        }
        return false;
    }

    // Guards against a cold backend server that crashes, since requests sent late in one second and those sent early in
    // the next arrive within one second, or since a start was withdrawn, late or counted twice.
    RC_GTEST_PROP(ColdStartLimit, NoSlidingSecondHasMoreThanTheRate, ())
    {
        const int rate = *rc::gen::inRange(1, 40);
        auto limit = makeLimit(rate);
        std::vector<time_point> sent;
        std::vector<time_point> arrived;
        auto now = start;
        const auto steps = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 60));
        for (request_number id = 1; id <= steps.size(); ++id) {
            const int step = steps[id - 1];
            now += milliseconds(step);
            if (limit.startDelay(0, now) > duration::zero())
                continue;
            limit.recordStart(id, now);
            if (step % 7 == 0) {
                limit.withdrawStart(id);
                continue;
            }
            // Some wait for their connection.
            const auto sentAt = now + milliseconds(step % 5 == 0 ? step : 0);
            if (sentAt > now)
                limit.postponeStart(id, now = sentAt);
            sent.push_back(sentAt);
            arrived.push_back(sentAt + milliseconds((step * 31) % 50));
        }
        RC_ASSERT(!exceeds(sent, static_cast<std::size_t>(rate)));
        RC_ASSERT(!exceeds(arrived, static_cast<std::size_t>(rate)));
    }

    // Guards against a backend server that turns cold in the middle: what it got while it was warm counts.
    RC_GTEST_PROP(ColdStartLimit, StartsBeforeItTurnedColdCount, ())
    {
        auto limit = makeLimit(16, 0s);
        std::vector<time_point> sent;
        const auto before = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 1000));
        for (const int at : before)
            sent.push_back(start + milliseconds(at));
        std::ranges::sort(sent);
        request_number id = 0;
        for (const auto at : sent) {
            EXPECT_EQ(limit.startDelay(0, at), duration::zero());
            limit.recordStart(++id, at);
        }
        limit.recordHeartbeat(2s, start + 1s);
        for (auto now = start + 1s; now < start + 3s; now += 1ms) {
            if (limit.startDelay(0, now) > duration::zero())
                continue;
            limit.recordStart(++id, now);
            const auto inLastSecond = std::ranges::count_if(sent, [&](time_point at) { return now - at < 1s; }) + 1;
            RC_ASSERT(inLastSecond <= 16);
            sent.push_back(now);
        }
        RC_ASSERT(id >= 40 + 16);
    }

    // Guards against waits and refusals that are derived from another rate than the one that requests get.
    RC_GTEST_PROP(ColdStartLimit, DelayIsTheTimeOfTheStart, ())
    {
        auto limit = makeLimit(*rc::gen::inRange(1, 30));
        auto now = start;
        for (request_number id = 1; id <= 40; ++id) {
            now += milliseconds(*rc::gen::inRange(0, 120));
            if (limit.startDelay(0, now) == duration::zero())
                limit.recordStart(id, now);
        }
        const auto ahead = *rc::gen::inRange<std::size_t>(0, 40);
        const auto expected = now + limit.startDelay(ahead, now);
        for (request_number id = 100; id < 100 + ahead; ++id) {
            now += limit.startDelay(0, now);
            RC_ASSERT(limit.startDelay(0, now) == duration::zero());
            limit.recordStart(id, now);
        }
        const auto error = now + limit.startDelay(0, now) - expected;
        RC_ASSERT(error <= 100ms);
        RC_ASSERT(error >= -100ms);
    }

    // Guards against a limit well below the rate, since timers on a loaded machine are late.
    TEST(ColdStartLimit, LateStartsDoNotLowerTheRate)
    {
        auto limit = makeLimit(16);
        std::mt19937_64 random(7);
        std::uniform_int_distribution<int> lateness(0, 30);
        request_number id = 0;
        for (auto now = start; now < start + 10s;) {
            limit.recordStart(++id, now);
            now += limit.startDelay(0, now) + milliseconds(lateness(random));
        }
        EXPECT_GE(id, 145u);
        EXPECT_LE(id, 160u);
    }

    // Guards against a burst at the start, after which an urgent request would wait for most of a second.
    TEST(ColdStartLimit, StartsAreEvenlySpaced)
    {
        auto limit = makeLimit(16);
        limit.recordStart(1, start);
        limit.recordStart(2, start + limit.startDelay(0, start));
        EXPECT_GE(limit.startDelay(0, start + 20ms), 40ms);
    }

    TEST(ColdStartLimit, RateBelowOneIsKept)
    {
        auto limit = makeLimit(0.5);
        limit.recordStart(1, start);
        EXPECT_GE(limit.startDelay(0, start), 2s);
        EXPECT_LE(limit.startDelay(0, start), 2100ms);
        EXPECT_GE(limit.startDelay(1, start), 4s);
    }

    // Guards against a restarted gate that adds its requests to those of its predecessor.
    TEST(ColdStartLimit, SecondBeforeTheProcessStartCountsAsUsedUp)
    {
        cold_start_limit limit(start);
        limit.configure({ 16, 3s });
        EXPECT_TRUE(limit.isLimiting()) << "unknown state";
        EXPECT_GE(limit.startDelay(0, start), 1s);
        limit.recordHeartbeat(2s, start + 100ms);
        EXPECT_GE(limit.startDelay(0, start + 100ms), 900ms);
        EXPECT_EQ(limit.startDelay(0, start + 1100ms), duration::zero());
        limit.recordHeartbeat(0s, start + 200ms);
        EXPECT_EQ(limit.startDelay(0, start + 200ms), duration::zero());
    }

    // Guards against a limit for services that have none.
    TEST(ColdStartLimit, ServicesWithoutARateAreNotLimited)
    {
        auto limit = makeLimit(0);
        for (request_number id = 0; id < 100; ++id)
            limit.recordStart(id, start);
        EXPECT_FALSE(limit.isLimiting());
        EXPECT_EQ(limit.startDelay(50, start), duration::zero());
        EXPECT_EQ(limit.status(start), std::nullopt);
    }

    // Guards against a cold backend server that gets all requests of the first moments, before the configuration of a
    // new node is known.
    TEST(ColdStartLimit, ColdServerIsLimitedBeforeTheConfigurationIsKnown)
    {
        cold_start_limit limit(start - 5s);
        EXPECT_FALSE(limit.isLimiting());
        limit.recordHeartbeat(2s, start);
        EXPECT_TRUE(limit.isLimiting());
        limit.configure({});
        EXPECT_FALSE(limit.isLimiting());
    }

    // Guards against false health answers, which may state either state, and against heartbeats that were sent before a
    // health answer.
    TEST(ColdStartLimit, HeartbeatsAndHealthAnswersAreWeighed)
    {
        auto limit = makeLimit(16, 2s);
        limit.recordHealth(0s, start + 500ms);
        EXPECT_TRUE(limit.isLimiting()) << "the heartbeat states a longer time";
        EXPECT_EQ(limit.statedEnd(), start + 2s);
        limit.recordHealth(0s, start + 2s);
        EXPECT_FALSE(limit.isLimiting());
        limit.recordHealth(3s, start + 3s);
        EXPECT_TRUE(limit.isLimiting()) << "turned cold";
        limit.recordHeartbeat(0s, start + 3100ms);
        EXPECT_TRUE(limit.isLimiting()) << "the heartbeat may be older";
        limit.recordHeartbeat(0s, start + 3970ms);
        EXPECT_FALSE(limit.isLimiting()) << "the next heartbeat is newer";
        limit.recordHeartbeat(1s, start + 5s);
        limit.recordHeartbeat(0s, start + 5100ms);
        EXPECT_FALSE(limit.isLimiting());
    }

    // Guards against a backend server that counts as warm once its stated time is over, without having said so.
    TEST(ColdStartLimit, ColdUntilItStatesOtherwise)
    {
        auto limit = makeLimit(16, 1s);
        EXPECT_TRUE(limit.isLimiting());
        EXPECT_EQ(limit.status(start + 5s)->remaining, duration::zero());
        limit.configure({ 16, 4s });
        limit.recordHeartbeat(60s, start + 5s);
        EXPECT_EQ(limit.status(start + 5s)->remaining, 4s) << "longer than it can be";
    }

    // Guards against refusals of all requests for each lost connection of a warm backend server, whose health answer
    // comes within milliseconds.
    TEST(ColdStartLimit, RequestsWaitForAnAnswerThatIsAboutToCome)
    {
        auto limit = makeLimit(1, 0s);
        limit.recordStart(1, start);
        limit.suspect(start, 150ms);
        EXPECT_EQ(limit.startDelay(3, start), 150ms);
        EXPECT_EQ(limit.status(start), std::nullopt);
        EXPECT_GE(limit.startDelay(3, start + 150ms), 3s);
        EXPECT_TRUE(limit.status(start + 150ms));
    }

    /// Outcomes of the requests of one kind.
    struct kind_outcome {
        int offered = 0;
        int served = 0; ///< Before the deadline.
        int useless = 0; ///< Served after the deadline.
        std::vector<duration> refusedAfter;
    };

    struct kind {
        int priority;
        duration objective;
        duration deadline;
        double perSecond;
    };

    /// Requests to one cold backend server with 13 slots and the service time, for 10 s.
    std::vector<kind_outcome> simulate(const std::vector<kind>& kinds, double rate, duration serviceTime)
    {
        auto now = start;
        auto limit = makeLimit(rate);
        slot_queue queue({ 13, serviceTime });
        queue.limitStarts([&](std::size_t ahead) { return limit.startDelay(ahead, now); });
        std::mt19937_64 random(11);
        std::vector<kind_outcome> out(kinds.size());
        std::map<request_number, std::pair<std::size_t, time_point>> arrived; // Kind and time of arrival.
        std::multimap<time_point, request_number> running;
        request_number lastId = 0;
        const auto run = [&](request_number id) {
            limit.recordStart(id, now);
            running.emplace(now + serviceTime, id);
        };
        for (; now < start + 10s; now += 1ms) {
            while (!running.empty() && running.begin()->first <= now) {
                const auto id = running.extract(running.begin()).mapped();
                const auto& [index, at] = arrived[id];
                ++(now - at <= kinds[index].deadline ? out[index].served : out[index].useless);
                queue.finish(id, serviceTime);
            }
            for (const auto id : queue.takeUnservable(now))
                out[arrived[id].first].refusedAfter.push_back(now - arrived[id].second);
            while (const auto next = queue.takeNext(now))
                run(*next);
            for (std::size_t index = 0; index < kinds.size(); ++index) {
                const auto& one = kinds[index];
                if (!std::bernoulli_distribution(one.perSecond / 1000)(random))
                    continue;
                ++out[index].offered;
                arrived[++lastId] = { index, now };
                const auto decision = queue.submit(
                    { lastId, false, one.priority, std::to_string(index), now + one.objective, now + one.deadline },
                    now);
                if (decision == queue_decision::run)
                    run(lastId);
                else if (decision == queue_decision::refuse)
                    out[index].refusedAfter.push_back({});
            }
        }
        return out;
    }

    // With the return of all servers after a loss of power, each cold one is offered four times its rate. Guards
    // against urgent requests that are refused while others are served, against requests that are served too late, and
    // against refusals that come so late that callers can't use their time elsewhere.
    TEST(ColdStartLimit, MostUrgentRequestsAreServedAtFourTimesTheRate)
    {
        const auto outcome
            = simulate({ { 0, 200ms, 800ms, 8 }, { 1, 400ms, 1500ms, 24 }, { 2, 2s, 4s, 32 } }, 16, 60ms);
        int served = 0;
        int useless = 0;
        std::vector<duration> refusedAfter;
        for (const auto& one : outcome) {
            served += one.served;
            useless += one.useless;
            refusedAfter.insert(refusedAfter.end(), one.refusedAfter.begin(), one.refusedAfter.end());
        }
        std::ranges::sort(refusedAfter);
        EXPECT_GE(outcome[0].served, outcome[0].offered * 95 / 100);
        EXPECT_GT(outcome[1].served, 10 * outcome[2].served);
        EXPECT_GE(served, 145) << "of 152 starts";
        EXPECT_EQ(useless, 0);
        EXPECT_LE(refusedAfter[refusedAfter.size() / 2], 20ms);
        EXPECT_LE(refusedAfter[refusedAfter.size() * 9 / 10], 400ms);
    }

    // Guards against refusals of requests for which there are starts.
    TEST(ColdStartLimit, DemandBelowTheRateIsServed)
    {
        const auto outcome = simulate({ { 0, 150ms, 500ms, 3 }, { 1, 400ms, 1500ms, 4 }, { 2, 2s, 4s, 4 } }, 16, 60ms);
        for (const auto& one : outcome)
            EXPECT_LE(one.refusedAfter.size(), 1u) << "of " << one.offered;
    }

    // Guards against refusals at a warm backend server whose state is unknown for a moment, since more urgent requests
    // took all starts when it was cold.
    TEST(ColdStartLimit, SharesOfAnEarlierColdTimeAreForgotten)
    {
        bool isLimited = true;
        duration first = 50ms;
        slot_queue queue({ 64, 20ms });
        queue.limitStarts([&](std::size_t ahead) { return isLimited ? first + duration(60'000 * ahead) : duration(); });
        const auto submit = [&](request_number id, int priority) {
            first = 50ms;
            return queue.submit({ id, false, priority, "kind", start + 1s, start + 1s }, start);
        };
        EXPECT_EQ(submit(1, 2), queue_decision::wait);
        for (request_number id = 2; id < 40; ++id) {
            EXPECT_EQ(submit(id, 0), queue_decision::wait);
            first = {};
            EXPECT_EQ(queue.takeNext(start), id);
        }
        EXPECT_EQ(submit(40, 2), queue_decision::refuse);
        isLimited = false;
        EXPECT_EQ(queue.takeNext(start), 1u);
        EXPECT_EQ(submit(41, 2), queue_decision::run);
        isLimited = true;
        EXPECT_EQ(submit(42, 2), queue_decision::wait);
    }

} // namespace
} // namespace heatherdrift
