#include "admission/backend_admission.h"
#include "admission/load_view.h"

#include <benchmark/benchmark.h>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;

    constexpr duration serviceTime = 2ms;

    admission_request requestFor(std::uint64_t id, time_point now, std::uint64_t workspaces, duration timeout)
    {
        return { id, { call_length::short_call, static_cast<int>(id % 3) + 4 },
            "customer-" + std::to_string(id % workspaces), now + timeout, serviceTime, 3 * serviceTime };
    }

    // One call that finds a free slot: submit and finish.
    void admitIdle(benchmark::State& state)
    {
        admission_queue queue({});
        time_point now { 10s };
        std::uint64_t id = 0;
        for (auto _ : state) {
            now += 500us;
            benchmark::DoNotOptimize(queue.submit(requestFor(++id, now, 4, 1s), now));
            benchmark::DoNotOptimize(queue.finish(id, now + 100us));
        }
    }

    // One call that waits in a queue of the given length, and one that ends and lets the next one run.
    void admitQueued(benchmark::State& state)
    {
        admission_settings settings;
        settings.shortCalls = { 1'000'000, 1h, 1h };
        admission_queue queue(settings);
        const auto workspaces = static_cast<std::uint64_t>(state.range(1));
        time_point now { 10s };
        std::uint64_t id = 0;
        std::vector<std::uint64_t> running;
        const auto collectRunning = [&](const admission_actions& actions) {
            for (const auto& action : actions) {
                if (action.step == admission_step::run)
                    running.push_back(action.id);
            }
        };
        while (queue.waiting(call_length::short_call) < static_cast<std::size_t>(state.range(0)))
            collectRunning(queue.submit(requestFor(++id, now, workspaces, 1h), now));
        std::size_t next = 0;
        for (auto _ : state) {
            now += 10us;
            collectRunning(queue.submit(requestFor(++id, now, workspaces, 1h), now));
            collectRunning(queue.finish(running[next++], now));
        }
    }

    // One call that is refused at once, since the queue is full.
    void refuse(benchmark::State& state)
    {
        admission_queue queue({});
        const time_point now { 10s };
        std::uint64_t id = 0;
        while (
            queue.submit(requestFor(++id, now, 4, 1h), now).empty() || queue.waiting(call_length::short_call) < 300) { }
        for (auto _ : state)
            benchmark::DoNotOptimize(queue.submit(requestFor(++id, now, 4, 50ms), now));
    }

    // The whole path of one call: quarantine, class, estimate, queue, and the observations when it finishes.
    void admitWhole(benchmark::State& state)
    {
        backend_admission admission({});
        time_point now { 10s };
        std::uint64_t id = 0;
        for (auto _ : state) {
            now += 500us;
            admission_call call { ++id, { "lookups", "GET /records" }, call_length::short_call, 5, "customer-1",
                now + 1s, id };
            benchmark::DoNotOptimize(admission.submit(call, now));
            benchmark::DoNotOptimize(admission.finish(id, admission_end::answered, now + 100us));
        }
    }

    // Choice of a server, start and end of the call.
    /// The second argument is 1 if the servers state their status.
    void pickServer(benchmark::State& state)
    {
        load_view view(seededRandom(1), { .zone = "a" });
        time_point now { 10s };
        for (int index = 0; index < state.range(0); ++index)
            view.add("server-" + std::to_string(index), std::string(1, static_cast<char>('a' + index % 4)), false, now);
        for (auto _ : state) {
            now += 100us;
            const auto id = *view.pick({}, now);
            view.onCallStarted(id, now);
            if (state.range(1) == 1)
                view.reportStatus(id, { { {}, 2ms, 1, std::nullopt }, now });
            view.onCallFinished(id, { call_observation::kind::success, 2ms }, now);
        }
    }

    BENCHMARK(admitIdle);
    BENCHMARK(admitQueued)->Args({ 10, 4 })->Args({ 1000, 4 })->Args({ 1000, 500 })->Args({ 100'000, 500 });
    BENCHMARK(refuse);
    BENCHMARK(admitWhole);
    BENCHMARK(pickServer)->Args({ 6, 0 })->Args({ 690, 0 })->Args({ 6, 1 })->Args({ 690, 1 });

} // namespace
} // namespace heatherdrift

BENCHMARK_MAIN();
