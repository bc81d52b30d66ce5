#include "gate/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;

    const time_point start { std::chrono::hours(1) };

    queued_request makeRequest(request_number id, int objectiveMs = 600, int deadlineMs = 1200)
    {
        return { id, false, 1, "kind", start + milliseconds(objectiveMs), start + milliseconds(deadlineMs) };
    }

    // A backend server that gets more requests than it has slots may never answer again on a connection. Guards against
    // exceeding the slots, for any order of arrivals and ends.
    RC_GTEST_PROP(SlotQueue, NeverRunsMoreThanItsSlots, ())
    {
        const int slots = *rc::gen::inRange(1, 6);
        slot_queue queue({ slots, milliseconds(50) });
        std::vector<request_number> running;
        std::size_t accepted = 0;
        std::size_t ended = 0;
        for (request_number id = 1; id < 200; ++id) {
            const auto now = start + milliseconds(id);
            auto request = makeRequest(id, *rc::gen::inRange(10, 900), 1500);
            request.isNested = *rc::gen::inRange(0, 4) == 0;
            request.priority = *rc::gen::inRange(0, 3);
            const auto decision = queue.submit(request, now);
            accepted += decision != queue_decision::refuse;
            if (decision == queue_decision::run)
                running.push_back(id);
            if (!running.empty() && *rc::gen::inRange(0, 2) == 0) {
                queue.finish(running.back(), milliseconds(40));
                running.pop_back();
                ++ended;
            }
            while (const auto next = queue.takeNext(now))
                running.push_back(*next);
            RC_ASSERT(queue.running() == running.size());
            RC_ASSERT(running.size() <= static_cast<std::size_t>(slots));
            RC_ASSERT(accepted == ended + queue.running() + queue.waiting());
        }
    }

    // Guards against a deadlock: the caller of a nested request occupies a slot until it gets the answer.
    TEST(SlotQueue, NestedRequestsGoFirst)
    {
        slot_queue queue({ 1, milliseconds(10) });
        EXPECT_EQ(queue.submit(makeRequest(1), start), queue_decision::run);
        EXPECT_EQ(queue.submit(makeRequest(2), start), queue_decision::wait);
        auto nested = makeRequest(3);
        nested.isNested = true;
        nested.priority = 9;
        EXPECT_EQ(queue.submit(nested, start), queue_decision::wait);
        queue.finish(1, milliseconds(10));
        EXPECT_EQ(queue.takeNext(start), 3u);
    }

    // Guards against a request that is served after one of lower priority with an earlier objective.
    TEST(SlotQueue, HigherPriorityGoesFirst)
    {
        slot_queue queue({ 1, milliseconds(10) });
        queue.submit(makeRequest(1), start);
        auto low = makeRequest(2, 50);
        low.priority = 2;
        queue.submit(low, start);
        queue.submit(makeRequest(3), start);
        queue.finish(1, milliseconds(10));
        EXPECT_EQ(queue.takeNext(start), 3u);
    }

    // Guards against requests that miss their objective because those that already missed theirs are served first, as
    // under a load spike.
    TEST(SlotQueue, RequestsThatCanMeetTheirObjectiveGoBeforeLateOnes)
    {
        slot_queue queue({ 1, milliseconds(100) });
        queue.submit(makeRequest(1), start);
        EXPECT_EQ(queue.submit(makeRequest(2, 150), start), queue_decision::wait);
        EXPECT_EQ(queue.submit(makeRequest(3, 800), start), queue_decision::wait);
        queue.finish(1, milliseconds(100));
        EXPECT_EQ(queue.takeNext(start + milliseconds(100)), 3u);
    }

    // Guards against a queue that grows under a load spike until requests wait for their deadlines: an early refusal
    // lets the caller retry when there is capacity.
    TEST(SlotQueue, RefusesAtOnceWhatCannotBeServedInTime)
    {
        slot_queue queue({ 2, milliseconds(100) });
        int waiting = 0;
        for (request_number id = 1; id < 200; ++id) {
            if (queue.submit(makeRequest(id, 300, 1200), start) == queue_decision::wait)
                ++waiting;
        }
        // Two slots finish at most four more requests within 300 ms, and two late ones may wait for a free slot.
        EXPECT_LE(waiting, 6);
        EXPECT_GE(waiting, 2);
        EXPECT_GT(queue.expectedWait(), duration::zero());
    }

    // Guards against requests that stay in the queue when they can no longer meet their deadline.
    TEST(SlotQueue, RequestsThatCannotMeetTheirDeadlineAreRemoved)
    {
        slot_queue queue({ 1, milliseconds(100) });
        queue.submit(makeRequest(1), start);
        queue.submit(makeRequest(2, 250, 300), start);
        EXPECT_TRUE(queue.takeUnservable(start + milliseconds(100)).empty());
        EXPECT_EQ(queue.takeUnservable(start + milliseconds(290)), std::vector<request_number> { 2 });
        EXPECT_EQ(queue.waiting(), 0u);
    }

    // Guards against a cancelled request that still gets a slot.
    TEST(SlotQueue, CancelledRequestsDoNotRun)
    {
        slot_queue queue({ 1, milliseconds(10) });
        queue.submit(makeRequest(1), start);
        queue.submit(makeRequest(2), start);
        EXPECT_TRUE(queue.cancel(2));
        EXPECT_FALSE(queue.cancel(1));
        queue.finish(1, std::nullopt);
        EXPECT_EQ(queue.takeNext(start), std::nullopt);
    }

    /// Outcomes of the requests of a simulated load.
    struct load_outcome {
        int inTime = 0;
        int late = 0;
        std::vector<duration> refusedAfter; ///< Times from arrival to refusal.
    };

    /// Simulates 12 slots and requests of about 270 ms that arrive at a constant mean rate for 10 s.
    load_outcome simulateLoad(double loadFactor)
    {
        constexpr int slots = 12;
        constexpr auto step = milliseconds(1);
        constexpr double meanMs = 270;
        std::mt19937_64 random(20261204);
        slot_queue queue({ slots, milliseconds(100) });
        std::map<request_number, time_point> arrivedAt;
        std::map<request_number, std::pair<time_point, time_point>> running; // Start and end by request.
        load_outcome out;
        request_number lastId = 0;
        const auto begin = [&](request_number id, time_point now) {
            std::lognormal_distribution<double> time(std::log(meanMs) - 0.125, 0.5);
            running[id] = { now, now + std::chrono::duration_cast<duration>(milliseconds(1) * time(random)) };
        };
        for (auto now = start; now < start + std::chrono::seconds(10); now += step) {
            if (std::bernoulli_distribution(loadFactor * slots / meanMs)(random)) {
                arrivedAt[++lastId] = now;
                const auto decision = queue.submit(
                    { lastId, false, 1, "kind", now + milliseconds(600), now + milliseconds(1500) }, now);
                if (decision == queue_decision::run)
                    begin(lastId, now);
                if (decision == queue_decision::refuse)
                    out.refusedAfter.push_back({});
            }
            for (const auto id : queue.takeUnservable(now))
                out.refusedAfter.push_back(now - arrivedAt[id]);
            std::erase_if(running, [&](const auto& entry) {
                const auto& [id, times] = entry;
                if (times.second > now)
                    return false;
                queue.finish(id, times.second - times.first);
                ++(times.second - arrivedAt[id] <= milliseconds(600) ? out.inTime : out.late);
                return true;
            });
            while (const auto next = queue.takeNext(now))
                begin(*next, now);
        }
        return out;
    }

    // With a hot key, one backend server gets three times the load it can serve. Guards against requests that are
    // overtaken by newer ones until their deadline, so that the refusal comes too late for a retry: half of 13,148
    // refusals came after more than 1.3 s.
    TEST(SlotQueue, RefusalsAreEarlyWhileNewerRequestsOvertake)
    {
        auto outcome = simulateLoad(3);
        std::ranges::sort(outcome.refusedAfter);
        ASSERT_GT(outcome.refusedAfter.size(), 100u);
        EXPECT_LE(outcome.refusedAfter[outcome.refusedAfter.size() * 9 / 10], milliseconds(200));
        EXPECT_LE(outcome.refusedAfter[outcome.refusedAfter.size() * 99 / 100], milliseconds(600));
        EXPECT_GE(outcome.inTime + outcome.late, 0.9 * 12 / 0.27 * 10);
    }

    // Guards against refusals while there is capacity for late requests.
    TEST(SlotQueue, LateRequestsAreQueuedBelowCapacity)
    {
        const auto outcome = simulateLoad(0.9);
        EXPECT_LE(static_cast<double>(outcome.refusedAfter.size()), 0.03 * 0.9 * 12 / 0.27 * 10);
    }

} // namespace
} // namespace heatherdrift
