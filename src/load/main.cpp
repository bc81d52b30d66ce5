#include "load/load_run.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>

ABSL_FLAG(std::string, plan, "", "Path of the plan (docs/load.md).");
ABSL_FLAG(std::vector<std::string>, entries, {}, "Addresses of the entry nodes, used in turn: ip:port,...");
ABSL_FLAG(std::uint64_t, seed, 20261204, "Seed of arrivals and keys.");
ABSL_FLAG(int, connections, 2000, "Most connections to each entry node.");
ABSL_FLAG(bool, direct, false, "The entries are backend servers.");
ABSL_FLAG(bool, json, false, "Print the summary as JSON.");
ABSL_FLAG(std::string, seconds_csv, "", "Write one CSV row per kind and second to this file.");
ABSL_FLAG(std::string, gaps_json, "", "Write the longest time without an answer per key to this file.");
ABSL_FLAG(bool, check, false, "Check the plan and exit.");

namespace {

using namespace heatherdrift;

constexpr int exitBadAnswers = 1;
constexpr int exitInvalidUse = 2;
constexpr int exitGeneratorLimited = 3;

int reject(const std::string& message)
{
    std::cerr << "heatherdrift-load: " << message << "\n";
    return exitInvalidUse;
}

double processorSeconds()
{
    timespec value {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) / 1e9;
}

result<std::vector<endpoint>> parseEntries(const std::vector<std::string>& texts)
{
    std::vector<endpoint> entries;
    for (const auto& text : texts) {
        const auto entry = parseEndpoint(text);
        if (!entry)
            return notRun(error_code::invalid_settings, "--entries: " + text + " is not ip:port");
        entries.push_back(*entry);
    }
    if (entries.empty())
        return notRun(error_code::invalid_settings, "--entries is missing");
    return entries;
}

json toSummary(const load_run& run, const load_plan& plan, std::uint64_t seed)
{
    json kinds = json::object();
    for (const auto& [name, kind] : run.report())
        kinds[name] = kind.summary(plan.length);
    const auto& counts = run.counts();
    return {
        { "seed", seed },
        { "started_at_boot_us", run.startedAt().time_since_epoch().count() },
        { "length_ms", std::chrono::duration_cast<std::chrono::milliseconds>(plan.length).count() },
        { "kinds", kinds },
        { "generator",
            { { "most_late_ms", static_cast<double>(counts.mostLate.count()) / 1000.0 },
                { "late_sends", counts.lateSends }, { "without_connection", counts.withoutConnection },
                { "processor_s", processorSeconds() } } },
    };
}

void printTable(const json& summary)
{
    std::cout << "seed " << summary["seed"] << "\n"
              << std::left << std::setw(16) << "kind" << std::right << std::setw(9) << "requests" << std::setw(9)
              << "answered" << std::setw(9) << "per s" << std::setw(9) << "p50 ms" << std::setw(9) << "p99 ms"
              << std::setw(9) << "p99.9 ms" << std::setw(9) << "max ms"
              << "  verdicts, errors, bad answers\n";
    std::cout << std::fixed << std::setprecision(1);
    for (const auto& [name, kind] : summary["kinds"].items()) {
        std::cout << std::left << std::setw(16) << name << std::right << std::setw(9) << kind["requests"]
                  << std::setw(9) << kind["answered"] << std::setw(9) << kind["goodput_per_s"].get<double>();
        for (const auto* share : { "p50", "p99", "p99_9", "max" })
            std::cout << std::setw(9) << kind["latency_ms"][share].get<double>();
        std::cout << "  " << kind["verdicts"] << " " << kind["errors"] << " " << kind["bad_answers"] << "\n";
    }
    std::cout << "generator " << summary["generator"] << "\n";
}

bool writeFile(const std::string& path, const std::string& text)
{
    if (path.empty())
        return true;
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file)
        std::cerr << "heatherdrift-load: cannot write " << path << "\n";
    return static_cast<bool>(file);
}

bool writeFiles(const load_report& report)
{
    json gaps = json::object();
    for (const auto& [name, kind] : report)
        gaps[name] = kind.gaps();
    return writeFile(absl::GetFlag(FLAGS_seconds_csv), toCsv(report))
        && writeFile(absl::GetFlag(FLAGS_gaps_json), gaps.dump(1) + "\n");
}

int exitStatus(const load_run& run)
{
    for (const auto& [name, kind] : run.report()) {
        if (kind.badAnswers() > 0)
            return exitBadAnswers;
    }
    return run.counts().withoutConnection > 0 ? exitGeneratorLimited : 0;
}

int run(const load_plan& plan, std::vector<endpoint> entries)
{
    const event_base_handle base(event_base_new());
    load_run_settings settings;
    settings.entries = std::move(entries);
    settings.seed = absl::GetFlag(FLAGS_seed);
    settings.connectionsPerEntry = absl::GetFlag(FLAGS_connections);
    settings.isDirect = absl::GetFlag(FLAGS_direct);
    const auto current = load_run::start(base.get(), plan, settings, [&] { event_base_loopbreak(base.get()); });
    event_base_dispatch(base.get());
    const auto summary = toSummary(*current, plan, settings.seed);
    if (absl::GetFlag(FLAGS_json))
        std::cout << summary.dump(1) << "\n";
    else
        printTable(summary);
    return writeFiles(current->report()) ? exitStatus(*current) : exitInvalidUse;
}

} // namespace

int main(int argc, char** argv)
{
    // The program has no handlers: the default action of other signals ends it, as intended.
    signal(SIGPIPE, SIG_IGN);
    absl::SetProgramUsageMessage("Open-loop load generator: heatherdrift-load --plan=FILE --entries=ip:port,...\n"
                                 "Exit status: 0 without findings; 1 if an answer was wrong, foreign, truncated or "
                                 "duplicate; 2 for invalid flags, an invalid plan or a file that cannot be written; "
                                 "3 if requests were not sent because all connections were in use.");
    absl::ParseCommandLine(argc, argv);
    const auto plan = loadPlanFile(absl::GetFlag(FLAGS_plan));
    if (plan.has_error())
        return reject("plan: " + plan.error().message);
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << "plan is valid\n";
        return 0;
    }
    auto entries = parseEntries(absl::GetFlag(FLAGS_entries));
    if (entries.has_error())
        return reject(entries.error().message);
    return run(plan.value(), std::move(entries).value());
}
