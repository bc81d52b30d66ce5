#include "gate/tests/two_tiers.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    struct kind_count {
        int sent = 0;
        int served = 0;
        int started = 0;
        int discarded = 0; ///< Started, and ended badly.

        double servedShare() const { return served / std::max(1.0, static_cast<double>(sent)); }
        double discardedShare() const { return discarded / std::max(1.0, static_cast<double>(started)); }
    };

    /// Calling service of some servers with 208 slots: "outer" makes two calls in sequence, "plain" none. Called
    /// service of four servers with 13 slots: "inner" are those calls, and callers of its own send the urgent "direct"
    /// requests.
    class two_tiers {
    public:
        two_tiers(int gates, std::uint64_t seed)
            : m_random(seed)
        {
            for (int i = 0; i < 4; ++i)
                m_called.push_back(std::make_unique<simulated_gate>(events, 13, nullptr));
            for (int i = 0; i < gates; ++i) {
                std::vector<duration> ages;
                for (std::size_t server = 0; server < m_called.size(); ++server)
                    ages.push_back(milliseconds(std::uniform_int_distribution(500, 1000)(m_random)));
                m_calling.push_back(
                    std::make_unique<simulated_gate>(events, 208 / gates, [this, ages](const std::string&, time_point) {
                        std::vector<reported_status> out;
                        for (std::size_t server = 0; server < ages.size(); ++server)
                            out.push_back(m_called[server]->statusBefore(ages[server]));
                        return out;
                    }));
            }
        }

        /// Sends requests so that the called service needs this share of its capacity.
        void run(double load, duration time)
        {
            counts.clear();
            constexpr double calledSlots = 4 * 13;
            constexpr double directPerSecond = 370;
            const double innerPerSecond = (load * calledSlots - directPerSecond * 0.060) / 0.038;
            const auto end = events.now + time;
            arrive("direct", directPerSecond, end, [this] { sendDirect(); });
            arrive("outer", innerPerSecond / 2, end, [this] { sendOuter(false, events.now + seconds(4)); });
            arrive("plain", 150, end, [this] { sendPlain(); });
            events.runUntil(end);
        }

        void admitAll()
        {
            for (const auto& gate : m_calling)
                gate->admitsAll = true;
        }

        event_queue events;
        std::map<std::string, kind_count> counts;
        double failingCalls = 0; ///< Share of the calls that fail whatever the load is.

        const call_graph& learnedGraph() { return m_calling[0]->calls.graph(); }

    private:
        void arrive(const std::string& kind, double perSecond, time_point end, const std::function<void()>& send)
        {
            const auto gap = std::exponential_distribution<double>(perSecond)(m_random);
            const auto next = events.now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap));
            if (next >= end)
                return;
            events.at(next, [this, kind, perSecond, end, send] {
                send();
                arrive(kind, perSecond, end, send);
            });
        }

        duration workTime(double meanMs)
        {
            const double factor = std::lognormal_distribution<double>(-0.045, 0.3)(m_random);
            return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(meanMs * factor));
        }

        simulated_gate& any(std::vector<std::unique_ptr<simulated_gate>>& gates)
        {
            return *gates[std::uniform_int_distribution<std::size_t>(0, gates.size() - 1)(m_random)];
        }

        void sendDirect()
        {
            ++counts["direct"].sent;
            simulated_request request { { 0, false, 0, "direct", events.now + milliseconds(200),
                                            events.now + milliseconds(800) },
                [this](auto done) { events.after(workTime(60), [done] { done(true); }); }, [] {},
                [this](bool) { ++counts["direct"].served; } };
            if (any(m_called).submit(request))
                any(m_called).submit(request);
        }

        void sendPlain()
        {
            any(m_calling).submit({ { 0, false, 1, "plain", events.now + milliseconds(600), events.now + seconds(4) },
                [this](auto done) { events.after(workTime(150), [done] { done(true); }); }, [] {} });
        }

        /// A refused caller returns once, after the time that it is told.
        void sendOuter(bool isRepeated, time_point deadline)
        {
            counts["outer"].sent += !isRepeated;
            auto& gate = any(m_calling);
            const auto retryAfter = gate.submit({ { 0, false, 2, "outer", events.now + seconds(2), deadline },
                [this, &gate, deadline](auto done) {
                    ++counts["outer"].started;
                    events.after(workTime(100), [=, this, &gate] { call(gate, deadline, 2, done); });
                },
                [] {}, [this](bool isGood) { ++(isGood ? counts["outer"].served : counts["outer"].discarded); } });
            if (retryAfter && !isRepeated)
                events.after(std::min<duration>(*retryAfter, (deadline - events.now) / 3),
                    [this, deadline] { sendOuter(true, deadline); });
        }

        /// The calls that remain to be made, and then the rest of the work.
        void call(simulated_gate& gate, time_point parentDeadline, int remaining, std::function<void(bool)> done)
        {
            if (remaining == 0)
                return events.after(workTime(100), [done] { done(true); });
            const auto deadline = std::min(parentDeadline, events.now + milliseconds(500));
            const auto possible
                = gate.calls.attribute({ "inner", "called", events.now + milliseconds(150), deadline }, events.now);
            const bool fails = std::bernoulli_distribution(failingCalls)(m_random);
            tryCall(gate, possible, deadline, 3, [=, this, &gate](bool isAnswered) {
                const bool isGood = isAnswered && !fails;
                if (possible)
                    gate.calls.onCallEnded(
                        *possible, isGood ? call_outcome::answered : call_outcome::refused, 0, events.now);
                isGood ? call(gate, parentDeadline, remaining - 1, done) : done(false);
            });
        }

        void tryCall(simulated_gate& gate, const std::optional<possible_call>& possible, time_point deadline,
            int attempts, std::function<void(bool)> ended)
        {
            const int priority = possible ? possible->parent.priority : 1;
            auto& server = any(m_called);
            const auto refused = [=, this, &gate] {
                attempts > 1 && events.now < deadline ? tryCall(gate, possible, deadline, attempts - 1, ended)
                                                      : ended(false);
            };
            if (server.submit({ { 0, true, priority, "inner", events.now + milliseconds(150), deadline },
                                  [this](auto done) { events.after(workTime(38), [done] { done(true); }); }, refused,
                                  [this, deadline, ended](bool) { ended(events.now <= deadline); } },
                    1))
                refused();
        }

        std::mt19937_64 m_random;
        std::vector<std::unique_ptr<simulated_gate>> m_called;
        std::vector<std::unique_ptr<simulated_gate>> m_calling;
    };

    // Guards against work that is thrown away because nested calls find no capacity (a sixth to a quarter of the
    // executions before calls were considered), against an urgent kind that is served worse than the others, and
    // against a control that wastes the capacity or keeps refusing when there is enough.
    TEST(NestedCalls, FewExecutionsAreThrownAwayAboveTheCapacityOfTheCalledService)
    {
        for (const auto& [gates, seed] :
            { std::pair(16, 20261206), std::pair(52, 20261206), std::pair(16, 20261208) }) {
            two_tiers tiers(gates, seed);
            tiers.run(0.7, seconds(10));
            EXPECT_LE(tiers.counts["outer"].discardedShare(), 0.001);
            EXPECT_GE(tiers.counts["outer"].servedShare(), 0.95);
            tiers.run(1.3, seconds(30));
            const auto outer = tiers.counts["outer"];
            const auto direct = tiers.counts["direct"];
            EXPECT_LE(outer.discardedShare(), 0.03) << gates;
            EXPECT_GE(direct.servedShare(), outer.servedShare());
            EXPECT_GE(direct.servedShare(), 0.97);
            // Two thirds of the executions have capacity for their calls.
            EXPECT_GE(outer.servedShare(), 0.85 * 0.66) << gates;
            tiers.run(0.7, seconds(10));
            tiers.run(0.7, seconds(10));
            EXPECT_GE(tiers.counts["outer"].servedShare(), 0.95) << gates;
        }
    }

    // Guards against a control that refuses executions for losses which a lower rate does not avoid, such as calls that
    // meet a slow or restarting server: on loaded deployments it refused a tenth of the requests with calls in vain.
    TEST(NestedCalls, LossesThatDoNotDependOnTheRateRefuseNoExecutions)
    {
        for (const double load : { 0.8, 0.95, 1.05 }) {
            double served[2];
            for (const bool isControlled : { false, true }) {
                two_tiers tiers(16, 20261206);
                tiers.failingCalls = 0.05;
                if (!isControlled)
                    tiers.admitAll();
                tiers.run(0.7, seconds(5));
                tiers.run(load, seconds(30));
                served[isControlled] = tiers.counts["outer"].servedShare();
            }
            EXPECT_GE(served[1], served[0] - 0.01) << load;
        }
    }

    // Guards against calls that are attributed to requests which only run at the same time: a third of the requests on
    // the calling servers make none.
    TEST(NestedCalls, CallsAreAttributedToTheKindThatMakesThem)
    {
        two_tiers tiers(16, 20261206);
        tiers.run(0.7, seconds(10));
        const auto calls = tiers.learnedGraph().callsOf("outer", 2, tiers.events.now);
        ASSERT_EQ(calls.size(), 1u);
        EXPECT_NEAR(calls[0].perExecution, 2, 0.2);
        EXPECT_EQ(calls[0].service, "called");
        EXPECT_EQ(tiers.learnedGraph().height("outer"), 1);
        EXPECT_EQ(tiers.learnedGraph().height("plain"), 0);
    }

    /// Two services with one server each. A request to either makes a call to the other, to the given depth.
    class caller_cycle {
    public:
        caller_cycle(int slots, bool isEnabled, bool areRoutesSeparate)
            : m_areRoutesSeparate(areRoutesSeparate)
        {
            for (int i = 0; i < 2; ++i)
                m_gates.push_back(std::make_unique<simulated_gate>(events, slots, nullptr, isEnabled));
        }

        void send(int gate, int depth, int levels, const std::function<void(bool)>& ended)
        {
            // The route tells the levels of calls that it makes, unless a route calls itself through the other service.
            const auto kind = m_areRoutesSeparate ? "levels-" + std::to_string(levels) : "cycle";
            const auto deadline = events.now + seconds(20);
            auto& own = *m_gates[static_cast<std::size_t>(gate)];
            const auto run = [this, gate, depth, levels, deadline, &own](std::function<void(bool)> done) {
                events.after(milliseconds(5), [this, gate, depth, levels, deadline, &own, done] {
                    if (levels == 0)
                        return done(true);
                    const int other = 1 - gate;
                    const auto route = m_areRoutesSeparate ? "levels-" + std::to_string(levels - 1) : "cycle";
                    const auto call = own.calls.attribute({ route, "other", deadline, deadline }, events.now);
                    send(other, depth + 1, levels - 1, [this, other, route, call, &own, done](bool isGood) {
                        if (call)
                            own.calls.onCallEnded(*call, isGood ? call_outcome::answered : call_outcome::refused,
                                m_gates[static_cast<std::size_t>(other)]->calls.callHeight(route, 0), events.now);
                        done(isGood);
                    });
                });
            };
            if (own.submit(
                    { { 0, depth > 0, 1, kind, deadline, deadline }, run, [ended] { ended(false); }, ended }, depth))
                ended(false);
        }

        /// Requests of a burst at both services that are answered within 10 s.
        int answeredOfBurst(int levels)
        {
            for (int i = 0; i < 20; ++i) {
                send(i % 2, 0, levels, [](bool) {});
                events.runUntil(events.now + milliseconds(200));
            }
            int answered = 0;
            for (int i = 0; i < 40; ++i)
                send(i % 2, 0, levels, [&](bool isGood) { answered += isGood; });
            events.runUntil(events.now + seconds(10));
            const int inTime = answered;
            events.runUntil(events.now + seconds(20));
            return inTime;
        }

        event_queue events;

    private:
        bool m_areRoutesSeparate;
        std::vector<std::unique_ptr<simulated_gate>> m_gates;
    };

    // Guards against a deadlock: requests that wait for calls take all slots of both services, so that none of the
    // calls can run.
    TEST(NestedCalls, CallersThatWaitForEachOtherDoNotTakeAllSlots)
    {
        for (const int slots : { 2, 3, 8 }) {
            EXPECT_LT(caller_cycle(slots, false, true).answeredOfBurst(1), 40) << slots;
            EXPECT_EQ(caller_cycle(slots, true, true).answeredOfBurst(1), 40) << slots;
        }
    }

    // The same for several levels of calls between the two services, and for a route that calls itself through the
    // other service, whose height has no end.
    TEST(NestedCalls, CyclesOfServicesDoNotDeadlock)
    {
        for (const bool areRoutesSeparate : { true, false }) {
            for (const int slots : { 4, 6 }) {
                EXPECT_LT(caller_cycle(slots, false, areRoutesSeparate).answeredOfBurst(maxCallHeight), 40);
                EXPECT_EQ(caller_cycle(slots, true, areRoutesSeparate).answeredOfBurst(maxCallHeight), 40)
                    << slots << areRoutesSeparate;
            }
        }
    }

    // Guards against a server with one slot that reserves it and never runs requests with calls.
    TEST(NestedCalls, OneSlotIsNotReserved)
    {
        slot_reservation reservation;
        reservation.enable();
        EXPECT_TRUE(reservation.mayStart(maxCallHeight));
        reservation.setSlots(3);
        EXPECT_EQ(reservation.levelOf(maxCallHeight), 2);
        reservation.onStarted(2);
        EXPECT_FALSE(reservation.mayStart(2));
        EXPECT_TRUE(reservation.mayStart(1));
    }

} // namespace
} // namespace heatherdrift
