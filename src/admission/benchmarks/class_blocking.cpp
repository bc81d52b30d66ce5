#include "admission/benchmarks/scenarios.h"
#include "admission/benchmarks/schedulers.h"
#include "admission/seconds.h"

#include <algorithm>
#include <cstdio>

namespace heatherdrift::simulation {

using namespace std::chrono_literals;

namespace {

    constexpr int slots = 12;
    constexpr duration shortMean = 2ms;
    constexpr duration longMean = 550 * shortMean;
    constexpr auto runTime = 60s;
    constexpr time_point measuredFrom { 5s };

    struct load {
        double total; ///< Work offered by both classes, as a share of the slots.
        double shortPart; ///< Part of it that is short calls.
    };

    struct figures {
        double p50 = 0;
        double p99 = 0;
        double p999 = 0;
        double refused = 0; ///< Share of the short calls that were refused or late.
        double longWork = 0; ///< Work of long calls that ended in time, in slots.
    };

    std::vector<call> callsFor(const load& offered, bool withLong, std::uint64_t seed)
    {
        const double shortSlots = offered.total * offered.shortPart * slots;
        const double longSlots = withLong ? offered.total * (1 - offered.shortPart) * slots : 0;
        const call_stream shortCalls { .level = { call_length::short_call, 5 },
            .workspaces = { "a", "b", "c" },
            .timeouts = { 100ms, 300ms, 1s },
            .slotsOffered = [=](time_point) { return shortSlots; },
            .maxSlotsOffered = shortSlots,
            .meanService = shortMean,
            .service = logNormal(shortMean, 0.6) };
        const call_stream longCalls { .level = { call_length::long_call, 5 },
            .workspaces = { "a", "b", "c" },
            .timeouts = { 10s },
            .slotsOffered = [=](time_point) { return longSlots; },
            .maxSlotsOffered = longSlots,
            .meanService = longMean,
            .service = uniform(100 * shortMean, 1000 * shortMean) };
        return generate({ shortCalls, longCalls }, time_point(runTime), seed);
    }

    figures measure(scheduler& discipline, const std::vector<call>& calls)
    {
        const auto log = run(discipline, calls);
        std::vector<double> latencies;
        figures measured;
        double shortCalls = 0;
        for (const auto& call : calls) {
            const auto& result = log.results[call.id - 1];
            if (call.arrival < measuredFrom)
                continue;
            if (call.level.length == call_length::long_call) {
                measured.longWork += result.end == call_end::good ? inSeconds(call.service) : 0;
                continue;
            }
            ++shortCalls;
            if (result.end == call_end::refused)
                ++measured.refused;
            else
                latencies.push_back(1000 * inSeconds(result.endedAt - call.arrival));
            measured.refused += result.end == call_end::late;
        }
        std::ranges::sort(latencies);
        measured.p50 = quantile(latencies, 0.5);
        measured.p99 = quantile(latencies, 0.99);
        measured.p999 = quantile(latencies, 0.999);
        measured.refused /= std::max(shortCalls, 1.0);
        measured.longWork /= inSeconds(runTime - measuredFrom.time_since_epoch());
        return measured;
    }

    void printRow(
        const char* name, const load& offered, const std::vector<figures>& alone, const std::vector<figures>& mixed)
    {
        std::vector<double> ratios;
        for (std::size_t index = 0; index < alone.size(); ++index)
            ratios.push_back(mixed[index].p99 / alone[index].p99);
        std::printf("| %3.0f%% | %3.0f%% | %-11s | %6.2f / %6.2f / %6.2f | %7.2f / %8.2f / %8.2f | %6.2f (%.2f-%.2f) | "
                    "%5.2f%% | %4.2f |\n",
            100 * offered.total, 100 * offered.shortPart, name,
            medianOf(alone, [](const figures& one) { return one.p50; }),
            medianOf(alone, [](const figures& one) { return one.p99; }),
            medianOf(alone, [](const figures& one) { return one.p999; }),
            medianOf(mixed, [](const figures& one) { return one.p50; }),
            medianOf(mixed, [](const figures& one) { return one.p99; }),
            medianOf(mixed, [](const figures& one) { return one.p999; }), median(ratios),
            *std::ranges::min_element(ratios), *std::ranges::max_element(ratios),
            100 * medianOf(mixed, [](const figures& one) { return one.refused; }),
            medianOf(mixed, [](const figures& one) { return one.longWork; }));
    }

} // namespace

void compareClassBlocking()
{
    std::printf(
        "Head-of-line blocking: %d slots, short calls log-normal with mean 2 ms, long calls 100 to 1000 times as long\n"
        "medians over %zu seeds; ratio: p99 beside long calls / p99 alone (least-most)\n\n",
        slots, seeds.size());
    std::printf("| load | short part | discipline | alone p50/p99/p99.9 ms | beside long p50/p99/p99.9 ms | ratio | "
                "refused | long slots |\n"
                "|---|---|---|---|---|---|---|---|\n");
    for (const double shortPart : { 0.25, 0.5, 0.75 }) {
        for (const double total : { 0.5, 0.9, 1.2 }) {
            for (const auto kind :
                { discipline::fifo, discipline::fifo_expiry, discipline::policy, discipline::policy_all_short }) {
                std::vector<figures> alone;
                std::vector<figures> mixed;
                for (const auto seed : seeds) {
                    alone.push_back(measure(*makeScheduler(kind, slots), callsFor({ total, shortPart }, false, seed)));
                    mixed.push_back(measure(*makeScheduler(kind, slots), callsFor({ total, shortPart }, true, seed)));
                }
                printRow(nameOf(kind), { total, shortPart }, alone, mixed);
            }
        }
    }
}

} // namespace heatherdrift::simulation
