#include "admission/admission_queue.h"

#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;

    // Runs random operations on a queue and checks each action against a simple model of the waiting and running calls.
    class queue_model {
    public:
        queue_model(int slots, double shortShare, std::size_t maxCalls)
            : m_shortShare(shortShare)
            , m_slots(slots)
            , m_queue(settings(slots, shortShare, maxCalls))
        {
        }

        void step(std::uint64_t random)
        {
            switch (random % 8) {
            case 0:
            case 1:
            case 2:
            case 3:
                submit(random / 8);
                break;
            case 4:
            case 5:
                finish(random / 8);
                break;
            case 6:
                m_now += duration(random / 8 % 40'000);
                apply(m_queue.advance(m_now));
                break;
            default:
                random / 8 % 8 == 0 ? changeSlots(random / 64) : cancel(random / 8);
            }
            checkState();
        }

        // Ends all running calls until nothing is left.
        void drain()
        {
            while (!m_running.empty()) {
                m_now += 1ms;
                finish(0);
                checkState();
            }
            RC_ASSERT(m_waiting.empty());
        }

    private:
        static admission_settings settings(int slots, double shortShare, std::size_t maxCalls)
        {
            admission_settings result;
            result.slots = slots;
            result.shortShare = shortShare;
            result.shortCalls.maxCalls = maxCalls;
            result.longCalls.maxCalls = maxCalls;
            return result;
        }

        void submit(std::uint64_t random)
        {
            const auto length = random % 3 == 0 ? call_length::long_call : call_length::short_call;
            const auto expected = length == call_length::long_call ? duration(300ms) : duration(3ms);
            const admission_request request { ++m_lastId, { length, static_cast<int>(random / 3 % 10) },
                std::string(1, static_cast<char>('a' + random / 30 % 4)), m_now + duration(random / 120 % 400) * 1000,
                expected, expected };
            m_submitted = request;
            m_waiting[request.id] = request;
            apply(m_queue.submit(request, m_now));
            m_submitted.reset();
        }

        void finish(std::uint64_t random)
        {
            apply(m_queue.advance(m_now));
            if (m_running.empty())
                return;
            const auto id = std::next(m_running.begin(), static_cast<std::ptrdiff_t>(random % m_running.size()))->first;
            m_running.erase(id);
            const bool isLongDue = m_slots > 1 && m_queue.waiting(call_length::long_call) > 0
                && m_queue.running(call_length::long_call) == 0 && static_cast<int>(m_running.size()) < m_slots;
            apply(m_queue.finish(id, m_now));
            // Long calls always get at least one slot.
            if (isLongDue)
                RC_ASSERT(m_queue.running(call_length::long_call) > 0);
        }

        void cancel(std::uint64_t random)
        {
            if (m_waiting.empty())
                return;
            const auto id = std::next(m_waiting.begin(), static_cast<std::ptrdiff_t>(random % m_waiting.size()))->first;
            RC_ASSERT(m_queue.cancel(id));
            m_waiting.erase(id);
        }

        void changeSlots(std::uint64_t random)
        {
            m_slots = static_cast<int>(random % 6) + 1;
            apply(m_queue.setSlots(m_slots, m_now));
        }

        void apply(const admission_actions& actions)
        {
            for (const auto& action : actions) {
                // Each call leaves the queue exactly once.
                const auto found = m_waiting.find(action.id);
                RC_ASSERT(found != m_waiting.end());
                const auto request = found->second;
                m_waiting.erase(found);
                if (action.step == admission_step::run)
                    checkRun(request);
                else if (action.step == admission_step::refuse)
                    checkRefusal(request);
                else
                    RC_ASSERT(action.reason->outcome == verdict::not_run);
            }
        }

        void checkRun(const admission_request& request)
        {
            m_running[request.id] = request;
            RC_ASSERT(static_cast<int>(m_running.size()) <= m_slots);
            RC_ASSERT(m_now <= request.deadline - request.needed);
            for (const auto& [id, other] : m_waiting) {
                if (other.level.length != request.level.length || isSubmitted(id))
                    continue;
                RC_ASSERT(other.level.priority <= request.level.priority);
                const bool isSameTurn = other.level == request.level && other.workspace == request.workspace;
                RC_ASSERT(!isSameTurn || other.deadline >= request.deadline);
            }
        }

        void checkRefusal(const admission_request& request)
        {
            if (!isSubmitted(request.id)) {
                RC_ASSERT(m_submitted && request.level.priority <= m_submitted->level.priority);
                return;
            }
            // A short call that can finish in time is never refused while a slot is free, reserved or not.
            const bool canFinish = m_now + request.expected <= request.deadline;
            if (request.level.length == call_length::short_call && canFinish)
                RC_ASSERT(static_cast<int>(m_running.size()) >= m_slots);
        }

        void checkState()
        {
            // Each operation returns all actions that are due.
            RC_ASSERT(m_queue.advance(m_now).empty());
            const auto running = m_queue.running(call_length::short_call) + m_queue.running(call_length::long_call);
            RC_ASSERT(running == static_cast<int>(m_running.size()));
            const auto waiting = m_queue.waiting(call_length::short_call) + m_queue.waiting(call_length::long_call);
            RC_ASSERT(waiting == m_waiting.size());
            // No slot stays free while a call waits that may use it.
            if (running < m_slots) {
                RC_ASSERT(m_queue.waiting(call_length::short_call) == 0u);
                RC_ASSERT(m_queue.waiting(call_length::long_call) == 0u
                    || m_queue.running(call_length::long_call) >= m_queue.longLimit(m_now));
            }
            const int reserved = std::min(static_cast<int>(std::lround(m_slots * m_shortShare)), m_slots - 1);
            RC_ASSERT(m_queue.longLimit(m_now) <= m_slots - reserved);
        }

        bool isSubmitted(std::uint64_t id) const { return m_submitted && m_submitted->id == id; }

        double m_shortShare;
        int m_slots;
        admission_queue m_queue;
        time_point m_now { 10s };
        std::uint64_t m_lastId = 0;
        std::optional<admission_request> m_submitted;
        std::map<std::uint64_t, admission_request> m_waiting;
        std::map<std::uint64_t, admission_request> m_running;
    };

    // Guards against calls above the limit, lost or repeated calls, refusals in spite of free slots, starvation, and a
    // wrong order, for any sequence of operations.
    RC_GTEST_PROP(AdmissionQueueProperty, KeepsItsRulesForAnySequence, (const std::vector<std::uint64_t>& operations))
    {
        queue_model model(
            *rc::gen::inRange(1, 13), *rc::gen::inRange(0, 5) * 0.25, *rc::gen::inRange<std::size_t>(1, 9));
        for (const auto operation : operations)
            model.step(operation);
        const auto more
            = *rc::gen::container<std::vector<std::uint64_t>>(300, rc::gen::inRange<std::uint64_t>(0, 1u << 30));
        for (const auto operation : more)
            model.step(operation);
        model.drain();
    }

} // namespace
} // namespace heatherdrift
