#include "gate/stated_load.h"

#include "admission/random_function.h"

#include <gtest/gtest.h>

#include <cmath>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;

    const time_point start { std::chrono::hours(1) };
    constexpr duration usual = 100ms;

    // Guards against a statement that is used long after the slow period that it reports: the backend server would get
    // no requests, and so make no newer statement.
    TEST(StatedLoad, SlowdownFadesWithAge)
    {
        stated_load load;
        EXPECT_EQ(load.slowdown(usual, start), 1);
        load.record({ 3, 0, 8, 3 }, start);
        EXPECT_DOUBLE_EQ(load.slowdown(usual, start), 3);
        EXPECT_LT(load.slowdown(usual, start + 400ms), 2);
        EXPECT_NEAR(load.slowdown(usual, start + 5s), 1, 0.001);
        load.clear();
        EXPECT_EQ(load.slowdown(usual, start), 1);
    }

    // Guards against figures that exclude a backend server for good or give it all requests.
    TEST(StatedLoad, ImplausibleSlowdownIsLimited)
    {
        stated_load load;
        load.record({ 0, 0, 8, 1e9 }, start);
        EXPECT_LE(load.slowdown(usual, start), 20);
        load.record({ 0, 0, 8, 0 }, start);
        EXPECT_GT(load.slowdown(usual, start), 0.05);
    }

    /// Answers of a backend server that is three times slower for 400 ms every 2 s and answers 50 requests per second
    /// of two kinds, whose service times vary.
    class answering_server {
    public:
        explicit answering_server(std::function<double(bool isSlow)> statement)
            : m_statement(std::move(statement))
        {
        }

        static bool isSlow(time_point now) { return (now - start) % 2s < 400ms; }

        void run(duration time)
        {
            for (const auto end = now + time; now < end; now += 20ms) {
                const bool isShort = m_random() < 0.5;
                const double variation = std::exp(0.8 * (m_random() + m_random() + m_random() - 1.5));
                const auto work = std::chrono::duration_cast<duration>((isShort ? 40ms : 120ms) * variation);
                load.record({ 4, 0, 8, m_statement(isSlow(now)) }, now);
                load.observe(isShort ? "short" : "long", now - work * (isSlow(now) ? 3 : 1), now);
            }
        }

        stated_load load;
        time_point now = start;

    private:
        std::function<double(bool isSlow)> m_statement;
        random_function m_random = seededRandom(7);
    };

    // Guards against rejecting true statements because service times vary, and against counting a permanent slowdown
    // twice: the service time contains it.
    TEST(StatedLoad, TrueStatementsAreUsedRelativeToTheirMean)
    {
        for (const double base : { 0.5, 1.0, 1.5 }) {
            answering_server server([=](bool isSlow) { return base * (isSlow ? 3 : 1); });
            for (int part = 0; part < 20; ++part) {
                server.run(3s);
                EXPECT_TRUE(server.load.isPlausible()) << base << " after " << 3 * (part + 1) << " s";
            }
            const double service = std::chrono::duration<double>(*server.load.usualServiceTime()).count();
            for (const double slow : { 1.0, 3.0 }) {
                server.load.record({ 4, 0, 8, base * slow }, server.now);
                EXPECT_NEAR(service * server.load.slowdown(usual, server.now), 0.08 * slow, 0.02 * slow) << base;
            }
        }
    }

    // Guards against a backend server that gets most or no requests because of false statements.
    TEST(StatedLoad, FalseStatementsAreIgnoredUntilTheyAreTrue)
    {
        bool isTrue = false;
        auto random = seededRandom(11);
        const std::function<double(bool)> lies[] = { [](bool isSlow) { return isSlow ? 1.0 : 3.0; },
            [&](bool) { return random() < 0.2 ? 3.0 : 1.0; }, [&](bool) { return 0.2 + 8 * random(); } };
        for (const auto& lie : lies) {
            isTrue = false;
            answering_server server([&](bool isSlow) { return isTrue ? (isSlow ? 3.0 : 1.0) : lie(isSlow); });
            server.run(10s);
            EXPECT_FALSE(server.load.isPlausible());
            EXPECT_NEAR(server.load.slowdown(*server.load.usualServiceTime() * 2, server.now), 2, 0.01);
            isTrue = true;
            server.run(20s);
            EXPECT_TRUE(server.load.isPlausible());
        }
    }

    // Guards against a constant statement, true or false, that makes a backend server look faster than it is.
    TEST(StatedLoad, ConstantStatementsMakeNoDifference)
    {
        answering_server server([](bool) { return 0.5; });
        server.run(10s);
        EXPECT_TRUE(server.load.isPlausible());
        EXPECT_NEAR(server.load.slowdown(usual, server.now), 1, 1e-9);
    }

    // Guards against a stated queue that the gate cannot have filled.
    TEST(StatedLoad, MoreWaitingRequestsThanWereSentAreIgnored)
    {
        stated_load load;
        load.observe("kind", start - usual, start);
        load.record({ 4, 2, 4, 1 }, start);
        EXPECT_EQ(load.wait(6), usual / 2);
        EXPECT_EQ(load.wait(1), duration::zero());
        load.record({ 4, 1000000, 0, 1 }, start);
        EXPECT_EQ(load.wait(6), duration::zero());
        load.record({ 4, -3, 4, 1 }, start);
        EXPECT_EQ(load.wait(6), duration::zero());
    }

} // namespace
} // namespace heatherdrift
