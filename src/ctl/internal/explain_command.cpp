#include "ctl/internal/command.h"
#include "ctl/internal/ctl_flags.h"

#include <absl/flags/flag.h>

namespace heatherdrift {

namespace {

    constexpr const char* unknownText = "-";

    std::string makeTarget()
    {
        std::string target = "/explain?host=" + encodeQuery(absl::GetFlag(FLAGS_host))
            + "&path=" + encodeQuery(absl::GetFlag(FLAGS_path));
        if (!absl::GetFlag(FLAGS_key).empty())
            target += "&key=" + encodeQuery(absl::GetFlag(FLAGS_key));
        if (!absl::GetFlag(FLAGS_method).empty())
            target += "&method=" + encodeQuery(absl::GetFlag(FLAGS_method));
        return target;
    }

    json objectOf(const json& document, const char* field)
    {
        const auto found = document.is_object() ? document.find(field) : document.end();
        return found != document.end() && found->is_object() ? *found : json::object();
    }

    std::string cell(const json& object, const char* field)
    {
        const auto text = object.is_object() ? textOf(object, field) : "";
        return text.empty() ? unknownText : text;
    }

    std::string statesOf(const json& object)
    {
        std::string states;
        for (const auto& state : listOf(object, "states"))
            states += (states.empty() ? "" : ",") + (state.is_string() ? state.get<std::string>() : state.dump());
        const auto cold = objectOf(object, "cold");
        if (!cold.empty())
            states += " (warm in " + cell(cold, "remaining_ms") + " ms, next start in " + cell(cold, "next_start_ms")
                + " ms, " + cell(cold, "requests_per_second") + "/s)";
        return states.empty() ? unknownText : states;
    }

    void printRoute(std::ostream& out, const json& page)
    {
        out << "node " << cell(page, "node") << ", configuration version " << cell(page, "configuration_version")
            << "\n";
        const auto route = objectOf(page, "route");
        if (route.empty())
            return;
        const auto service = objectOf(page, "service");
        out << "route " << cell(route, "name") << ", prefix " << cell(route, "prefix") << ", priority "
            << cell(route, "priority") << ", objective " << cell(route, "objective_ms") << " ms, timeout "
            << cell(route, "timeout_ms") << " ms\n"
            << "service " << cell(service, "name")
            << (textOf(service, "is_partitioned") == "true" ? ", with keys\n" : ", without keys\n");
    }

    void printOwners(std::ostream& out, const json& page)
    {
        const auto range = objectOf(page, "range");
        if (range.empty())
            return;
        out << "keys " << cell(range, "first") << " to " << cell(range, "last") << ", version "
            << cell(range, "map_version") << " of the range map\n\n";
        std::vector<std::vector<std::string>> rows { { "ROLE", "LIFE", "NODE", "MAY SERVE", "STATE" } };
        for (const auto& owner : listOf(page, "owners"))
            rows.push_back({ cell(owner, "role"), cell(owner, "life"), cell(owner, "node"), cell(owner, "may_serve"),
                statesOf(owner) });
        printTable(out, std::move(rows));
    }

    void printCandidates(std::ostream& out, const json& page)
    {
        const auto candidates = listOf(page, "candidates");
        if (candidates.empty())
            return;
        out << "chosen by " << cell(page, "chooses_by") << "; times in ms\n\n";
        std::vector<std::vector<std::string>> rows { { "NODE", "ZONE", "SHARE", "WAIT", "SERVICE", "SLOWDOWN", "ANSWER",
            "AGE", "COST", "STATE" } };
        for (const auto& one : candidates) {
            std::vector<std::string> row;
            for (const char* field : { "node", "zone", "share", "expected_wait_ms", "service_time_ms", "slowdown",
                     "expected_answer_ms", "status_age_ms", "cost_ms" })
                row.push_back(cell(one, field));
            row.push_back(statesOf(one));
            rows.push_back(std::move(row));
        }
        printTable(out, std::move(rows));
    }

    void printDecision(std::ostream& out, const json& page)
    {
        const auto decision = objectOf(page, "decision");
        out << "\n";
        if (textOf(decision, "outcome") == "send") {
            out << "sent to " << cell(decision, "node");
            if (decision.contains("share"))
                out << " (" << cell(decision, "share") << " of the picks)";
        } else {
            out << "refused with " << cell(decision, "status");
            if (decision.contains("retry_after_ms"))
                out << ", Retry-After about " << cell(decision, "retry_after_ms") << " ms";
        }
        out << ": " << cell(decision, "reason") << "\n";
    }

} // namespace

exit_code runExplain(const command_context& context)
{
    if (absl::GetFlag(FLAGS_host).empty())
        return context.rejectUsage("explain: give the host of the request with --host=HOST");
    if (!absl::GetFlag(FLAGS_path).starts_with('/'))
        return context.rejectUsage("explain: give the path of the request with --path=/...");
    const auto answer = context.client.get(makeTarget());
    if (answer.has_error())
        return context.fail(answer.error());
    const auto& page = answer.value();
    if (!page.is_object() || objectOf(page, "decision").empty())
        return context.fail(notRun(error_code::internal, "the answer is no explanation of a choice"));
    if (context.isJson) {
        context.print(page);
        return exit_code::done;
    }
    auto& out = context.streams.out;
    printRoute(out, page);
    printOwners(out, page);
    printCandidates(out, page);
    printDecision(out, page);
    return exit_code::done;
}

} // namespace heatherdrift
