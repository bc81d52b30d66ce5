#include "admission/seconds.h"
#include "admission/service_returns.h"
#include "gate/return_plan.h"
#include "gate/tests/two_tiers.h"

#include <gtest/gtest.h>
#include <iostream>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    struct caller_group {
        std::string kind;
        std::string zone;
        double perSecond = 0;
        milliseconds work {};
        milliseconds objective {};
        milliseconds deadline {};
    };

    struct group_result {
        int callers = 0;
        int served = 0;
        int inObjective = 0;
        int refusedTwice = 0;
        int returned = 0;
    };

    struct scenario {
        bool plansReturns = true;
        /// Callers that are told a time after a third of their remaining time use it elsewhere.
        bool leaves = true;
        int slots = 20;
        std::vector<caller_group> groups;
        double absentShare = 0; ///< Callers that do not return.
        duration scheduleLostAfter = std::chrono::hours(1);
        unsigned seed = 0;
        /// Nodes that assign the times of requests without a key; callers use random ones. 0: the gate assigns them.
        std::size_t entryNodes = 0;
    };

    /// Callers and the gate of one backend server: the real queue, schedule and shares, as gate_service connects them.
    class simulated_overload {
    public:
        explicit simulated_overload(scenario what)
            : results(what.groups.size())
            , m_scenario(std::move(what))
            , m_queue({ m_scenario.slots, milliseconds(200) })
        {
            m_entries.resize(m_scenario.entryNodes);
            if (m_scenario.plansReturns)
                m_queue.expectReturns([this](int priority, time_point until) {
                    return plan.schedule().dueBefore(priority, until, m_events.now);
                });
            for (std::size_t group = 0; group < m_scenario.groups.size(); ++group)
                scheduleNext(group);
            sweep();
            m_events.runUntil(m_end + seconds(10));
        }

        std::vector<group_result> results;
        return_plan plan;

    private:
        struct caller {
            std::size_t group = 0;
            time_point since {};
            bool isRepeat = false;
            return_kind kind = return_kind::none;
            std::size_t node = 0;
        };

        const caller_group& groupOf(const caller& one) const { return m_scenario.groups[one.group]; }
        return_request describe(const caller& one) const
        {
            const auto& group = groupOf(one);
            return { group.kind, group.zone, 1, std::nullopt, one.since + group.deadline };
        }

        void scheduleNext(std::size_t group)
        {
            std::exponential_distribution<double> interval(m_scenario.groups[group].perSecond);
            m_events.after(
                std::chrono::duration_cast<duration>(std::chrono::duration<double>(interval(m_arrivals[group]))),
                [this, group] {
                    if (m_events.now >= m_end)
                        return;
                    ++results[group].callers;
                    arrive({ group, m_events.now });
                    scheduleNext(group);
                });
        }

        void arrive(caller one)
        {
            const auto now = m_events.now;
            const auto& group = groupOf(one);
            const auto request = describe(one);
            auto kind = return_kind::none;
            bool isHeldBack = false;
            if (m_scenario.plansReturns) {
                kind = recordArrival(one, now);
                one.kind = kind;
                isHeldBack = plan.isHeldBack(request, kind, m_queue, now);
            }
            const queued_request queued { ++m_lastId, false, 1, group.kind, one.since + group.objective,
                one.since + group.deadline, 0, kind == return_kind::on_time };
            const auto decision = isHeldBack ? queue_decision::refuse : m_queue.submit(queued, now);
            if (decision == queue_decision::refuse)
                return refuse(one);
            m_callers[queued.id] = one;
            if (decision == queue_decision::run)
                start(queued.id);
        }

        return_kind recordArrival(caller& one, time_point now)
        {
            const auto request = describe(one);
            const auto work = m_queue.serviceTime(request.kind);
            if (m_entries.empty())
                return plan.recordArrival(request, work, now);
            one.node = m_random() % m_entries.size();
            const auto age = one.isRepeat ? now - one.since : duration();
            const auto kind = m_entries[one.node].recognise("s", request, age, now);
            // The gate learns of on-time returns only.
            plan.recordArrival(request, kind == return_kind::on_time ? kind : return_kind::none, work, now);
            return kind;
        }

        void refuse(const caller& one)
        {
            auto& result = results[one.group];
            if (one.isRepeat) {
                ++result.refusedTwice;
                return;
            }
            const auto now = m_events.now;
            const auto limit = (one.since + groupOf(one).deadline - now) / 3;
            duration wait = m_queue.expectedWait() + m_queue.meanServiceTime();
            if (m_scenario.plansReturns) {
                wait = !m_entries.empty()
                    ? m_entries[one.node].refuse("s", describe(one), one.kind, wait, now).value().at - now
                    : plan.refuse(describe(one), one.kind, m_queue, std::nullopt, now).value().at - now;
            } else {
                wait = std::chrono::duration_cast<duration>(
                    wait * std::uniform_real_distribution<double>(0.7, 1.3)(m_random));
            }
            const bool isAbsent = std::uniform_real_distribution<double>(0, 1)(m_random) < m_scenario.absentShare;
            if (isAbsent || (m_scenario.leaves && wait > limit))
                return;
            auto again = one;
            again.isRepeat = true;
            ++result.returned;
            m_events.after(std::min(wait, limit) + milliseconds(4), [this, again] { arrive(again); });
        }

        void start(request_number id)
        {
            const auto& group = groupOf(m_callers.at(id));
            plan.recordStart(describe(m_callers.at(id)), m_queue.serviceTime(group.kind), m_events.now);
            const double factor = std::uniform_real_distribution<double>(0.7, 1.3)(m_random);
            const auto time = std::chrono::duration_cast<duration>(group.work * factor);
            m_events.after(time, [this, id, time] {
                m_queue.finish(id, time);
                const auto one = m_callers.at(id);
                if (!m_entries.empty())
                    m_entries[one.node].recordServed("s", time, m_events.now);
                m_callers.erase(id);
                if (m_events.now <= one.since + groupOf(one).deadline)
                    ++results[one.group].served;
                if (m_events.now <= one.since + groupOf(one).objective)
                    ++results[one.group].inObjective;
                startNext();
            });
        }

        void startNext()
        {
            while (const auto next = m_queue.takeNext(m_events.now))
                start(*next);
        }

        void sweep()
        {
            for (const auto id : m_queue.takeUnservable(m_events.now)) {
                const auto one = m_callers.at(id);
                m_callers.erase(id);
                refuse(one);
            }
            startNext();
            if (m_events.now >= m_lostAt) {
                plan = {};
                m_lostAt = time_point::max();
            }
            m_events.after(milliseconds(10), [this] { sweep(); });
        }

        scenario m_scenario;
        event_queue m_events;
        const time_point m_end = m_events.now + seconds(10);
        time_point m_lostAt = m_events.now + m_scenario.scheduleLostAfter;
        slot_queue m_queue;
        std::vector<service_returns> m_entries;
        std::map<request_number, caller> m_callers;
        std::mt19937_64 m_random { m_scenario.seed };
        /// The same arrivals with and without the schedule.
        std::array<std::mt19937_64, 2> m_arrivals { std::mt19937_64(2 * m_scenario.seed + 1),
            std::mt19937_64(2 * m_scenario.seed + 2) };
        request_number m_lastId = 0;
    };

    /// Two zones of one kind and two kinds, each at 1.5 times the capacity of 20 slots.
    const std::vector<caller_group> twoZones { { "peek", "a", 105, milliseconds(190), milliseconds(600),
                                                   milliseconds(2500) },
        { "peek", "b", 53, milliseconds(190), milliseconds(600), milliseconds(2500) } };
    const std::vector<caller_group> twoKinds { { "peek", "a", 79, milliseconds(190), milliseconds(600),
                                                   milliseconds(2500) },
        { "export", "a", 32, milliseconds(470), milliseconds(1500), milliseconds(6000) } };

    /// Sums of several runs, since single ones of 10 s differ by some percent.
    struct summary {
        explicit summary(scenario what)
        {
            double work[2] {};
            double demand[2] {};
            constexpr unsigned runs = 10;
            for (what.seed = 0; what.seed < runs; ++what.seed) {
                const simulated_overload run(what);
                for (std::size_t group = 0; group < 2; ++group) {
                    const auto& result = run.results[group];
                    const double perRequest = inSeconds(what.groups[group].work);
                    work[group] += result.served * perRequest;
                    demand[group] += result.callers * perRequest;
                    callers += result.callers;
                    served += result.served;
                    inObjective += result.inObjective;
                    refusedTwice += result.refusedTwice;
                    returned += result.returned;
                }
            }
            servedWork = work[0] + work[1];
            const double mean = servedWork / (demand[0] + demand[1]);
            for (std::size_t group = 0; group < 2; ++group)
                shares[group] = work[group] / demand[group] / mean;
        }

        int callers = 0;
        int served = 0;
        int inObjective = 0;
        int refusedTwice = 0;
        int returned = 0;
        double servedWork = 0; ///< Seconds.
        double shares[2] {}; ///< Served part of the group's demand, relative to that of both groups.
    };

    std::ostream& operator<<(std::ostream& out, const summary& run)
    {
        return out << "callers " << run.callers << ", returned " << run.returned << ", refused twice "
                   << run.refusedTwice << ", served " << run.served << " (in their objective " << run.inObjective
                   << "), seconds of work " << run.servedWork << ", relative shares " << run.shares[0] << " and "
                   << run.shares[1] << "\n";
    }

    // Guards against callers that are sent away with a time at which there is no capacity for them, and against a group
    // that takes the share of another one.
    TEST(ReturnTimes, CallersAtOneAndAHalfTimesTheCapacityAreNotRefusedTwice)
    {
        for (const auto& groups : { twoZones, twoKinds }) {
            const summary before({ .plansReturns = false, .groups = groups });
            const summary after({ .groups = groups });
            std::cout << "without: " << before << "with:    " << after;
            EXPECT_LT(10 * after.refusedTwice, before.refusedTwice);
            // Without shares, the shorter kind takes the place of the other one, so that the work is compared.
            EXPECT_GT(after.servedWork, 0.98 * before.servedWork);
            EXPECT_NEAR(after.shares[0], 1, 0.1);
            EXPECT_NEAR(after.shares[1], 1, 0.1);
        }
    }

    // Guards against callers that are refused again because they return through another node than the one that told
    // them a time, or because the times of several nodes exceed the capacity.
    TEST(ReturnTimes, CallersWithoutAKeyReturnThroughAnyEntryNode)
    {
        const summary before({ .plansReturns = false, .groups = twoZones });
        const summary after({ .groups = twoZones, .entryNodes = 10 });
        std::cout << "without: " << before << "with:    " << after;
        EXPECT_LT(10 * after.refusedTwice, before.refusedTwice);
        EXPECT_GT(after.servedWork, 0.98 * before.servedWork);
        EXPECT_NEAR(after.shares[0], 1, 0.1);
        EXPECT_NEAR(after.shares[1], 1, 0.1);
    }

    // Guards against a schedule that makes things worse for callers that come back whatever they are told: those that
    // cannot be served are then refused twice in any case, but not more of them.
    TEST(ReturnTimes, CallersThatComeBackWithoutATimeAreNotRefusedMoreOften)
    {
        const summary before({ .plansReturns = false, .leaves = false, .groups = twoZones });
        const summary after({ .leaves = false, .groups = twoZones });
        std::cout << "without: " << before << "with:    " << after;
        EXPECT_LT(after.refusedTwice, 1.05 * before.refusedTwice);
        EXPECT_GT(after.servedWork, 0.98 * before.servedWork);
    }

    // Guards against capacity that stays unused because it is kept for callers that do not return.
    TEST(ReturnTimes, CapacityOfCallersThatStayAwayIsUsed)
    {
        const summary before({ .plansReturns = false, .groups = twoZones, .absentShare = 0.5 });
        const summary after({ .groups = twoZones, .absentShare = 0.5 });
        std::cout << "without: " << before << "with:    " << after;
        EXPECT_GT(after.servedWork, 0.97 * before.servedWork);
    }

    // Guards against a loss of the schedule that does more harm than the returns of its last second being treated as
    // they are today.
    TEST(ReturnTimes, LossOfTheScheduleCostsOnlyItsReturns)
    {
        const summary before({ .plansReturns = false, .groups = twoZones });
        const summary after({ .groups = twoZones, .scheduleLostAfter = seconds(5) });
        std::cout << "without: " << before << "lost:    " << after;
        EXPECT_LT(10 * after.refusedTwice, before.refusedTwice);
        EXPECT_GT(after.servedWork, 0.97 * before.servedWork);
    }

    // Guards against refusals and reservations without a lack of capacity.
    TEST(ReturnTimes, NothingChangesBelowTheCapacity)
    {
        auto groups = twoZones;
        for (auto& group : groups)
            group.perSecond *= 0.5;
        const summary before({ .plansReturns = false, .groups = groups });
        const summary after({ .groups = groups });
        std::cout << "without: " << before << "with:    " << after;
        EXPECT_LE(after.refusedTwice, before.refusedTwice);
        EXPECT_GE(after.inObjective, 0.99 * before.inObjective);
    }

} // namespace
} // namespace heatherdrift
