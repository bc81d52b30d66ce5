#include "admission/benchmarks/simulation.h"

#include "admission/seconds.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <queue>

namespace heatherdrift::simulation {

namespace {

    double normal(const random_function& random)
    {
        // Box-Muller transform; the standard library's distributions are not specified to repeat across versions.
        const double radius = std::sqrt(-2 * std::log(1 - random()));
        return radius * std::cos(2 * std::numbers::pi * random());
    }

    template <typename T> const T& pickOne(const std::vector<T>& values, const random_function& random)
    {
        return values[static_cast<std::size_t>(random() * static_cast<double>(values.size()))];
    }

    void generateStream(std::vector<call>& calls, const call_stream& stream, time_point end, std::uint64_t seed)
    {
        const auto random = seededRandom(seed);
        const double maxRate = stream.maxSlotsOffered / inSeconds(stream.meanService);
        if (maxRate <= 0)
            return;
        for (double at = -std::log(1 - random()) / maxRate; at < inSeconds(end.time_since_epoch());
             at += -std::log(1 - random()) / maxRate) {
            const time_point arrival(fromSeconds(at));
            const duration service = std::max(stream.service(random), duration(1));
            const auto& workspace = pickOne(stream.workspaces, random);
            const auto timeout = pickOne(stream.timeouts, random);
            // Thinning of a Poisson process: reduces the constant rate to the rate of the load profile.
            if (random() * stream.maxSlotsOffered < stream.slotsOffered(arrival))
                calls.push_back({ 0, stream.level, workspace, arrival, arrival + timeout, service });
        }
    }

    enum class event_kind { end, timeout, arrival };

    struct event {
        time_point at {};
        event_kind kind = event_kind::end;
        std::uint64_t id = 0;

        auto operator<=>(const event&) const = default;
    };

    class server_run {
    public:
        server_run(scheduler& discipline, std::vector<call> calls, const retry_rule& retryRule)
            : m_discipline(discipline)
            , m_retryRule(retryRule)
            , m_log { std::move(calls), {} }
            , m_firstCalls(m_log.calls.size())
        {
            m_log.results.resize(m_log.calls.size());
        }

        run_log run()
        {
            time_point now {};
            std::size_t next = 0;
            while (next < m_firstCalls || !m_events.empty()) {
                const auto arrival = next < m_firstCalls ? m_log.calls[next].arrival : time_point::max();
                const auto event = m_events.empty() ? time_point::max() : m_events.top().at;
                now = std::max(now, std::min({ arrival, event, m_discipline.nextEvent(now) }));
                if (event <= now)
                    handleEvent(now);
                else if (arrival <= now)
                    submit(++next, now);
                else
                    apply(m_discipline.advance(now), now);
            }
            return std::move(m_log);
        }

    private:
        void handleEvent(time_point now)
        {
            const auto event = m_events.top();
            m_events.pop();
            if (event.kind == event_kind::arrival)
                submit(event.id, now);
            else if (event.kind == event_kind::end)
                apply(m_discipline.finish(m_log.calls[event.id - 1], m_log.results[event.id - 1].end, now), now);
            else
                handleTimeout(event.id, now);
        }

        void submit(std::uint64_t id, time_point now)
        {
            if (m_retryRule)
                m_events.push({ m_log.calls[id - 1].deadline, event_kind::timeout, id });
            apply(m_discipline.submit(m_log.calls[id - 1], now), now);
        }

        void apply(const admission_actions& actions, time_point now)
        {
            for (const auto& action : actions) {
                const auto call = m_log.calls[action.id - 1];
                if (action.step != admission_step::run) {
                    m_log.results[action.id - 1] = { call_end::refused, now, now };
                    if (now < call.deadline)
                        fail(call, now);
                    continue;
                }
                auto end = now + call.service;
                const bool isLate = end > call.deadline;
                if (isLate && m_discipline.sendsDeadlines())
                    end = std::max(call.deadline, now);
                m_log.results[action.id - 1] = { isLate ? call_end::late : call_end::good, now, end };
                m_events.push({ end, event_kind::end, action.id });
            }
        }

        void handleTimeout(std::uint64_t id, time_point now)
        {
            const auto& result = m_log.results[id - 1];
            const bool hasEnded
                = result.endedAt != time_point {} && result.endedAt <= now && result.end != call_end::late;
            if (!hasEnded)
                fail(m_log.calls[id - 1], now);
        }

        void fail(const call& failed, time_point now)
        {
            const auto at = m_retryRule ? m_retryRule(failed, now) : std::nullopt;
            if (!at)
                return;
            auto again = failed;
            again.id = m_log.calls.size() + 1;
            again.arrival = *at;
            again.deadline = *at + (failed.deadline - failed.arrival);
            ++again.attempt;
            m_log.calls.push_back(again);
            m_log.results.emplace_back();
            m_events.push({ *at, event_kind::arrival, again.id });
        }

        scheduler& m_discipline;
        const retry_rule& m_retryRule;
        run_log m_log;
        std::size_t m_firstCalls;
        std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    };

} // namespace

std::function<duration(const random_function&)> logNormal(duration mean, double sigma)
{
    return [mean, sigma](const random_function& random) {
        return fromSeconds(inSeconds(mean) * std::exp(sigma * normal(random) - sigma * sigma / 2));
    };
}

std::function<duration(const random_function&)> uniform(duration min, duration max)
{
    return [min, max](const random_function& random) { return min + fromSeconds(inSeconds(max - min) * random()); };
}

std::vector<call> generate(const std::vector<call_stream>& streams, time_point end, std::uint64_t seed)
{
    std::vector<call> calls;
    for (std::size_t index = 0; index < streams.size(); ++index)
        generateStream(calls, streams[index], end, seed * 1000 + index);
    std::ranges::stable_sort(calls, {}, &call::arrival);
    std::uint64_t id = 0;
    for (auto& call : calls)
        call.id = ++id;
    return calls;
}

run_log run(scheduler& discipline, std::vector<call> calls, const retry_rule& retryRule)
{
    return server_run(discipline, std::move(calls), retryRule).run();
}

double quantile(const std::vector<double>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return quantile(values, 0.5);
}

} // namespace heatherdrift::simulation
