#include "admission/benchmarks/scenarios.h"
#include "admission/benchmarks/schedulers.h"
#include "admission/seconds.h"

#include <algorithm>
#include <cstdio>
#include <map>

namespace heatherdrift::simulation {

using namespace std::chrono_literals;

namespace {

    constexpr int slots = 12;
    constexpr duration shortMean = 2ms;
    constexpr duration longMean = 550 * shortMean;
    constexpr time_point runEnd { 30s };

    // Workspace "big" offers twice the capacity of its class, "small" and "tiny" a part of their fair shares.
    std::vector<call> callsFor(call_length length, double classSlots, std::uint64_t seed)
    {
        const bool isLong = length == call_length::long_call;
        std::vector<call_stream> streams;
        for (const auto& [workspace, part] :
            std::map<std::string, double> { { "big", 2 }, { "small", 0.25 }, { "tiny", 0.05 } }) {
            const double offered = part * classSlots;
            streams.push_back({ .level = { length, 5 },
                .workspaces = { workspace },
                .timeouts = isLong ? std::vector<duration> { 5s, 10s } : std::vector<duration> { 50ms, 200ms, 1s },
                .slotsOffered = [offered](time_point) { return offered; },
                .maxSlotsOffered = offered,
                .meanService = isLong ? longMean : shortMean,
                .service = isLong ? uniform(100 * shortMean, 1000 * shortMean) : logNormal(shortMean, 0.6) });
        }
        return generate(streams, runEnd, seed);
    }

    struct figures {
        std::map<std::string, double> served; ///< Share of the workspace's calls that were good.
        std::map<std::string, double> wait; ///< p99 of the wait of its good calls, in ms.
    };

    figures measure(scheduler& discipline, std::vector<call> calls)
    {
        const auto log = run(discipline, std::move(calls));
        std::map<std::string, std::vector<double>> waits;
        std::map<std::string, double> counts;
        for (const auto& call : log.calls) {
            const auto& result = log.results[call.id - 1];
            counts[call.workspace] += 1;
            if (result.end == call_end::good)
                waits[call.workspace].push_back(1000 * inSeconds(result.startedAt - call.arrival));
        }
        figures measured;
        for (auto& [workspace, values] : waits) {
            std::ranges::sort(values);
            measured.served[workspace] = static_cast<double>(values.size()) / counts[workspace];
            measured.wait[workspace] = quantile(values, 0.99);
        }
        return measured;
    }

} // namespace

void compareWorkspaces()
{
    std::printf(
        "\nCustomers at one priority: big offers 200%% of the slots of the class, small 25%%, tiny 5%%\n\n"
        "| class | discipline | good: big / small / tiny | p99 wait ms: big / small / tiny |\n|---|---|---|---|\n");
    for (const auto length : { call_length::short_call, call_length::long_call }) {
        const bool isLong = length == call_length::long_call;
        for (const auto kind : { discipline::fifo, discipline::fifo_expiry, discipline::policy }) {
            std::vector<figures> all;
            for (const auto seed : seeds)
                all.push_back(measure(*makeScheduler(kind, slots), callsFor(length, isLong ? slots / 2 : slots, seed)));
            const auto served = [&](const char* workspace) {
                return 100 * medianOf(all, [&](const figures& one) { return one.served.at(workspace); });
            };
            const auto wait = [&](const char* workspace) {
                return medianOf(all, [&](const figures& one) { return one.wait.at(workspace); });
            };
            std::printf("| %s | %s | %.1f%% / %.1f%% / %.1f%% | %.1f / %.1f / %.1f |\n", isLong ? "long" : "short",
                nameOf(kind), served("big"), served("small"), served("tiny"), wait("big"), wait("small"), wait("tiny"));
        }
    }
}

} // namespace heatherdrift::simulation
