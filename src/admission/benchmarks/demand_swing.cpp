#include "admission/benchmarks/scenarios.h"
#include "admission/benchmarks/schedulers.h"
#include "admission/seconds.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace heatherdrift::simulation {

using namespace std::chrono_literals;

namespace {

    constexpr int slots = 12;
    constexpr duration shortMean = 2ms;
    constexpr duration longMean = 550 * shortMean;
    constexpr double restLoad = 0.7;
    constexpr double peakLoad = 3;
    constexpr time_point swingStart { 5s };
    constexpr time_point peakStart { 6s };
    constexpr time_point peakEnd { 16s };
    constexpr time_point swingEnd { 17s };
    constexpr time_point runEnd { 25s };
    constexpr duration window = 500ms;

    // Load as a share of the slots: at rest, to the peak within one second, there for ten, back within one second.
    double loadAt(time_point now)
    {
        if (now < swingStart || now >= swingEnd)
            return restLoad;
        if (now < peakStart)
            return restLoad + (peakLoad - restLoad) * inSeconds(now - swingStart);
        if (now < peakEnd)
            return peakLoad;
        return peakLoad - (peakLoad - restLoad) * inSeconds(now - peakEnd);
    }

    struct mix {
        const char* name;
        std::array<double, 3> parts; ///< Of priorities 9, 5 and 1.
        double longPart; ///< Part of each that is long calls.
    };

    constexpr std::array<int, 3> priorities { 9, 5, 1 };

    std::vector<call> callsFor(const mix& offered, std::uint64_t seed)
    {
        std::vector<call_stream> streams;
        for (std::size_t index = 0; index < priorities.size(); ++index) {
            for (const auto length : { call_length::short_call, call_length::long_call }) {
                const bool isLong = length == call_length::long_call;
                const double part = offered.parts[index] * (isLong ? offered.longPart : 1 - offered.longPart) * slots;
                streams.push_back({ .level = { length, priorities[index] },
                    .workspaces = { "a", "b", "c", "d" },
                    .timeouts
                    = isLong ? std::vector<duration> { 5s, 10s } : std::vector<duration> { 50ms, 200ms, 1s, 5s },
                    .slotsOffered = [part](time_point now) { return part * loadAt(now); },
                    .maxSlotsOffered = part * peakLoad,
                    .meanService = isLong ? longMean : shortMean,
                    .service = isLong ? uniform(100 * shortMean, 1000 * shortMean) : logNormal(shortMean, 0.6) });
            }
        }
        return generate(streams, runEnd, seed);
    }

    struct figures {
        std::array<double, 3> goodput {}; ///< At the peak, per priority, as a share of min(offered, capacity).
        double top = 0; ///< Worst window of priority 9.
        double all = 0; ///< Mean of all priorities at the peak, as a share of capacity.
        double allWorst = 0; ///< Worst window from the start of the load peak to its end.
        double recovery = 0; ///< See recoveryTime().
        double failedAfterWaiting = 0; ///< Share of the failed calls that were queued before they failed.
        double late = 0; ///< Share of the capacity at the peak spent on calls that ended late.
    };

    struct window_work {
        std::array<double, 3> offered {};
        std::array<double, 3> good {};
        double late = 0;
    };

    std::vector<window_work> workByWindow(const std::vector<call>& calls, const std::vector<call_result>& results)
    {
        std::vector<window_work> windows(static_cast<std::size_t>(runEnd.time_since_epoch() / window) + 200);
        // Work counts in the windows in which it was done: a long call spans several of them.
        const auto spread = [&](const call_result& result, auto&& add) {
            for (auto at = result.startedAt; at < result.endedAt;) {
                const auto index = static_cast<std::size_t>(at.time_since_epoch() / window);
                const auto end = std::min(result.endedAt, time_point((index + 1) * window));
                add(windows[std::min(index, windows.size() - 1)], inSeconds(end - at));
                at = end;
            }
        };
        for (const auto& call : calls) {
            const auto& result = results[call.id - 1];
            const auto index
                = static_cast<std::size_t>(std::ranges::find(priorities, call.level.priority) - priorities.begin());
            spread({ call_end::good, call.arrival, call.arrival + call.service },
                [&](window_work& one, double work) { one.offered[index] += work; });
            if (result.end == call_end::good)
                spread(result, [&](window_work& one, double work) { one.good[index] += work; });
            if (result.end == call_end::late)
                spread(result, [](window_work& one, double work) { one.late += work; });
        }
        return windows;
    }

    double sum(const std::array<double, 3>& values) { return values[0] + values[1] + values[2]; }

    // Seconds from the end of the load peak until no call fails any more and the p99 latency of short calls in each
    // 100 ms is at most twice that before the peak.
    double recoveryTime(const std::vector<call>& calls, const std::vector<call_result>& results)
    {
        constexpr duration step = 100ms;
        double recovery = 0;
        std::vector<double> before;
        std::vector<std::vector<double>> after(static_cast<std::size_t>((runEnd - swingEnd) / step) + 1);
        for (const auto& call : calls) {
            const auto& result = results[call.id - 1];
            if (call.arrival >= swingEnd && result.end != call_end::good)
                recovery = std::max(recovery, inSeconds(call.arrival - swingEnd));
            if (call.level.length == call_length::long_call || result.end == call_end::refused)
                continue;
            const double latency = inSeconds(result.endedAt - call.arrival);
            if (call.arrival < swingStart)
                before.push_back(latency);
            if (call.arrival >= swingEnd)
                after[static_cast<std::size_t>((call.arrival - swingEnd) / step)].push_back(latency);
        }
        std::ranges::sort(before);
        for (std::size_t index = 0; index < after.size(); ++index) {
            std::ranges::sort(after[index]);
            if (quantile(after[index], 0.99) > 2 * quantile(before, 0.99))
                recovery = std::max(recovery, inSeconds(step * static_cast<int>(index + 1)));
        }
        return recovery;
    }

    // Upper bound of the work done for a part of the load in a window, in slot seconds. If the load crosses the
    // capacity within the window, this is less than the minimum of offered work and capacity over the window.
    double possibleWork(std::size_t index, double part)
    {
        constexpr duration step = 10ms;
        double work = 0;
        for (auto at = time_point(index * window); at < time_point((index + 1) * window); at += step)
            work += slots * inSeconds(step) * std::min(1.0, part * loadAt(at));
        return work;
    }

    figures measure(scheduler& discipline, const std::vector<call>& calls, const mix& offered)
    {
        const auto results = run(discipline, calls).results;
        const auto windows = workByWindow(calls, results);
        const double capacity = slots * inSeconds(window);
        figures measured { .top = 1e9, .allWorst = 1e9 };
        const auto first = static_cast<std::size_t>(swingStart.time_since_epoch() / window);
        const auto peak = static_cast<std::size_t>(peakStart.time_since_epoch() / window);
        const auto end = static_cast<std::size_t>(peakEnd.time_since_epoch() / window);
        window_work total;
        for (std::size_t index = first; index < end; ++index) {
            const auto& one = windows[index];
            measured.top
                = std::min(measured.top, one.good[0] / std::min(one.offered[0], possibleWork(index, offered.parts[0])));
            measured.allWorst
                = std::min(measured.allWorst, sum(one.good) / std::min(sum(one.offered), possibleWork(index, 1)));
            if (index < peak)
                continue;
            for (std::size_t priority = 0; priority < priorities.size(); ++priority) {
                total.offered[priority] += one.offered[priority];
                total.good[priority] += one.good[priority];
            }
            total.late += one.late;
        }
        const double peakCapacity = capacity * static_cast<double>(end - peak);
        for (std::size_t priority = 0; priority < priorities.size(); ++priority)
            measured.goodput[priority]
                = total.good[priority] / std::max(1e-9, std::min(total.offered[priority], peakCapacity));
        measured.all = sum(total.good) / peakCapacity;
        measured.late = total.late / peakCapacity;
        double failed = 0;
        for (const auto& call : calls) {
            const auto& result = results[call.id - 1];
            failed += result.end != call_end::good;
            measured.failedAfterWaiting += result.end != call_end::good && result.endedAt > call.arrival;
        }
        measured.recovery = recoveryTime(calls, results);
        measured.failedAfterWaiting /= std::max(failed, 1.0);
        return measured;
    }

    void printRow(const char* mixName, const char* name, const std::vector<figures>& all)
    {
        std::printf("| %-22s | %-11s | %5.1f%% / %5.1f%% / %5.1f%% | %5.1f%% | %5.1f%% | %5.1f%% | %5.1f%% | %5.1f%% | "
                    "%5.2f |\n",
            mixName, name, 100 * medianOf(all, [](const figures& one) { return one.goodput[0]; }),
            100 * medianOf(all, [](const figures& one) { return one.goodput[1]; }),
            100 * medianOf(all, [](const figures& one) { return one.goodput[2]; }),
            100 * medianOf(all, [](const figures& one) { return one.all; }),
            100 * std::ranges::min_element(all, {}, &figures::top)->top,
            100 * std::ranges::min_element(all, {}, &figures::allWorst)->allWorst,
            100 * medianOf(all, [](const figures& one) { return one.late; }),
            100 * medianOf(all, [](const figures& one) { return one.failedAfterWaiting; }),
            std::ranges::max_element(all, {}, &figures::recovery)->recovery);
    }

} // namespace

void compareDemandSwing()
{
    std::printf(
        "\nSwing from 0.7 to 3 times capacity within 1 s, 10 s there, back within 1 s; worst windows and recovery "
        "are the worst of the seeds\n\n");
    std::printf("| mix of priorities 9/5/1 | discipline | goodput 9/5/1 of min(offered, capacity) | all of capacity | "
                "worst 500 ms, 9 | worst 500 ms, all | late work | waited in vain | recovery s |\n"
                "|---|---|---|---|---|---|---|---|---|\n");
    const mix mixes[] = { { "40/30/30", { 0.4, 0.3, 0.3 }, 0 }, { "20/40/40", { 0.2, 0.4, 0.4 }, 0 },
        { "100/0/0", { 1, 0, 0 }, 0 }, { "40/30/30, 20% long", { 0.4, 0.3, 0.3 }, 0.2 } };
    for (const auto& offered : mixes) {
        for (const auto kind : { discipline::fifo, discipline::fifo_expiry, discipline::policy }) {
            std::vector<figures> all;
            for (const auto seed : seeds)
                all.push_back(measure(*makeScheduler(kind, slots), callsFor(offered, seed), offered));
            printRow(offered.name, nameOf(kind), all);
        }
    }
}

} // namespace heatherdrift::simulation
