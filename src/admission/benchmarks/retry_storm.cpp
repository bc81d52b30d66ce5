#include "admission/benchmarks/scenarios.h"
#include "admission/benchmarks/schedulers.h"
#include "admission/retry_backoff.h"
#include "admission/retry_budget.h"
#include "admission/seconds.h"

#include <algorithm>
#include <cstdio>

namespace heatherdrift::simulation {

using namespace std::chrono_literals;

namespace {

    constexpr int slots = 12;
    constexpr duration shortMean = 2ms;
    constexpr double restLoad = 0.8;
    constexpr double peakLoad = 3;
    constexpr time_point peakStart { 5s };
    constexpr time_point peakEnd { 7s };
    constexpr time_point runEnd { 22s };
    constexpr int maxAttempts = 30;

    enum class retry_mode { none, unbounded, budget };

    const char* nameOf(retry_mode kind)
    {
        return kind == retry_mode::none ? "no retry" : kind == retry_mode::unbounded ? "unbounded" : "budget";
    }

    std::vector<call> callsFor(std::uint64_t seed)
    {
        const call_stream stream { .level = { call_length::short_call, 5 },
            .workspaces = { "a", "b", "c" },
            .timeouts = { 100ms, 200ms, 400ms },
            .slotsOffered
            = [](time_point now) { return slots * (now >= peakStart && now < peakEnd ? peakLoad : restLoad); },
            .maxSlotsOffered = slots * peakLoad,
            .meanService = shortMean,
            .service = logNormal(shortMean, 0.6) };
        return generate({ stream }, runEnd, seed);
    }

    // Unbounded: callers resend a failed call immediately, up to 30 attempts. Budget: with backoff, within the budget.
    retry_rule ruleFor(retry_mode kind, const std::vector<call>& calls, std::uint64_t seed)
    {
        if (kind == retry_mode::none)
            return [](const call&, time_point) { return std::nullopt; };
        if (kind == retry_mode::unbounded) {
            return [](const call& failed, time_point now) -> std::optional<time_point> {
                if (failed.attempt >= maxAttempts)
                    return std::nullopt;
                return now + duration(1);
            };
        }
        const auto budget = std::make_shared<retry_budget>(time_point {});
        const auto random = seededRandom(seed);
        auto recorded = std::make_shared<std::size_t>(0);
        return [=, &calls](const call& failed, time_point now) -> std::optional<time_point> {
            for (; *recorded < calls.size() && calls[*recorded].arrival <= now; ++*recorded)
                budget->recordFirstAttempt(calls[*recorded].arrival);
            if (failed.attempt >= maxAttempts || !budget->tryRetry(now))
                return std::nullopt;
            return nextAttempt(failed.attempt, now, now + 1s, shortMean, random);
        };
    }

    struct figures {
        double peak = 0; ///< Goodput during the peak, as a share of capacity.
        double after = 0; ///< Calls sent after the peak, including retries, that ended in time, per first attempt.
        double attempts = 0; ///< Attempts per call.
        double recovery = 0; ///< Seconds after the peak until the last first attempt that failed; negative if none did.
    };

    figures measure(scheduler& discipline, retry_mode kind, std::uint64_t seed)
    {
        const auto calls = callsFor(seed);
        const auto log = run(discipline, calls, ruleFor(kind, calls, seed));
        figures measured;
        double goodAfter = 0;
        double sentAfter = 0;
        for (const auto& call : log.calls) {
            const auto& result = log.results[call.id - 1];
            const bool isGood = result.end == call_end::good;
            if (isGood && result.endedAt >= peakStart && result.endedAt < peakEnd)
                measured.peak += inSeconds(call.service) / slots / inSeconds(peakEnd - peakStart);
            if (call.arrival < peakEnd)
                continue;
            sentAfter += call.attempt == 1;
            goodAfter += isGood && result.endedAt < runEnd;
            if (call.attempt == 1 && !isGood)
                measured.recovery = inSeconds(call.arrival - peakEnd);
        }
        measured.after = goodAfter / sentAfter;
        measured.attempts = static_cast<double>(log.calls.size()) / static_cast<double>(calls.size());
        return measured;
    }

} // namespace

void compareRetries()
{
    std::printf(
        "\nRetries: load 0.8 of the slots, 3 times the slots from 5 s to 7 s, callers send failed calls again\n\n"
        "| discipline | retries | goodput at the peak | good after the peak | attempts per call | last failed first "
        "attempt, s after the peak |\n"
        "|---|---|---|---|---|---|\n");
    for (const auto kind : { discipline::fifo, discipline::fifo_expiry, discipline::policy }) {
        for (const auto retries : { retry_mode::none, retry_mode::unbounded, retry_mode::budget }) {
            std::vector<figures> all;
            for (const auto seed : seeds)
                all.push_back(measure(*makeScheduler(kind, slots), retries, seed));
            std::printf("| %s | %s | %.1f%% | %.1f%% | %.2f | %.2f |\n", nameOf(kind), nameOf(retries),
                100 * medianOf(all, [](const figures& one) { return one.peak; }),
                100 * medianOf(all, [](const figures& one) { return one.after; }),
                medianOf(all, [](const figures& one) { return one.attempts; }),
                medianOf(all, [](const figures& one) { return one.recovery; }));
        }
    }
}

} // namespace heatherdrift::simulation
