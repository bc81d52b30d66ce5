#include "admission/backend_admission.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iterator>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;

    constexpr time_point start { 1000s };

    backend_admission_settings settings(int slots)
    {
        backend_admission_settings result;
        result.queue.slots = slots;
        return result;
    }

    admission_call call(std::uint64_t id, request_fingerprint fingerprint = 0, time_point deadline = start + 60s)
    {
        return { .id = id,
            .kind = { "lookups", "GET /records" },
            .configured = call_length::short_call,
            .priority = 5,
            .customer = "a",
            .deadline = deadline,
            .fingerprint = fingerprint ? fingerprint : 1000 + id };
    }

    bool runs(const admission_actions& actions, std::uint64_t id)
    {
        return std::ranges::find(actions, admission_action { id, admission_step::run, std::nullopt }) != actions.end();
    }

    std::optional<error_code> refusalOf(const admission_actions& actions, std::uint64_t id)
    {
        for (const auto& action : actions) {
            if (action.id == id && action.reason)
                return action.reason->code;
        }
        return std::nullopt;
    }

    // Guards against a wrong class that is never corrected: calls configured as short that run long must not use the
    // slots reserved for short calls.
    TEST(BackendAdmission, LearnsTheClassFromRunningCalls)
    {
        backend_admission admission(settings(4));
        auto now = start;
        std::uint64_t id = 0;
        for (int round = 0; round < 20; ++round) {
            std::vector<std::uint64_t> running;
            for (int count = 0; count < 4; ++count) {
                const auto actions = admission.submit(call(++id, 0, now + 60s), now);
                if (runs(actions, id))
                    running.push_back(id);
                else
                    EXPECT_TRUE(admission.cancel(id, now));
            }
            now += 200ms;
            admission.advance(now);
            for (const auto one : running)
                admission.finish(one, admission_end::answered, now);
        }
        for (int count = 0; count < 4; ++count)
            admission.submit(call(++id, 0, now + 60s), now);
        EXPECT_EQ(admission.queue().running(call_length::long_call), 2);
        EXPECT_EQ(admission.queue().waiting(call_length::long_call), 2u);
    }

    // Guards against admission by the default service times although longer times were observed for the kind.
    TEST(BackendAdmission, LearnsTheServiceTime)
    {
        backend_admission admission(settings(1));
        std::uint64_t id = 0;
        for (int count = 0; count < 100; ++count) {
            admission.submit(call(++id), start + count * 30ms);
            admission.finish(id, admission_end::answered, start + count * 30ms + 30ms);
        }
        const auto now = start + 4s;
        EXPECT_EQ(refusalOf(admission.submit(call(201, 0, now + 20ms), now), 201), error_code::deadline_exceeded);
        EXPECT_TRUE(runs(admission.submit(call(202, 0, now + 40ms), now), 202));
    }

    // Guards against a crashing request that runs beside others or is not refused in the end, and against other
    // requests that are held up by it.
    TEST(BackendAdmission, IsolatesAndRefusesCrashingRequests)
    {
        constexpr request_fingerprint poison = 7;
        backend_admission admission(settings(4));
        const auto crash = [&](std::initializer_list<std::uint64_t> running, const char* name) {
            EXPECT_EQ(admission.crashed(name, start).size(), running.size());
            admission_actions actions;
            for (const auto one : running)
                std::ranges::copy(admission.finish(one, admission_end::failed, start), std::back_inserter(actions));
            return actions;
        };
        admission.submit(call(1, poison), start);
        admission.submit(call(2, 8), start);
        EXPECT_TRUE(crash({ 1, 2 }, "crash 1").empty());

        EXPECT_TRUE(runs(admission.submit(call(3, poison), start), 3));
        EXPECT_TRUE(admission.submit(call(4, poison), start).empty());
        EXPECT_TRUE(admission.submit(call(5, 8), start).empty());
        EXPECT_TRUE(runs(admission.submit(call(6, 9), start), 6));
        EXPECT_EQ(refusalOf(crash({ 3, 6 }, "crash 2"), 4), error_code::quarantined);
        EXPECT_EQ(refusalOf(admission.submit(call(10, poison), start), 10), error_code::quarantined);
    }

    // Guards against one more crash after each isolated run that ends with a status of 500 or above and counts as
    // harmless: the same request then crashes the next backend server.
    TEST(BackendAdmission, IsolatedRunThatFailsDoesNotClear)
    {
        for (const auto end : { admission_end::answered, admission_end::answered_with_failure }) {
            backend_admission admission(settings(4));
            admission.submit(call(1, 7), start);
            admission.crashed("crash 1", start);
            admission.finish(1, admission_end::failed, start);
            EXPECT_TRUE(runs(admission.submit(call(2, 7), start), 2));
            admission.finish(2, end, start + 100ms);
            EXPECT_TRUE(runs(admission.submit(call(3, 7), start + 200ms), 3));
            admission.crashed("crash 2", start + 300ms);
            admission.finish(3, admission_end::failed, start + 300ms);
            const auto refusal = refusalOf(admission.submit(call(4, 7), start + 400ms), 4);
            EXPECT_EQ(refusal == error_code::quarantined, end == admission_end::answered_with_failure);
        }
    }

    // Guards against a service time that is learned from good answers only: a failed answer has used its slot as well.
    TEST(BackendAdmission, ServiceTimeIsLearnedFromFailedAnswersToo)
    {
        backend_admission admission(settings(1));
        for (std::uint64_t id = 1; id <= 100; ++id) {
            const auto now = start + id * 30ms;
            admission.submit(call(id), now);
            admission.finish(id, admission_end::answered_with_failure, now + 30ms);
        }
        const auto now = start + 4s;
        EXPECT_EQ(refusalOf(admission.submit(call(201, 0, now + 20ms), now), 201), error_code::deadline_exceeded);
    }

    // Guards against a suspect that waits although the one before it was cleared, or waits past its deadline.
    TEST(BackendAdmission, WaitingSuspectsStartInTurnOrExpire)
    {
        backend_admission admission(settings(4));
        admission.submit(call(1, 7), start);
        admission.submit(call(2, 8), start);
        admission.crashed("crash", start);
        admission.finish(1, admission_end::failed, start);
        admission.finish(2, admission_end::failed, start);
        admission.submit(call(3, 7), start);
        admission.submit(call(4, 8), start);
        admission.submit(call(5, 8, start + 100ms), start);
        admission.submit(call(6, 8), start);
        EXPECT_TRUE(admission.cancel(6, start));
        EXPECT_EQ(admission.nextEvent(start), start + 50ms);
        EXPECT_EQ(refusalOf(admission.advance(start + 101ms), 5), error_code::deadline_exceeded);
        EXPECT_TRUE(runs(admission.finish(3, admission_end::answered, start + 200ms), 4));
        EXPECT_TRUE(admission.finish(4, admission_end::answered, start + 300ms).empty());
        EXPECT_TRUE(runs(admission.submit(call(7, 8), start + 300ms), 7));
    }

    // Guards against crash attributions from other nodes that are not applied.
    TEST(BackendAdmission, AttributionsFromOtherNodesCount)
    {
        backend_admission other(settings(1));
        backend_admission admission(settings(1));
        for (const auto* name : { "crash 1", "crash 2" }) {
            other.submit(call(1, 7), start);
            admission.merge(other.crashed(name, start));
            other.finish(1, admission_end::failed, start);
        }
        EXPECT_EQ(refusalOf(admission.submit(call(1, 7), start), 1), error_code::quarantined);
    }

    // Guards against a limit that is not applied to the queue, or that is applied although adaptsLimit is off.
    TEST(BackendAdmission, AdaptsTheLimitOnlyIfEnabled)
    {
        for (const bool adapts : { false, true }) {
            auto chosen = settings(12);
            chosen.adaptsLimit = adapts;
            backend_admission admission(chosen);
            std::uint64_t id = 0;
            for (int count = 0; count < 1000; ++count) {
                const auto now = start + count * 10ms;
                admission.submit(call(++id, 0, now + 1s), now);
                admission.finish(id, admission_end::shed, now + 5ms);
            }
            EXPECT_EQ(admission.queue().slots() < 12, adapts);
            admission.setSlots(17, start + 11s);
            EXPECT_EQ(admission.queue().slots() < 17, adapts);
        }
    }

    // Guards against policies that hooks cannot replace.
    TEST(BackendAdmission, HooksReplaceTheRules)
    {
        backend_admission_hooks hooks;
        hooks.classify = [](const work_kind&, call_length) { return call_length::long_call; };
        hooks.estimate = [](const work_kind&, call_length, time_point) { return service_quantiles { 1h, 1h, 1h, 1h }; };
        backend_admission admission(settings(4), hooks);
        EXPECT_EQ(refusalOf(admission.submit(call(1), start), 1), error_code::deadline_exceeded);
        admission.submit(call(2, 0, start + 2h), start);
        EXPECT_EQ(admission.queue().running(call_length::long_call), 1);
    }

} // namespace
} // namespace heatherdrift
