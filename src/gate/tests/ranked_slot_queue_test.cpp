#include "gate/slot_queue.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;

    const time_point start { std::chrono::hours(1) };

    queued_request makeRequest(request_number id, int priority, bool isNested = false, int callHeight = 0)
    {
        return { id, isNested, priority, "kind", start + milliseconds(600), start + milliseconds(2000), callHeight };
    }

    slot_queue makeQueue(int slots) { return slot_queue({ slots, milliseconds(10), true }); }

    std::vector<request_number> takeAll(slot_queue& queue)
    {
        std::vector<request_number> order;
        while (const auto next = queue.takeNext(start)) {
            order.push_back(*next);
            queue.finish(*next, milliseconds(10));
        }
        return order;
    }

    // Guards against the inversion of priorities: nested calls of less urgent requests took the slots of the most
    // urgent kind, which was served worst.
    TEST(RankedSlotQueue, PriorityOfTheOuterRequestGoesFirstThenNestedOnes)
    {
        auto queue = makeQueue(1);
        queue.submit(makeRequest(1, 0), start);
        queue.submit(makeRequest(2, 2, true), start);
        queue.submit(makeRequest(3, 1), start);
        queue.submit(makeRequest(4, 1, true), start);
        queue.submit(makeRequest(5, 0), start);
        queue.finish(1, milliseconds(10));
        EXPECT_EQ(takeAll(queue), (std::vector<request_number> { 5, 4, 3, 2 }));
    }

    // Guards against waits that do not fit the order: a less urgent request waits for more urgent ones, also for those
    // that arrive later, and not the other way round.
    TEST(RankedSlotQueue, ExpectedWaitFollowsTheOrder)
    {
        auto queue = makeQueue(2);
        for (request_number id = 1; id <= 40; ++id) {
            queue.submit(makeRequest(id, 0), start + milliseconds(25 * id));
            queue.finish(id, milliseconds(25));
        }
        const auto now = start + milliseconds(1000);
        for (request_number id = 41; id <= 46; ++id) {
            auto request = makeRequest(id, 2, true);
            request.objective = request.deadline = now + std::chrono::seconds(2);
            ASSERT_NE(queue.submit(request, now), queue_decision::refuse);
        }
        EXPECT_LT(queue.expectedWait(0), queue.expectedWait(2) / 3);
        // Six requests of about 20 ms have two slots, of which urgent ones take a fifth or more.
        EXPECT_GE(queue.expectedWait(2), milliseconds(55));
        EXPECT_LE(queue.expectedWait(2), milliseconds(150));
    }

    // Guards against a call that waits for its deadline behind more urgent requests, instead of being refused while it
    // may be sent elsewhere.
    TEST(RankedSlotQueue, CallBehindMoreUrgentRequestsIsRefusedAtOnce)
    {
        auto queue = makeQueue(1);
        for (request_number id = 1; id <= 12; ++id)
            ASSERT_NE(queue.submit(makeRequest(id, 0), start), queue_decision::refuse);
        auto call = makeRequest(13, 2, true);
        call.objective = call.deadline = start + milliseconds(100);
        EXPECT_EQ(queue.submit(call, start), queue_decision::refuse);
        call.priority = 0;
        EXPECT_EQ(queue.submit(call, start), queue_decision::wait);
    }

    // Guards against requests with calls that take the slots which requests with fewer levels of calls need, and
    // against slots that stay free for want of the former. For any order of arrivals and ends.
    RC_GTEST_PROP(RankedSlotQueue, RequestsWithCallsLeaveASlotForEachLowerHeight, ())
    {
        const int slots = *rc::gen::inRange(1, 6);
        auto queue = makeQueue(slots);
        queue.submit(makeRequest(1000, 0, true), start);
        queue.finish(1000, milliseconds(10));
        std::map<request_number, int> heights;
        std::vector<request_number> running;
        for (request_number id = 1; id < 100; ++id) {
            const auto now = start + milliseconds(id);
            const int height = *rc::gen::inRange(0, maxCallHeight + 1);
            heights[id] = height;
            if (queue.submit(makeRequest(id, *rc::gen::inRange(0, 3), *rc::gen::arbitrary<bool>(), height), now)
                == queue_decision::run)
                running.push_back(id);
            if (!running.empty() && *rc::gen::arbitrary<bool>()) {
                queue.finish(running.front(), milliseconds(40));
                running.erase(running.begin());
            }
            while (const auto next = queue.takeNext(now))
                running.push_back(*next);
            for (int height = 0; height < slots; ++height) {
                const auto count = std::ranges::count_if(running, [&](auto other) { return heights[other] >= height; });
                RC_ASSERT(count <= slots - std::min(height, maxCallHeight));
            }
            if (queue.waiting() > 0)
                RC_ASSERT(static_cast<int>(running.size()) >= slots - std::min(maxCallHeight, slots - 1));
        }
    }

} // namespace
} // namespace heatherdrift
