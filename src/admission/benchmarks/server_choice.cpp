#include "admission/benchmarks/scenarios.h"
#include "admission/benchmarks/simulation.h"
#include "admission/load_view.h"
#include "admission/seconds.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <queue>

namespace heatherdrift::simulation {

using namespace std::chrono_literals;

namespace {

    constexpr int serverCount = 6;
    constexpr int nodeCount = 6;
    constexpr int slots = 12;
    constexpr duration serviceMean = 2ms;
    constexpr double load = 0.6;
    constexpr time_point runEnd { 20s };
    constexpr time_point measuredFrom { 2s };
    constexpr duration roundTripAcrossZones = 1ms;

    const char* const zones[] = { "a", "b", "c" };

    struct scenario {
        const char* name;
        std::function<double(int server, time_point)> slowdown;
        std::function<bool(int server)> fails;
        std::function<server_report(int server, double load, time_point)> report;
    };

    server_report trueReport(int, double load, time_point now) { return { true, load, now }; }

    std::vector<scenario> scenarios()
    {
        const auto normal = [](int, time_point) { return 1.0; };
        const auto none = [](int) { return false; };
        return {
            { "all servers equal", normal, none, trueReport },
            { "one server 3 times slower", [](int server, time_point) { return server == 0 ? 3.0 : 1.0; }, none,
                trueReport },
            { "one fails at once, reports no load", normal, [](int server) { return server == 0; },
                [](int server, double load, time_point now) {
                    return server_report { true, server == 0 ? 0 : load, now };
                } },
            { "one reports unhealthy wrongly", normal, none,
                [](int server, double load, time_point now) {
                    return server_report { server != 0, load, now };
                } },
            { "one cold: 10 times slower, fading over 15 s",
                [](int server, time_point now) {
                    return server != 0 ? 1.0 : std::max(1.0, 10 - 9 * inSeconds(now.time_since_epoch()) / 15);
                },
                none, trueReport },
        };
    }

    class server_model {
    public:
        void enter(std::uint64_t id) { m_waiting.push_back(id); }
        /// Starts the next waiting call if a slot is free and returns its id.
        std::optional<std::uint64_t> start()
        {
            if (m_running >= slots || m_waiting.empty())
                return std::nullopt;
            ++m_running;
            const auto id = m_waiting.front();
            m_waiting.pop_front();
            return id;
        }
        void end() { --m_running; }
        double load() const { return static_cast<double>(m_running) / slots; }

    private:
        int m_running = 0;
        std::deque<std::uint64_t> m_waiting;
    };

    using chooser = std::function<int(int node, time_point)>;

    struct figures {
        double p50 = 0;
        double p99 = 0;
        double failed = 0;
        double sameZone = 0;
    };

    instance_id idOf(int server) { return "server-" + std::to_string(server); }

    std::vector<load_view> makeViews(bool firstIsCold, std::uint64_t seed)
    {
        std::vector<load_view> views;
        for (int node = 0; node < nodeCount; ++node) {
            views.emplace_back(seededRandom(seed * 100 + static_cast<std::uint64_t>(node)),
                load_view_settings { .zone = zones[node % 3] });
            for (int server = 0; server < serverCount; ++server)
                views.back().add(idOf(server), zones[server % 3], firstIsCold && server == 0, {});
        }
        return views;
    }

    struct event {
        time_point at {};
        std::uint64_t id = 0;

        auto operator<=>(const event&) const = default;
    };

    // Calls arrive at the nodes in turn; each node sends them to the server that it picks, whose queue is FIFO.
    class cluster_run {
    public:
        cluster_run(const scenario& situation, bool usesView, std::uint64_t seed)
            : m_situation(situation)
            , m_usesView(usesView)
            , m_views(makeViews(situation.slowdown(0, {}) > 3, seed))
            , m_calls(generate({ { .level = {},
                                   .slotsOffered = [](time_point) { return load * slots * serverCount; },
                                   .maxSlotsOffered = load * slots * serverCount,
                                   .meanService = serviceMean,
                                   .service = logNormal(serviceMean, 0.6) } },
                  runEnd, seed))
            , m_server(m_calls.size())
        {
        }

        figures run()
        {
            time_point nextReport {};
            for (const auto& call : m_calls) {
                endCallsBefore(call.arrival);
                if (call.arrival >= nextReport) {
                    sendReports(call.arrival);
                    nextReport = call.arrival + 1s;
                }
                arrive(call);
            }
            endCallsBefore(time_point::max());
            return summary();
        }

    private:
        int nodeOf(std::uint64_t id) const { return static_cast<int>(id % nodeCount); }

        void arrive(const call& arrived)
        {
            const int node = nodeOf(arrived.id);
            int server = static_cast<int>(m_next[static_cast<std::size_t>(node)]++ % serverCount);
            if (m_usesView) {
                const auto id = *m_views[static_cast<std::size_t>(node)].pick(
                    { .excluded = {}, .mayProbe = true }, arrived.arrival);
                server = id.back() - '0';
                m_views[static_cast<std::size_t>(node)].onCallStarted(id, arrived.arrival);
            }
            m_server[arrived.id - 1] = server;
            if (m_situation.fails(server)) {
                m_ends.push({ arrived.arrival + 500us, arrived.id });
                return;
            }
            m_models[static_cast<std::size_t>(server)].enter(arrived.id);
            startCalls(server, arrived.arrival);
        }

        void startCalls(int server, time_point now)
        {
            auto& model = m_models[static_cast<std::size_t>(server)];
            for (auto id = model.start(); id; id = model.start()) {
                const auto service
                    = fromSeconds(inSeconds(m_calls[*id - 1].service) * m_situation.slowdown(server, now));
                m_ends.push({ now + service, *id });
            }
        }

        void endCallsBefore(time_point now)
        {
            while (!m_ends.empty() && m_ends.top().at <= now) {
                const auto [at, id] = m_ends.top();
                m_ends.pop();
                const int server = m_server[id - 1];
                const bool isFailure = m_situation.fails(server);
                const bool isSameZone = server % 3 == nodeOf(id) % 3;
                const auto& call = m_calls[id - 1];
                const auto latency = at - call.arrival + (isSameZone ? duration::zero() : roundTripAcrossZones);
                if (m_usesView) {
                    using kind = call_observation::kind;
                    m_views[static_cast<std::size_t>(nodeOf(id))].onCallFinished(
                        idOf(server), { isFailure ? kind::failure : kind::success, latency }, at);
                }
                record(call, latency, isFailure, isSameZone);
                if (isFailure)
                    continue;
                m_models[static_cast<std::size_t>(server)].end();
                startCalls(server, at);
            }
        }

        void record(const call& call, duration latency, bool isFailure, bool isSameZone)
        {
            if (call.arrival < measuredFrom)
                return;
            m_count += 1;
            m_failed += isFailure;
            m_sameZone += isSameZone;
            if (!isFailure)
                m_latencies.push_back(1000 * inSeconds(latency));
        }

        void sendReports(time_point now)
        {
            for (int server = 0; server < serverCount; ++server) {
                const auto report = m_situation.report(server, m_models[static_cast<std::size_t>(server)].load(), now);
                for (auto& view : m_views)
                    view.report(idOf(server), report);
            }
        }

        figures summary()
        {
            std::ranges::sort(m_latencies);
            return { quantile(m_latencies, 0.5), quantile(m_latencies, 0.99), m_failed / m_count,
                m_sameZone / m_count };
        }

        const scenario& m_situation;
        bool m_usesView;
        std::vector<load_view> m_views;
        std::vector<call> m_calls;
        std::vector<int> m_server;
        std::array<server_model, serverCount> m_models;
        std::array<std::uint64_t, nodeCount> m_next {};
        std::priority_queue<event, std::vector<event>, std::greater<>> m_ends;
        std::vector<double> m_latencies;
        double m_count = 0;
        double m_failed = 0;
        double m_sameZone = 0;
    };

} // namespace

void compareServerChoice()
{
    std::printf("\nChoice among %d servers by %d nodes in three zones, load %.0f%% of the slots\n\n"
                "| situation | choice | p50 ms | p99 ms | failed | same zone |\n|---|---|---|---|---|---|\n",
        serverCount, nodeCount, 100 * load);
    const auto all = scenarios();
    for (const auto& situation : all) {
        for (const bool usesView : { false, true }) {
            std::vector<figures> runs;
            for (const auto seed : seeds)
                runs.push_back(cluster_run(situation, usesView, seed).run());
            std::printf("| %s | %s | %.2f | %.2f | %.3f%% | %.0f%% |\n", situation.name,
                usesView ? "load_view" : "round robin", medianOf(runs, [](const figures& one) { return one.p50; }),
                medianOf(runs, [](const figures& one) { return one.p99; }),
                100 * medianOf(runs, [](const figures& one) { return one.failed; }),
                100 * medianOf(runs, [](const figures& one) { return one.sameZone; }));
        }
    }
}

} // namespace heatherdrift::simulation
