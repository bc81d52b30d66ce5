#include "admission/admission_queue.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;

    constexpr time_point start { 100s };
    constexpr admission_level shortLevel { call_length::short_call, 5 };
    constexpr admission_level longLevel { call_length::long_call, 5 };

    admission_settings smallSettings(int slots, double shortShare = 0.5)
    {
        admission_settings settings;
        settings.slots = slots;
        settings.shortShare = shortShare;
        return settings;
    }

    admission_request request(std::uint64_t id, admission_level level, const std::string& workspace = "a",
        time_point deadline = start + 60s, duration expected = 2ms)
    {
        return { id, level, workspace, deadline, expected, expected };
    }

    std::vector<std::uint64_t> idsOf(const admission_actions& actions, admission_step step)
    {
        std::vector<std::uint64_t> ids;
        for (const auto& action : actions) {
            if (action.step == step)
                ids.push_back(action.id);
        }
        return ids;
    }

    using ids = std::vector<std::uint64_t>;

    // Guards against long calls that take the slots reserved for short ones, and against a reserve that leaves long
    // calls without any slot.
    TEST(AdmissionQueue, LongCallsDoNotUseReservedSlots)
    {
        struct {
            int slots;
            double share;
            int longRunning;
        } const cases[] = { { 12, 0.5, 6 }, { 17, 0.5, 8 }, { 12, 0, 12 }, { 12, 1, 1 }, { 2, 0.5, 1 }, { 1, 0.5, 1 } };
        for (const auto& entry : cases) {
            admission_queue queue(smallSettings(entry.slots, entry.share));
            for (std::uint64_t id = 1; id <= 20; ++id)
                queue.submit(request(id, longLevel), start);
            EXPECT_EQ(queue.running(call_length::long_call), entry.longRunning) << entry.slots << " " << entry.share;
            const auto actions = queue.submit(request(21, shortLevel), start);
            EXPECT_EQ(idsOf(actions, admission_step::run).size(), entry.longRunning < entry.slots ? 1u : 0u);
        }
    }

    // Guards against starvation of long calls by short load.
    TEST(AdmissionQueue, LongCallGetsTheNextSlotWhenNoneRuns)
    {
        admission_queue queue(smallSettings(2, 1));
        for (std::uint64_t id = 1; id <= 10; ++id)
            queue.submit(request(id, { call_length::short_call, 9 }), start);
        EXPECT_TRUE(queue.submit(request(11, { call_length::long_call, 0 }), start).empty());
        EXPECT_EQ(idsOf(queue.finish(1, start), admission_step::run), (ids { 11 }));
        EXPECT_EQ(idsOf(queue.finish(2, start), admission_step::run), (ids { 3 }));
    }

    // Guards against one class that starves the other when there is a single slot.
    TEST(AdmissionQueue, ClassesAlternateOnASingleSlot)
    {
        admission_queue queue(smallSettings(1));
        queue.submit(request(1, shortLevel), start);
        for (const std::uint64_t id : { 2, 3 }) {
            queue.submit(request(id, shortLevel), start);
            queue.submit(request(id + 10, longLevel), start);
        }
        ids order;
        std::uint64_t running = 1;
        for (int count = 0; count < 4; ++count) {
            running = idsOf(queue.finish(running, start), admission_step::run).at(0);
            order.push_back(running);
        }
        EXPECT_EQ(order, (ids { 12, 2, 13, 3 }));
    }

    // Guards against queueing calls that cannot meet their deadline, and against refusing calls that can.
    TEST(AdmissionQueue, RefusesCallsThatCannotMeetTheirDeadline)
    {
        struct {
            const char* name;
            int priority;
            duration timeout;
            int waitingBefore;
            std::optional<error_code> reason;
        } const cases[] = {
            { "free slot", 5, 2ms, -1, std::nullopt },
            { "free slot, but too late", 5, 1ms, -1, error_code::deadline_exceeded },
            { "some wait", 5, 1s, 100, std::nullopt },
            { "longest wait", 5, 1s, 1000, error_code::overloaded },
            { "longest wait, but the earliest deadline", 5, 10ms, 1000, std::nullopt },
            { "behind a higher priority", 4, 5s, 100, std::nullopt },
            { "behind a higher priority, tight deadline", 4, 40ms, 100, error_code::deadline_exceeded },
            { "behind a higher priority, longest wait", 4, 5s, 1000, error_code::overloaded },
            { "before a lower priority", 6, 10ms, 1000, std::nullopt },
        };
        for (const auto& entry : cases) {
            admission_queue queue(smallSettings(4));
            std::uint64_t id = 0;
            while (queue.running(call_length::short_call) < 4 && entry.waitingBefore >= 0)
                queue.submit(request(++id, shortLevel), start);
            while (static_cast<int>(queue.waiting(call_length::short_call)) < entry.waitingBefore && id < 1000)
                queue.submit(request(++id, shortLevel, "a", start + 1s), start);
            const admission_level level { call_length::short_call, entry.priority };
            const auto actions = queue.submit(request(9999, level, "a", start + entry.timeout), start);
            const bool isRefused = !idsOf(actions, admission_step::refuse).empty();
            EXPECT_EQ(isRefused, entry.reason.has_value()) << entry.name;
            if (isRefused && entry.reason) {
                EXPECT_EQ(actions.back().reason->code, *entry.reason) << entry.name;
                EXPECT_EQ(actions.back().reason->outcome, verdict::not_run);
            }
        }
    }

    // Guards against a queue full of low-priority calls that blocks higher priorities, and against one workspace that
    // occupies the whole queue.
    TEST(AdmissionQueue, FullQueueEvictsFromTheLongestQueueOfTheLowestPriority)
    {
        auto settings = smallSettings(1);
        settings.shortCalls.maxCalls = 3;
        const auto make = [&] {
            auto queue = std::make_unique<admission_queue>(settings);
            queue->submit(request(1, shortLevel), start);
            queue->submit(request(2, { call_length::short_call, 2 }, "a", start + 2s), start);
            queue->submit(request(3, { call_length::short_call, 2 }, "a", start + 3s), start);
            queue->submit(request(4, { call_length::short_call, 2 }, "b", start + 4s), start);
            return queue;
        };
        struct {
            int priority;
            const char* workspace;
            std::uint64_t refused;
        } const cases[] = { { 3, "c", 3 }, { 2, "c", 3 }, { 2, "b", 9 }, { 2, "a", 9 }, { 1, "c", 9 } };
        for (const auto& entry : cases) {
            const auto actions
                = make()->submit(request(9, { call_length::short_call, entry.priority }, entry.workspace), start);
            EXPECT_EQ(idsOf(actions, admission_step::refuse), (ids { entry.refused }))
                << entry.priority << entry.workspace;
        }
    }

    // Guards against slots spent on calls that cannot finish any more, and on calls that were cancelled.
    TEST(AdmissionQueue, ExpiredAndCancelledCallsLeaveTheQueue)
    {
        admission_queue queue(smallSettings(1));
        queue.submit(request(1, shortLevel), start);
        queue.submit(request(2, shortLevel, "a", start + 20ms), start);
        queue.submit(request(3, shortLevel, "a", start + 30ms), start);
        queue.submit(request(4, shortLevel, "a", start + 60s), start);
        EXPECT_TRUE(queue.cancel(3));
        EXPECT_FALSE(queue.cancel(3));
        EXPECT_FALSE(queue.cancel(1));
        EXPECT_EQ(queue.nextEvent(start), start + 18ms + duration(1));
        const auto actions = queue.finish(1, start + 19ms);
        EXPECT_EQ(idsOf(actions, admission_step::expire), (ids { 2 }));
        EXPECT_EQ(idsOf(actions, admission_step::run), (ids { 4 }));
        EXPECT_EQ(actions.front().reason->code, error_code::deadline_exceeded);
    }

    // Guards against a call with a distant deadline that waits indefinitely behind higher priorities.
    TEST(AdmissionQueue, CallsExpireAfterTheMaximumTimeInQueue)
    {
        admission_queue queue(smallSettings(1));
        queue.submit(request(1, shortLevel), start);
        queue.submit(request(2, { call_length::short_call, 0 }), start);
        const auto actions = queue.advance(start + 801ms);
        EXPECT_EQ(idsOf(actions, admission_step::expire), (ids { 2 }));
        EXPECT_EQ(actions.front().reason->code, error_code::overloaded);
    }

    // Guards against calls classified as short that hold their slots for long and are not counted as long calls.
    TEST(AdmissionQueue, ShortCallsAboveTheLimitCountAsLong)
    {
        ids counted;
        admission_hooks hooks;
        hooks.onCountedAsLong = [&](std::uint64_t id, time_point) { counted.push_back(id); };
        admission_queue queue(smallSettings(4), hooks);
        queue.submit(request(1, shortLevel), start);
        queue.submit(request(2, shortLevel), start);
        EXPECT_EQ(queue.nextEvent(start), start + 50ms);
        queue.advance(start + 50ms);
        EXPECT_EQ(queue.running(call_length::long_call), 2);
        EXPECT_EQ(counted, (ids { 1, 2 }));
        EXPECT_TRUE(queue.submit(request(3, longLevel), start + 50ms).empty());
        EXPECT_EQ(idsOf(queue.finish(1, start + 60ms), admission_step::run), (ids { 3 }));
        queue.finish(2, start + 70ms);
        queue.finish(3, start + 70ms);
        EXPECT_EQ(queue.running(call_length::long_call), 0);
    }

    // Guards against starting calls above a lowered limit, and against a raised limit that is not used.
    TEST(AdmissionQueue, ChangedSlotsApplyToTheNextCalls)
    {
        admission_queue queue(smallSettings(3));
        for (std::uint64_t id = 1; id <= 5; ++id)
            queue.submit(request(id, shortLevel), start);
        queue.setSlots(2, start);
        EXPECT_TRUE(queue.finish(1, start).empty());
        EXPECT_EQ(idsOf(queue.finish(2, start), admission_step::run), (ids { 4 }));
        EXPECT_EQ(idsOf(queue.setSlots(9, start), admission_step::run), (ids { 5 }));
    }

    // Guards against a workspace that keeps all slots that it got while no other workspace had calls.
    TEST(AdmissionQueue, FreedSlotGoesToTheWorkspaceWithFewerSlots)
    {
        admission_queue queue(smallSettings(8, 0.5));
        for (std::uint64_t id = 1; id <= 10; ++id)
            queue.submit(request(id, longLevel, "big", start + 60s, 1s), start);
        queue.submit(request(11, longLevel, "small", start + 60s, 1s), start);
        queue.submit(request(12, longLevel, "small", start + 60s, 1s), start);
        EXPECT_EQ(idsOf(queue.finish(1, start + 1s), admission_step::run), (ids { 11 }));
        EXPECT_EQ(idsOf(queue.finish(2, start + 1s), admission_step::run), (ids { 12 }));
        EXPECT_EQ(idsOf(queue.finish(3, start + 1s), admission_step::run), (ids { 5 }));
    }

    // Guards against policies that hooks cannot replace.
    TEST(AdmissionQueue, HooksReplaceTheRules)
    {
        admission_hooks hooks;
        hooks.reservedSlots = [](int slots, double) { return slots - 2; };
        hooks.expectedWait = [](const wait_factors&) { return duration(10s); };
        admission_queue queue(smallSettings(12), hooks);
        EXPECT_EQ(queue.longLimit(start), 2);
        for (std::uint64_t id = 1; id <= 2; ++id)
            queue.submit(request(id, longLevel), start);
        EXPECT_EQ(queue.submit(request(3, longLevel), start).at(0).reason->code, error_code::overloaded);
    }

} // namespace
} // namespace heatherdrift
