#include "admission/load_view.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;

    constexpr time_point start { 1000s };

    server_status statusOf(duration wait, duration service = 100ms, double slowdown = 1)
    {
        return { { wait, wait, wait, wait }, service, slowdown, std::nullopt };
    }

    server_status coldStatus(duration nextStartIn)
    {
        auto status = statusOf(0ms);
        status.cold = cold_status { 10s, nextStartIn, 10 };
        return status;
    }

    load_view viewOf(std::size_t servers, std::uint64_t seed = 20261206)
    {
        load_view view(seededRandom(seed), {});
        for (std::size_t index = 0; index < servers; ++index)
            view.add(std::string(1, static_cast<char>('a' + index)), "z", false, start);
        return view;
    }

    std::map<instance_id, double> shares(load_view& view, const pick_options& options, time_point now)
    {
        std::map<instance_id, double> result;
        constexpr int picks = 2000;
        for (int count = 0; count < picks; ++count)
            result[*view.pick(options, now)] += 1.0 / picks;
        return result;
    }

    // Guards against a status that does not affect the choice, and against one that affects it for too long: a backend
    // server without requests would state no better one.
    TEST(CompletionChoice, AvoidsWhatIsSlowNow)
    {
        const struct {
            const char* name;
            server_status status;
            duration age;
            double least;
            double most;
        } cases[] = {
            { "equal", statusOf(0ms), 0ms, 0.2, 0.3 },
            { "long queue", statusOf(300ms), 0ms, 0, 0.01 },
            { "slow machine", statusOf(0ms, 200ms), 0ms, 0, 0.01 },
            { "slow machine, later", statusOf(0ms, 200ms), 1s, 0, 0.01 },
            { "slow now", statusOf(0ms, 100ms, 3), 0ms, 0, 0.01 },
            { "unknown", statusOf(300ms, 100ms, 3), 40s, 0.2, 1 },
        };
        for (const auto& entry : cases) {
            auto view = viewOf(4);
            const auto now = start + 60s;
            view.reportStatus("a", { entry.status, now - entry.age });
            for (const auto* other : { "b", "c", "d" })
                view.reportStatus(other, { statusOf(0ms), now - 10ms });
            const double share = shares(view, {}, now)["a"];
            EXPECT_GE(share, entry.least) << entry.name;
            EXPECT_LE(share, entry.most) << entry.name;
        }
    }

    // Guards against other picks in deployments without statuses, after the last one has become old, and after the
    // gates have stopped stating them.
    TEST(CompletionChoice, WithoutRecentStatusesThePicksAreAsBefore)
    {
        auto plain = viewOf(4);
        auto informed = viewOf(4);
        informed.reportStatus("a", { statusOf(300ms), start });
        informed.reportStatus("b", { statusOf(0ms), start });
        for (auto now = start + 2001ms; now < start + 20s; now += 10ms) {
            const auto picked = plain.pick({}, now);
            ASSERT_EQ(informed.pick({ .urgency = 3, .answerBy = now }, now), picked);
            for (auto* view : { &plain, &informed }) {
                view->onCallStarted(*picked, now);
                view->onCallFinished(*picked, { call_observation::kind::success, 5ms }, now);
            }
        }
        informed.reportStatus("a", { statusOf(300ms), start + 20s });
        informed.clearStatus("a");
        for (int count = 0; count < 100; ++count)
            ASSERT_EQ(informed.pick({}, start + 20s), plain.pick({}, start + 20s));
    }

    // Guards against a server that is never tried because the others are faster than the mean of their reports.
    TEST(CompletionChoice, ServersWithoutAServiceTimeAreTried)
    {
        auto view = viewOf(3);
        view.reportStatus("a", { statusOf(0ms, 100ms), start });
        view.reportStatus("a", { statusOf(0ms, 80ms), start + 1ms });
        view.reportStatus("b", { statusOf(0ms, 0ms), start + 1ms });
        EXPECT_LT(shares(view, {}, start + 1ms)["a"], 0.1);
        // What it states about its queue counts all the same.
        view.reportStatus("b", { statusOf(200ms, 0ms), start + 2ms });
        EXPECT_LT(shares(view, {}, start + 2ms)["b"], 0.1);
    }

    // Guards against sending the second call to the server of the first one, for want of a newer report.
    TEST(CompletionChoice, OwnCallsSinceTheReportCount)
    {
        auto view = viewOf(2);
        view.reportStatus("a", { statusOf(0ms, 100ms), start });
        view.reportStatus("b", { statusOf(0ms, 150ms), start });
        EXPECT_GT(shares(view, {}, start)["a"], 0.99);
        view.onCallStarted("a", start + 1ms);
        EXPECT_GT(shares(view, {}, start + 1ms)["b"], 0.99);
        // A report of before the call does not contain it; a later one does.
        EXPECT_FALSE(view.reportStatus("a", { statusOf(0ms, 100ms), start - 1ms }));
        EXPECT_TRUE(view.reportStatus("a", { statusOf(0ms, 100ms), start + 2ms }));
        view.onCallFinished("a", { call_observation::kind::success, 100ms }, start + 2ms);
        EXPECT_GT(shares(view, {}, start + 2ms)["a"], 0.99);
    }

    // Guards against a request that is bound to be refused by a cold server although another one is free.
    TEST(CompletionChoice, ServersThatStartTooLateAreNotPicked)
    {
        auto view = viewOf(6);
        for (const auto* cold : { "a", "b", "c", "d", "e" })
            view.reportStatus(cold, { coldStatus(800ms), start });
        view.reportStatus("f", { statusOf(400ms), start });
        EXPECT_GT(shares(view, { .answerBy = start + 600ms }, start)["f"], 0.99);
        // All are too late: any may be picked.
        EXPECT_TRUE(view.pick({ .answerBy = start + 100ms }, start));
        EXPECT_TRUE(view.pick({ .excluded = { "f" }, .answerBy = start + 600ms }, start));
        // The wait for the next start passes with time and does not fade.
        EXPECT_LT(shares(view, { .answerBy = start + 1400ms }, start + 790ms)["f"], 0.5);
    }

    // Guards against refusing a request that a server could start, and against trying when none can.
    TEST(CompletionChoice, EarliestStartIsKnownOnlyOfAllServers)
    {
        auto view = viewOf(3);
        view.reportStatus("a", { coldStatus(900ms), start });
        view.reportStatus("b", { statusOf(2s), start });
        EXPECT_EQ(view.earliestStart(1, 500ms, start), std::nullopt);
        auto urgentOnly = statusOf(1200ms);
        urgentOnly.expectedWaits[0] = 0ms;
        view.reportStatus("c", { urgentOnly, start });
        EXPECT_EQ(view.earliestStart(1, 500ms, start), std::optional<duration>(900ms));
        EXPECT_EQ(view.earliestStart(0, 500ms, start), std::nullopt);
        EXPECT_EQ(view.earliestStart(1, 900ms, start), std::nullopt);
        // Each call since the report uses up one start of the cold server: ten per second.
        view.onCallStarted("a", start);
        EXPECT_EQ(view.earliestStart(1, 500ms, start + 100ms), std::optional<duration>(900ms));
        // Without newer reports, some request has to try.
        EXPECT_EQ(view.earliestStart(1, 200ms, start + 2100ms), std::nullopt);
    }

    // Guards against figures that make a server the best one for ever or overflow the estimate.
    TEST(CompletionChoice, ExtremeStatusesAreHarmless)
    {
        auto view = viewOf(2);
        const auto most = duration(std::chrono::hours(1));
        view.reportStatus("a", { { { most, most, most, most }, most, 1e6, cold_status { most, most, 0 } }, start });
        view.reportStatus("b", { statusOf(0ms, 0ms, 0), start });
        EXPECT_GT(shares(view, { .answerBy = start + 1s }, start)["b"], 0.99);
        EXPECT_EQ(view.earliestStart(0, 1s, start), std::nullopt);
    }

    // Guards against passing on old statuses and those of servers that take no requests.
    TEST(CompletionChoice, FreshestStatusesArePassedOn)
    {
        auto view = viewOf(6);
        const duration ages[] = { 50ms, 10ms, 3s, 60ms, 90ms, 0ms };
        for (std::size_t index = 0; index < std::size(ages); ++index)
            view.reportStatus(std::string(1, static_cast<char>('a' + index)), { statusOf(0ms), start - ages[index] });
        view.reportStatus("e", { coldStatus(0ms), start - 80ms });
        view.report("b", { false, 0, start });
        std::vector<instance_id> order;
        for (const auto& one : view.statuses(3, "f", start))
            order.push_back(one.id);
        EXPECT_EQ(order, (std::vector<instance_id> { "e", "a", "d" }));
        EXPECT_EQ(view.knownStatuses(start), 5u);
    }

    // Guards against 66 entry nodes that all pick the server that looked best in the same report, up to a second ago.
    TEST(CompletionChoice, NoHerdOnTheBestServer)
    {
        constexpr std::size_t servers = 16;
        std::map<instance_id, int> calls;
        for (std::uint64_t entry = 0; entry < 66; ++entry) {
            auto view = viewOf(servers, entry);
            for (std::size_t index = 0; index < servers; ++index) {
                const auto wait = std::chrono::milliseconds(index == 0 ? 0 : 20 + 2 * index);
                view.reportStatus(std::string(1, static_cast<char>('a' + index)), { statusOf(wait), start });
            }
            // 15 requests per second, none of which has been answered.
            for (auto now = start; now < start + 1s; now += 66ms) {
                const auto picked = *view.pick({}, now);
                view.onCallStarted(picked, now);
                ++calls[picked];
            }
        }
        const double fairShare = 66 * 16.0 / servers;
        EXPECT_LT(calls["a"], 2 * fairShare);
        for (const auto& [id, count] : calls)
            EXPECT_GT(count, fairShare / 3) << id;
    }

} // namespace
} // namespace heatherdrift
