#include "admission/load_view.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;
    using kind = call_observation::kind;

    constexpr time_point start { 1000s };
    constexpr std::uint64_t seed = 20261204;

    class view_driver {
    public:
        explicit view_driver(int servers, const std::string& zone = "", std::vector<std::string> zones = { "z" })
            : m_view(seededRandom(seed), settings(zone))
        {
            for (int index = 0; index < servers; ++index) {
                const auto number = static_cast<std::size_t>(index);
                m_view.add(std::string(1, static_cast<char>('a' + index)), zones[number % zones.size()], false, start);
            }
        }

        load_view& view() { return m_view; }
        time_point now() const { return m_now; }
        void pass(duration time) { m_now += time; }

        void call(const instance_id& id, kind outcome, std::optional<duration> latency = 5ms)
        {
            m_view.onCallStarted(id, m_now);
            m_view.onCallFinished(id, { outcome, latency }, m_now);
        }

        void warmUp(const instance_id& id, duration latency = 5ms)
        {
            for (int count = 0; count < 20; ++count)
                call(id, kind::success, latency);
        }

        // Picks many times without sending anything; returns the share of each server.
        std::map<instance_id, double> shares(const pick_options& options = {})
        {
            std::map<instance_id, double> result;
            constexpr int picks = 4000;
            for (int count = 0; count < picks; ++count) {
                if (const auto id = m_view.pick(options, m_now))
                    result[*id] += 1.0 / picks;
            }
            return result;
        }

    private:
        static load_view_settings settings(const std::string& zone)
        {
            load_view_settings result;
            result.zone = zone;
            return result;
        }

        load_view m_view;
        time_point m_now = start;
    };

    // Guards against local observations that do not affect the choice.
    TEST(LoadView, PrefersServersByLocalObservation)
    {
        struct {
            const char* name;
            std::function<void(view_driver&)> worsen; // Of server a.
            double maxShare;
        } const cases[] = {
            { "equal", [](view_driver&) {}, 0.45 },
            { "calls in flight",
                [](view_driver& driver) {
                    for (int count = 0; count < 3; ++count)
                        driver.view().onCallStarted("a", driver.now());
                },
                0.01 },
            { "slower", [](view_driver& driver) { driver.warmUp("a", 50ms); }, 0.01 },
            { "refuses calls",
                [](view_driver& driver) {
                    for (int count = 0; count < 5; ++count)
                        driver.call("a", kind::refused);
                },
                0.01 },
            { "fails now and then",
                [](view_driver& driver) {
                    for (int count = 0; count < 4; ++count)
                        driver.call("a", kind::failure);
                },
                0.01 },
            { "long calls are slow", [](view_driver& driver) { driver.call("a", kind::success, std::nullopt); }, 0.45 },
            { "cancelled calls", [](view_driver& driver) { driver.call("a", kind::cancelled, 9s); }, 0.45 },
        };
        for (const auto& entry : cases) {
            view_driver driver(3);
            for (const auto* id : { "a", "b", "c" })
                driver.warmUp(id);
            entry.worsen(driver);
            EXPECT_LE(driver.shares()["a"], entry.maxShare) << entry.name;
        }
    }

    // Guards against using reports that are outdated, contradicted by local calls, or negative for most servers.
    TEST(LoadView, LocalObservationOverridesReports)
    {
        struct {
            const char* name;
            bool isObserved;
            server_report report;
            int unhealthyServers;
            bool isUsed;
        } const cases[] = {
            { "no report", false, { true, 0, start }, 0, true },
            { "unhealthy", false, { false, 0, start }, 1, false },
            { "unhealthy, but old", false, { false, 0, start - 4s }, 1, true },
            { "unhealthy, but answers", true, { false, 0, start }, 1, true },
            { "all unhealthy", false, { false, 0, start }, 4, true },
            { "loaded", false, { true, 1, start }, 1, false },
            { "loaded, but old", false, { true, 1, start - 4s }, 1, true },
            { "loaded, but fast", true, { true, 1, start }, 1, true },
        };
        for (const auto& entry : cases) {
            view_driver driver(4);
            if (entry.isObserved) {
                for (const auto* id : { "a", "b", "c", "d" })
                    driver.warmUp(id);
            }
            for (int index = 0; index < entry.unhealthyServers; ++index)
                driver.view().report(std::string(1, static_cast<char>('a' + index)), entry.report);
            EXPECT_EQ(driver.shares()["a"] > 0.1, entry.isUsed) << entry.name;
        }
    }

    // Guards against a server that refuses calls but reports that it is idle.
    TEST(LoadView, ReportOfNoLoadDoesNotHideRefusals)
    {
        view_driver driver(2);
        for (const auto* id : { "a", "b" }) {
            driver.warmUp(id);
            driver.view().report(id, { true, 0, start });
        }
        driver.call("a", kind::refused);
        EXPECT_GT(driver.view().cost("a", start), driver.view().cost("b", start));
    }

    // Guards against unnecessary cross-zone traffic, and against overloading the local zone to avoid it.
    TEST(LoadView, PrefersTheLocalZoneUnlessItIsOverloaded)
    {
        view_driver driver(4, "z1", { "z1", "z2" });
        for (const auto* id : { "a", "b", "c", "d" })
            driver.warmUp(id);
        auto shares = driver.shares();
        EXPECT_NEAR(shares["a"] + shares["c"], 1, 1e-9);
        for (const auto* id : { "a", "c" }) {
            driver.view().onCallStarted(id, start);
            driver.view().onCallStarted(id, start);
        }
        shares = driver.shares();
        EXPECT_GT(shares["b"] + shares["d"], 0.6);
    }

    // Guards against a cold server that gets a full share at once.
    TEST(LoadView, ColdServerStartsWithASmallShare)
    {
        view_driver driver(3);
        driver.view().add("cold", "z", true, start);
        const double atFirst = driver.shares()["cold"];
        EXPECT_GT(atFirst, 0.005);
        EXPECT_LT(atFirst, 0.08);
        driver.pass(30s);
        EXPECT_GT(driver.shares()["cold"], 0.2);
    }

    // Guards against picking excluded, failed or unknown servers.
    TEST(LoadView, RespectsExclusionsAndRemovals)
    {
        view_driver driver(2);
        EXPECT_EQ(driver.view().pick({ .excluded = { "a" } }, start), "b");
        EXPECT_EQ(driver.view().pick({ .excluded = { "a", "b" } }, start), std::nullopt);
        driver.view().remove("b");
        EXPECT_EQ(driver.view().pick({}, start), "a");
        driver.view().onCallFinished("b", { kind::success, 1ms }, start);
        driver.view().remove("a");
        EXPECT_EQ(driver.view().pick({}, start), std::nullopt);
    }

    // Guards against calls to an ejected server, probes by calls that may not probe, and return to full load at once.
    TEST(LoadView, EjectsProbesAndReadmitsWithASlowStart)
    {
        view_driver driver(3);
        for (int count = 0; count < 5; ++count)
            driver.call("a", kind::failure);
        EXPECT_EQ(driver.view().condition("a", driver.now()), server_condition::ejected);
        EXPECT_EQ(driver.shares({ .mayProbe = true })["a"], 0);
        driver.pass(5s);
        EXPECT_EQ(driver.shares()["a"], 0);
        for (int probe = 0; probe < 3; ++probe) {
            EXPECT_EQ(driver.view().pick({ .mayProbe = true }, driver.now()), "a");
            driver.view().onCallStarted("a", driver.now());
            EXPECT_NE(driver.view().pick({ .mayProbe = true }, driver.now()), "a");
            driver.view().onCallFinished("a", { kind::success, 5ms }, driver.now());
            driver.pass(500ms);
        }
        EXPECT_EQ(driver.view().condition("a", driver.now()), server_condition::in_service);
        const double share = driver.shares()["a"];
        EXPECT_GT(share, 0);
        EXPECT_LT(share, 0.15);
        driver.pass(30s);
        EXPECT_GT(driver.shares()["a"], 0.2);
    }

    // Guards against ejecting so many servers that the remaining ones are overloaded.
    TEST(OutlierDetector, EjectsABoundedShare)
    {
        for (const auto& [servers, ejected] :
            std::map<int, std::size_t> { { 1, 0 }, { 2, 1 }, { 3, 1 }, { 6, 2 }, { 12, 4 } }) {
            outlier_detector detector;
            for (int index = 0; index < servers; ++index)
                detector.add(std::to_string(index), start);
            for (int count = 0; count < 20; ++count) {
                for (int index = 0; index < servers; ++index)
                    detector.observeFailure(std::to_string(index), start);
            }
            EXPECT_EQ(detector.outOfService(), ejected) << servers;
            for (int index = 0; index < servers; ++index)
                detector.remove(std::to_string(index));
            EXPECT_EQ(detector.outOfService(), 0u);
        }
    }

    // Guards against ejection for single failures, and against a server that fails every second call and is not
    // ejected.
    TEST(OutlierDetector, EjectsByShareOfFailures)
    {
        for (const auto& [failEvery, isEjected] : std::map<int, bool> { { 2, true }, { 3, false }, { 10, false } }) {
            outlier_detector detector;
            detector.add("a", start);
            detector.add("b", start);
            bool ejected = false;
            for (int count = 1; count <= 100; ++count) {
                const auto now = start + count * 100ms;
                if (count % failEvery == 0)
                    ejected = detector.observeFailure("a", now) || ejected;
                else
                    detector.observeSuccess("a", now);
            }
            EXPECT_EQ(ejected, isEjected) << failEvery;
        }
    }

    // Guards against flapping: a server that passes its probes and then fails again must stay out longer each time.
    TEST(OutlierDetector, RepeatedEjectionsGetLonger)
    {
        outlier_detector detector;
        detector.add("a", start);
        detector.add("b", start);
        int ejections = 0;
        for (auto now = start; now < start + 1h; now += 100ms) {
            if (detector.condition("a", now) == server_condition::in_service)
                ejections += detector.observeFailure("a", now);
            else if (detector.isProbeDue("a", now))
                detector.observeSuccess("a", now);
        }
        EXPECT_GE(ejections, 8);
        EXPECT_LE(ejections, 20);
    }

    // Guards against a failed probe that returns a broken server to service.
    TEST(OutlierDetector, FailedProbeEjectsAgain)
    {
        outlier_detector detector;
        detector.add("a", start);
        detector.add("b", start);
        for (int count = 0; count < 5; ++count)
            detector.observeFailure("a", start);
        const auto later = start + 5s;
        EXPECT_EQ(detector.condition("a", later), server_condition::probing);
        detector.observeSuccess("a", later);
        detector.observeSuccess("a", later);
        detector.observeFailure("a", later);
        EXPECT_EQ(detector.condition("a", later + 9s), server_condition::ejected);
        EXPECT_EQ(detector.condition("a", later + 10s), server_condition::probing);
        detector.startProbe("a", later + 10s);
        EXPECT_FALSE(detector.isProbeDue("a", later + 19s));
        EXPECT_TRUE(detector.isProbeDue("a", later + 20s));
    }

} // namespace
} // namespace heatherdrift
