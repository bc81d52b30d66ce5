#include "configuration/configuration.h"
#include "ctl/internal/command.h"
#include "ctl/internal/convergence.h"
#include "ctl/internal/ctl_flags.h"

#include <absl/flags/flag.h>
#include <fstream>
#include <sstream>

namespace heatherdrift {

namespace {

    /// Reads and checks a file with the node's own parser.
    result<configuration> readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        std::ostringstream text;
        if (!file || !(text << file.rdbuf()))
            return notRun(error_code::not_found, path + ": cannot be read");
        const auto withPath = [&](const failure& reason) {
            return failure { reason.outcome, reason.code, path + ": " + reason.message };
        };
        const auto document = parseJson(text.str(), error_code::invalid_configuration);
        if (document.has_error())
            return withPath(document.error());
        auto parsed = parseConfiguration(document.value());
        if (parsed.has_error())
            return withPath(parsed.error());
        return parsed;
    }

    struct present_configuration {
        std::int64_t version = 0;
        json document; ///< Null if there is none.
    };

    result<present_configuration> readConfiguration(admin_client& client, std::int64_t version)
    {
        BOOST_OUTCOME_TRY(answer,
            client.get(version > 0 ? "/v1/configuration?version=" + std::to_string(version) : "/v1/configuration"));
        const auto found = numberOf(answer, "version");
        if (!found || !answer.contains("configuration"))
            return notRun(error_code::internal, "the node's answer is not a configuration");
        return present_configuration { *found, answer["configuration"] };
    }

    exit_code failApply(const command_context& context, failure reason, std::int64_t next)
    {
        if (reason.outcome != verdict::not_run)
            reason.message += "; see who wrote version " + std::to_string(next)
                + " with: heatherdriftctl show configuration --version=" + std::to_string(next);
        if (reason.code == error_code::conflict)
            reason.message += "; compare with: heatherdriftctl diff " + context.arguments[0];
        return context.fail(reason);
    }

} // namespace

exit_code runApply(const command_context& context)
{
    const auto next = readFile(context.arguments[0]);
    if (next.has_error())
        return context.fail(next.error());
    const auto current = readConfiguration(context.client, 0);
    if (current.has_error())
        return context.fail(current.error());
    const auto wanted = toJson(next.value());
    const auto given = absl::GetFlag(FLAGS_base_version);
    const auto base = given >= 0 ? given : current.value().version;
    json document { { "version", current.value().version }, { "is_changed", false } };
    if (base != current.value().version || wanted != current.value().document) {
        const json body { { "base_version", base }, { "configuration", wanted } };
        const auto applied = context.client.change("PUT", "/v1/configuration", body.dump());
        if (applied.has_error())
            return failApply(context, applied.error(), base + 1);
        const auto version = numberOf(applied.value(), "version");
        if (!version)
            return context.fail(mayHaveRun(error_code::internal, "the node's answer has no version"));
        document = { { "version", *version }, { "is_changed", true } };
    }
    const auto version = document["version"].get<std::int64_t>();
    const auto code = waitUntilInForce(context, version, document);
    if (context.isJson)
        context.print(document);
    else if (code == exit_code::done)
        context.streams.out << "version " << version << " is in force everywhere"
                            << (document["is_changed"] == true ? "\n" : " (unchanged)\n");
    return code;
}

exit_code runCheck(const command_context& context)
{
    const auto parsed = readFile(context.arguments[0]);
    if (parsed.has_error())
        return context.fail(parsed.error());
    if (context.isJson)
        context.print({ { "valid", true } });
    else
        context.streams.out << context.arguments[0] << ": valid\n";
    return exit_code::done;
}

exit_code runShow(const command_context& context)
{
    if (context.arguments[0] != "configuration")
        return context.rejectUsage("show: expected 'configuration'");
    const auto shown = readConfiguration(context.client, absl::GetFlag(FLAGS_version));
    if (shown.has_error())
        return context.fail(shown.error());
    if (context.isJson) {
        context.print({ { "version", shown.value().version }, { "configuration", shown.value().document } });
        return exit_code::done;
    }
    // The version goes to the other stream, so that the output is a file for `apply`.
    context.streams.err << "version " << shown.value().version << "\n";
    context.print(shown.value().document);
    return exit_code::done;
}

exit_code runDiff(const command_context& context)
{
    const auto next = readFile(context.arguments[0]);
    if (next.has_error())
        return context.fail(next.error());
    const auto current = readConfiguration(context.client, absl::GetFlag(FLAGS_version));
    if (current.has_error())
        return context.fail(current.error());
    const auto& document = current.value().document;
    const auto patch = json::diff(document, toJson(next.value()));
    if (context.isJson) {
        context.print({ { "version", current.value().version }, { "patch", patch } });
        return exit_code::done;
    }
    auto& out = context.streams.out;
    if (patch.empty())
        out << "no difference from version " << current.value().version << "\n";
    for (const auto& step : patch) {
        const json::json_pointer path(textOf(step, "path"));
        out << textOf(step, "op") << " " << (path.empty() ? "/" : path.to_string());
        if (step["op"] != "add" && document.contains(path))
            out << " " << document[path].dump();
        if (step.contains("value"))
            out << " -> " << step["value"].dump();
        out << "\n";
    }
    return exit_code::done;
}

} // namespace heatherdrift
