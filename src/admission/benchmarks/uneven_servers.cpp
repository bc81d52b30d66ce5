#include "admission/benchmarks/scenarios.h"
#include "admission/benchmarks/simulation.h"
#include "admission/hedge_policy.h"
#include "admission/load_view.h"
#include "admission/seconds.h"
#include "gate/slot_queue.h"
#include "gate/stated_load.h"

#include <algorithm>
#include <cstdio>
#include <queue>

namespace heatherdrift::simulation {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t serverCount = 16;
    constexpr std::size_t entryCount = 66;
    constexpr std::size_t zoneCount = 4;
    constexpr int slots = 8;
    constexpr duration serviceMean = 100ms;
    constexpr double serviceSigma = 0.3;
    constexpr duration objective = 400ms;
    constexpr duration timeout = 1500ms;
    constexpr duration slowPeriod = 400ms;
    constexpr duration linkInZone = 500us;
    constexpr duration linkAcrossZones = 1ms;
    constexpr int maxAttempts = 4; ///< As in entry_call.
    constexpr int maxBackendAttempts = 2;
    constexpr std::size_t urgency = 1;
    constexpr time_point runEnd { 22s };
    constexpr time_point measuredFrom { 2s };

    constexpr std::size_t passedStatuses = 5; ///< As many fit into the header between nodes.

    struct variant {
        const char* name;
        bool usesStatuses = true;
        std::size_t passed = 0; ///< Statuses of other servers with each answer.
        bool isSynchronous = false; ///< All entry nodes get the same reports once per second and no others.
        int candidates = 3;
        std::size_t liars = 0; ///< Servers that state to be slow when they are not, and the reverse.
        double hedgeShare = 0; ///< Most hedges per request.
        double slowFactor = 3;
        double slowShare = 0.2; ///< Of the time.
    };

    struct figures {
        double p50 = 0;
        double p99 = 0;
        double late = 0; ///< Share of answers after the objective.
        double refusedAtGate = 0; ///< Refusals by gates per request.
        double failed = 0; ///< Share of requests that are refused in the end.
        double age = 0; ///< Mean age of the statuses at a pick, in milliseconds.
        double hedges = 0; ///< Per request.
        double won = 0; ///< Share of the hedges that were answered first.
        double work = 0; ///< Mean time for which a request occupies slots, in milliseconds.
    };

    /// Times at which the speed of a server changes; slow periods start with the odd changes.
    class speed_history {
    public:
        speed_history(double base, double slowShare, double slowFactor, const random_function& random)
            : m_base(base)
            , m_slowFactor(slowFactor)
        {
            const double usual = inSeconds(slowPeriod) * (1 - slowShare) / slowShare;
            auto at = time_point(fromSeconds(usual * random()));
            while (at < runEnd + 30s) {
                m_changes.push_back(at);
                at += slowPeriod;
                m_changes.push_back(at);
                at += fromSeconds(usual * (0.5 + random()));
            }
        }

        double slowdown(time_point now) const { return isSlow(next(now)) ? m_slowFactor : 1; }

        /// End of work that takes this time on a usual server.
        time_point endOf(duration work, time_point now) const
        {
            double left = inSeconds(work) * m_base;
            for (auto index = next(now);; ++index) {
                const double factor = isSlow(index) ? m_slowFactor : 1;
                if (index >= m_changes.size() || now + fromSeconds(left * factor) <= m_changes[index])
                    return now + fromSeconds(left * factor);
                left -= inSeconds(m_changes[index] - now) / factor;
                now = m_changes[index];
            }
        }

    private:
        std::size_t next(time_point now) const
        {
            return static_cast<std::size_t>(std::ranges::upper_bound(m_changes, now) - m_changes.begin());
        }
        static bool isSlow(std::size_t next) { return next % 2 == 1; }

        double m_base;
        double m_slowFactor;
        std::vector<time_point> m_changes;
    };

    struct request_state {
        call arrived;
        std::size_t entry = 0;
        std::size_t server = 0;
        time_point sentAt {};
        time_point startedAt {};
        std::vector<instance_id> tried {};
        time_point hedgeDueAt {};
        std::optional<std::size_t> twin {}; ///< The other attempt, if a hedge was sent.
        bool isHedge = false;
        bool isRunning = false;
        bool isRefused = false; ///< The hedge is awaited.
        bool isOver = false; ///< Answered, refused for good, or cancelled.
    };

    enum class step { arrival, at_gate, ended, answered, refused, hedge, cancelled, sweep, broadcast };

    struct event {
        time_point at {};
        step what = step::arrival;
        std::size_t subject = 0;

        auto operator<=>(const event&) const = default;
    };

    instance_id idOf(std::size_t server) { return std::to_string(server); }

    class uneven_run {
    public:
        uneven_run(const variant& tested, double load, std::uint64_t seed)
            : m_variant(tested)
            , m_random(seededRandom(seed))
        {
            double capacity = 0;
            for (std::size_t server = 0; server < serverCount; ++server) {
                const double base = 0.5 + static_cast<double>(server * 7 % serverCount) / (serverCount - 1);
                m_speeds.emplace_back(base, tested.slowShare, tested.slowFactor, m_random);
                m_queues.emplace_back(slot_queue_settings { slots, serviceMean });
                capacity += slots / (base * (1 + tested.slowShare * (tested.slowFactor - 1)));
            }
            for (std::size_t entry = 0; entry < entryCount; ++entry) {
                load_view_settings settings;
                settings.zone = zoneOf(entry);
                settings.zoneTolerance = 1.1;
                settings.candidates = tested.candidates;
                settings.observationTimeConstant = 3s;
                m_views.emplace_back(seededRandom(seed * 1000 + entry), settings);
                for (std::size_t server = 0; server < serverCount; ++server) {
                    m_views.back().add(idOf(server), zoneOf(server), false, {});
                }
                m_policies.emplace_back(hedge_settings { .share = tested.hedgeShare });
                // As in entry_service.
                m_budgets.emplace_back(
                    time_point {}, retry_budget_settings { .share = 0.15, .floorPerSecond = 0.1, .maxBalance = 3 });
            }
            const auto calls = generate({ { .level = {},
                                            .slotsOffered = [=](time_point) { return load * capacity; },
                                            .maxSlotsOffered = load * capacity,
                                            .meanService = serviceMean,
                                            .service = logNormal(serviceMean, serviceSigma) } },
                runEnd, seed);
            for (const auto& one : calls) {
                m_requests.push_back({ one, static_cast<std::size_t>(m_random() * entryCount) });
                m_events.push({ one.arrival, step::arrival, m_requests.size() - 1 });
            }
            m_events.push({ time_point {} + 20ms, step::sweep, 0 });
            if (tested.isSynchronous)
                m_events.push({ time_point {}, step::broadcast, 0 });
        }

        figures run()
        {
            while (!m_events.empty()) {
                const auto next = m_events.top();
                m_events.pop();
                if (next.at > runEnd + 5s)
                    break;
                handle(next);
            }
            std::ranges::sort(m_latencies);
            return { quantile(m_latencies, 0.5), quantile(m_latencies, 0.99), m_late / m_count, m_refusals / m_count,
                m_failed / m_count, m_ages / std::max(m_agesCount, 1.0), m_hedges / m_count,
                m_won / std::max(m_hedges, 1.0), m_work / m_count };
        }

    private:
        static std::string zoneOf(std::size_t index) { return std::to_string(index % zoneCount); }

        duration link(const request_state& request) const
        {
            return request.entry % zoneCount == request.server % zoneCount ? linkInZone : linkAcrossZones;
        }

        void handle(const event& next)
        {
            switch (next.what) {
            case step::arrival:
                m_policies[m_requests[next.subject].entry].recordFirstAttempt(next.at);
                m_budgets[m_requests[next.subject].entry].recordFirstAttempt(next.at);
                return send(next.subject, next.at);
            case step::at_gate:
                return arrive(next.subject, next.at);
            case step::ended:
                return end(next.subject, next.at);
            case step::answered:
                return finish(next.subject, next.at);
            case step::refused:
                return retry(next.subject, next.at);
            case step::hedge:
                return decideHedge(next.subject, next.at);
            case step::cancelled:
                return stopWork(next.subject, next.at);
            case step::sweep:
                return sweep(next.at);
            case step::broadcast:
                return broadcast(next.at);
            }
        }

        void send(std::size_t index, time_point now)
        {
            auto& request = m_requests[index];
            auto& view = m_views[request.entry];
            for (const auto& known : view.statuses(serverCount, {}, now)) {
                m_ages += 1000 * inSeconds(now - known.report.at);
                m_agesCount += 1;
            }
            const auto picked = view.pick({ .excluded = request.tried,
                                              .mayProbe = true,
                                              .urgency = urgency,
                                              .answerBy = request.arrived.arrival + timeout },
                now);
            if (!picked)
                return fail(request);
            request.server = static_cast<std::size_t>(std::stoi(*picked));
            request.sentAt = now;
            const auto outlook = view.outlook(*picked, urgency, now);
            view.onCallStarted(*picked, now);
            m_events.push({ now + link(request), step::at_gate, index });
            if (const auto at = m_policies[request.entry].checkAt(hedgeRequest(request), outlook, now)) {
                request.hedgeDueAt = *at;
                m_events.push({ *at, step::hedge, index });
            }
        }

        hedge_request hedgeRequest(const request_state& request) const
        {
            return { "k", !request.twin, 1, maxBackendAttempts, request.sentAt, request.arrived.arrival + objective,
                request.arrived.arrival + timeout, objective };
        }

        void decideHedge(std::size_t index, time_point now)
        {
            const auto request = m_requests[index];
            if (request.isOver || request.twin || request.hedgeDueAt != now)
                return;
            auto& view = m_views[request.entry];
            auto excluded = request.tried;
            excluded.push_back(idOf(request.server));
            const auto second = view.pick({ .excluded = std::move(excluded),
                                              .urgency = urgency,
                                              .answerBy = request.arrived.arrival + timeout,
                                              .needsWarm = true },
                now);
            const hedge_situation situation { now, view.usualWait(urgency, now),
                view.outlook(idOf(request.server), urgency, now),
                second ? view.outlook(*second, urgency, now) : std::nullopt };
            const auto hedged = hedgeRequest(request);
            const auto decision = m_policies[request.entry].decide(hedged, situation, m_budgets[request.entry], now);
            if (const auto at = hedge_policy::checkAgainAt(hedged, situation, decision, now)) {
                m_requests[index].hedgeDueAt = *at;
                m_events.push({ *at, step::hedge, index });
            }
            if (decision != hedge_decision::send)
                return;
            m_requests.push_back({ request.arrived, request.entry, static_cast<std::size_t>(std::stoi(*second)), now });
            m_requests.back().isHedge = true;
            m_requests.back().twin = index;
            m_requests[index].twin = m_requests.size() - 1;
            view.onCallStarted(*second, now);
            m_events.push({ now + link(m_requests.back()), step::at_gate, m_requests.size() - 1 });
            if (request.arrived.arrival >= measuredFrom)
                m_hedges += 1;
        }

        void stopWork(std::size_t index, time_point now)
        {
            auto& request = m_requests[index];
            auto& queue = m_queues[request.server];
            if (!std::exchange(request.isRunning, false)) {
                queue.cancel(index);
                return;
            }
            recordWork(request, now);
            queue.finish(index, std::nullopt);
            startNext(request.server, now);
        }

        void recordWork(const request_state& request, time_point now)
        {
            if (request.arrived.arrival >= measuredFrom)
                m_work += 1000 * inSeconds(now - request.startedAt);
        }

        status_report status(std::size_t server, time_point now) const
        {
            const auto& queue = m_queues[server];
            status_report out { .status = {}, .at = now };
            for (std::size_t level = 0; level < urgencyLevels; ++level)
                out.status.expectedWaits[level] = queue.expectedWait(static_cast<int>(level));
            out.status.serviceTime = m_loads[server].usualServiceTime().value_or(queue.meanServiceTime());
            out.status.slowdown = m_loads[server].slowdown(queue.meanServiceTime(), now);
            return out;
        }

        void arrive(std::size_t index, time_point now)
        {
            auto& request = m_requests[index];
            if (request.isOver)
                return;
            const auto decision = m_queues[request.server].submit(
                { index, false, 1, "k", request.arrived.arrival + objective, request.arrived.arrival + timeout }, now);
            if (decision == queue_decision::run)
                start(index, now);
            else if (decision == queue_decision::refuse)
                refuse(index, now);
        }

        void start(std::size_t index, time_point now)
        {
            auto& request = m_requests[index];
            request.startedAt = now;
            request.isRunning = true;
            m_events.push({ m_speeds[request.server].endOf(request.arrived.service, now), step::ended, index });
        }

        void refuse(std::size_t index, time_point now)
        {
            const auto& request = m_requests[index];
            if (request.arrived.arrival >= measuredFrom)
                m_refusals += 1;
            m_events.push({ now + link(request), step::refused, index });
        }

        void end(std::size_t index, time_point now)
        {
            auto& request = m_requests[index];
            if (!std::exchange(request.isRunning, false))
                return;
            recordWork(request, now);
            auto& queue = m_queues[request.server];
            queue.finish(index, now - request.startedAt);
            auto& load = m_loads[request.server];
            const double slowdown = m_speeds[request.server].slowdown(now);
            const bool isLie = request.server < m_variant.liars;
            load.record({ 0, 0, slots, isLie ? m_variant.slowFactor + 1 - slowdown : slowdown }, now);
            load.observe("k", request.startedAt, now);
            m_events.push({ now + link(request), step::answered, index });
            startNext(request.server, now);
        }

        void startNext(std::size_t server, time_point now)
        {
            while (const auto next = m_queues[server].takeNext(now))
                start(*next, now);
        }

        void sweep(time_point now)
        {
            for (std::size_t server = 0; server < serverCount; ++server) {
                for (const auto index : m_queues[server].takeUnservable(now))
                    refuse(index, now);
                startNext(server, now);
            }
            m_events.push({ now + 20ms, step::sweep, 0 });
        }

        /// What the node of the entry learns about the server.
        void report(load_view& view, std::size_t server, time_point now)
        {
            view.report(idOf(server), { true, std::min(1.0, m_queues[server].load()), now });
            if (m_variant.usesStatuses)
                view.reportStatus(idOf(server), status(server, now));
        }

        void broadcast(time_point now)
        {
            for (std::size_t server = 0; server < serverCount; ++server) {
                for (auto& view : m_views)
                    report(view, server, now);
            }
            m_events.push({ now + 1s, step::broadcast, 0 });
        }

        void learn(const request_state& request, const call_observation& seen, time_point now)
        {
            auto& view = m_views[request.entry];
            view.onCallFinished(idOf(request.server), seen, now);
            if (m_variant.isSynchronous)
                return;
            report(view, request.server, now);
            // The node of each server is an entry node, too.
            for (const auto& one : m_views[request.server].statuses(m_variant.passed, idOf(request.server), now))
                view.reportStatus(one.id, one.report);
        }

        void finish(std::size_t index, time_point now)
        {
            auto& request = m_requests[index];
            if (std::exchange(request.isOver, true))
                return;
            auto& policy = m_policies[request.entry];
            if (!request.isHedge)
                policy.recordAnswer("k", now - request.sentAt, now);
            if (request.twin)
                cancel(*request.twin, now);
            learn(request, { call_observation::kind::success, now - request.sentAt }, now);
            if (request.arrived.arrival < measuredFrom)
                return;
            m_count += 1;
            const auto latency = now - request.arrived.arrival;
            m_late += latency > objective;
            m_won += request.isHedge;
            m_latencies.push_back(1000 * inSeconds(latency));
        }

        /// The attempt is of no more use, since the other one was answered.
        void cancel(std::size_t index, time_point now)
        {
            auto& request = m_requests[index];
            if (std::exchange(request.isOver, true))
                return;
            m_views[request.entry].onCallFinished(
                idOf(request.server), { call_observation::kind::overtaken, now - request.sentAt }, now);
            if (!request.isHedge)
                m_policies[request.entry].recordAnswer("k", now - request.sentAt, now);
            m_events.push({ now + link(request), step::cancelled, index });
        }

        void retry(std::size_t index, time_point now)
        {
            auto& request = m_requests[index];
            if (request.isOver)
                return;
            m_policies[request.entry].recordOverload(now);
            learn(request, { call_observation::kind::refused, std::nullopt }, now);
            if (request.isHedge) {
                request.isOver = true;
                if (m_requests[*request.twin].isRefused)
                    retryAfterHedge(*request.twin, now);
                return;
            }
            request.isRefused = true;
            if (!request.twin || m_requests[*request.twin].isOver)
                retryAfterHedge(index, now);
        }

        /// The entry node waits for the hedge before it sends the request elsewhere.
        void retryAfterHedge(std::size_t index, time_point now)
        {
            auto& request = m_requests[index];
            request.isRefused = false;
            request.tried.push_back(idOf(request.server));
            if (request.tried.size() >= maxAttempts)
                return fail(request);
            send(index, now);
        }

        void fail(const request_state& request)
        {
            if (request.arrived.arrival < measuredFrom)
                return;
            m_count += 1;
            m_failed += 1;
        }

        const variant& m_variant;
        random_function m_random;
        std::vector<speed_history> m_speeds;
        std::vector<slot_queue> m_queues;
        std::array<stated_load, serverCount> m_loads;
        std::vector<load_view> m_views;
        std::vector<hedge_policy> m_policies; ///< By entry node.
        std::vector<retry_budget> m_budgets;
        std::vector<request_state> m_requests;
        std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
        std::vector<double> m_latencies;
        double m_count = 0;
        double m_late = 0;
        double m_refusals = 0;
        double m_failed = 0;
        double m_ages = 0;
        double m_agesCount = 0;
        double m_hedges = 0;
        double m_won = 0;
        double m_work = 0;
    };

} // namespace

void compareUnevenServers()
{
    const variant variants[] = {
        { "without statuses", false },
        { "statuses of the answering server" },
        { "statuses passed on", true, passedStatuses },
        { "statuses passed on, 4 servers lie", true, passedStatuses, false, 3, 4 },
        { "reports once per second, without statuses", false, 0, true },
        { "reports once per second", true, 0, true },
        { "reports once per second, best of all", true, 0, true, serverCount },
    };
    std::printf("\nChoice among %zu servers of speed 0.5 to 1.5, each %.0f times slower for %.0f%% of the time, by %zu "
                "nodes\n\n| load | choice | p50 ms | p99 ms | after the objective | refusals by gates | refused | age "
                "of statuses ms |\n|---|---|---|---|---|---|---|---|\n",
        serverCount, variants[0].slowFactor, 100 * variants[0].slowShare, entryCount);
    for (const double load : { 0.6, 0.8, 0.95 }) {
        for (const auto& one : variants) {
            std::vector<figures> runs;
            for (const auto seed : seeds)
                runs.push_back(uneven_run(one, load, seed).run());
            const auto medianFigure = [&](double figures::*field) {
                return medianOf(runs, [=](const figures& run) { return run.*field; });
            };
            std::printf("| %.0f%% | %s | %.0f | %.0f | %.2f%% | %.2f%% | %.2f%% | %.0f |\n", 100 * load, one.name,
                medianFigure(&figures::p50), medianFigure(&figures::p99), 100 * medianFigure(&figures::late),
                100 * medianFigure(&figures::refusedAtGate), 100 * medianFigure(&figures::failed),
                medianFigure(&figures::age));
        }
    }
}

void compareHedges()
{
    const variant variants[] = {
        { "3 times, 20%: 0%", true, passedStatuses },
        { "3 times, 20%: 2%", true, passedStatuses, false, 3, 0, 0.02 },
        { "3 times, 20%: 5%", true, passedStatuses, false, 3, 0, 0.05 },
        { "20 times, 2%: 0%", true, passedStatuses, false, 3, 0, 0, 20, 0.02 },
        { "20 times, 2%: 2%", true, passedStatuses, false, 3, 0, 0.02, 20, 0.02 },
        { "20 times, 2%: 5%", true, passedStatuses, false, 3, 0, 0.05, 20, 0.02 },
    };
    std::printf("\nHedged requests, same servers and nodes, statuses passed on\n\n| load | slower, of the time: limit "
                "| p50 ms | p99 ms | after "
                "the objective | hedges | won | slot time per request ms | refusals by gates | refused |\n"
                "|---|---|---|---|---|---|---|---|---|---|\n");
    for (const double load : { 0.6, 0.8, 0.95 }) {
        for (const auto& one : variants) {
            std::vector<figures> runs;
            for (const auto seed : seeds)
                runs.push_back(uneven_run(one, load, seed).run());
            const auto medianFigure = [&](double figures::*field) {
                return medianOf(runs, [=](const figures& run) { return run.*field; });
            };
            std::printf("| %.0f%% | %s | %.0f | %.0f | %.2f%% | %.2f%% | %.0f%% | %.1f | %.2f%% | %.2f%% |\n",
                100 * load, one.name, medianFigure(&figures::p50), medianFigure(&figures::p99),
                100 * medianFigure(&figures::late), 100 * medianFigure(&figures::hedges),
                100 * medianFigure(&figures::won), medianFigure(&figures::work),
                100 * medianFigure(&figures::refusedAtGate), 100 * medianFigure(&figures::failed));
        }
    }
}

} // namespace heatherdrift::simulation
