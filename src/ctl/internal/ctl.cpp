#include "ctl/ctl.h"

#include "ctl/internal/command.h"
#include "ctl/internal/ctl_flags.h"

#include <absl/flags/flag.h>
#include <algorithm>

namespace heatherdrift {

const std::vector<command>& commands()
{
    static const std::vector<command> table {
        { "apply", "FILE", 1, 1,
            "Checks a configuration file, makes it the next version and waits until it is in force on every member.",
            { "base_version" }, true, &runApply },
        { "check", "FILE", 1, 1, "Checks a configuration file without asking a node.", {}, false, &runCheck },
        { "show", "configuration", 1, 1, "Prints the configuration in force, or an older version.", { "version" }, true,
            &runShow },
        { "diff", "FILE", 1, 1, "Prints what a file would change (with --json as JSON patch).", { "version" }, true,
            &runDiff },
        { "members", "", 0, 0, "Lists the instances with their state and number of partitions.", {}, true,
            &runMembers },
        { "partitions", "POOL", 1, 1, "Lists the partitions of a pool with their owners.", {}, true, &runPartitions },
        { "leases", "", 0, 0, "Asks every member for its lease and witnesses.", {}, true, &runLeases },
        { "hot-keys", "", 0, 0, "Lists the keys that have a partition of their own.", {}, true, &runHotKeys },
        { "owner", "POOL KEY", 2, 2, "Prints the owner of a key.", {}, true, &runOwner },
        { "drain", "INSTANCE", 1, 1,
            "Sets the label drain=true in the configuration and waits until the instance owns nothing.", {}, true,
            &runDrain, absl::Seconds(60) },
        { "undrain", "INSTANCE", 1, 1,
            "Removes the label drain from the configuration and waits until that is in force everywhere.", {}, true,
            &runUndrain },
        { "declare-lost", "INSTANCE", 1, 1,
            "States that an instance's process does not run and will not resume, so that a blocked takeover goes on.",
            { "yes" }, true, &runDeclareLost },
        { "request", "[METHOD] PATH", 1, 2,
            "Sends a caller's request; prints the verdict to standard error and the body to standard output. Without "
            "--timeout the selector's timeout holds.",
            { "entry", "key", "labels", "customer", "body", "once", "token" }, true, &runRequest, absl::Hours(24) },
        { "events", "", 0, 0,
            "Prints the recent log events of a node and follows them, without end unless --timeout is given.",
            { "follow", "after" }, true, &runEvents, absl::InfiniteDuration() },
        { "explain", "", 0, 0,
            "Prints where a node would send a request now, and why; nothing is sent. --node names the metrics address "
            "of "
            "the node.",
            { "host", "path", "key", "method" }, true, &runExplain },
    };
    return table;
}

namespace {

    constexpr const char* exitCodeHelp = "Exit codes: 0 done; 1 refused or failed; 2 usage; 3 the outcome is unknown; "
                                         "4 accepted, but not in force everywhere in time.\n";

    void printOverview(std::ostream& out)
    {
        out << "Usage: heatherdriftctl --node=IP:PORT[,IP:PORT...] COMMAND ...\n\n";
        std::vector<std::vector<std::string>> rows { { "COMMAND", "" } };
        for (const auto& command : commands())
            rows.push_back(
                { std::string(command.name) + " " + std::string(command.arguments), std::string(command.help) });
        printTable(out, std::move(rows));
        out << "\n" << exitCodeHelp << "See heatherdriftctl COMMAND --help for flags.\n";
    }

    void printHelp(std::ostream& out, const command& command)
    {
        out << "Usage: heatherdriftctl " << command.name << " " << command.arguments << "\n"
            << command.help << "\n\nFlags:\n"
            << flagHelp({ "node", "timeout", "json" }) << flagHelp(command.flags) << exitCodeHelp;
    }

    const command* findCommand(const std::string& name)
    {
        const auto& all = commands();
        const auto found
            = std::find_if(all.begin(), all.end(), [&](const command& command) { return command.name == name; });
        return found == all.end() ? nullptr : &*found;
    }

    /// What is wrong with the arguments of a command; empty if nothing.
    std::string checkArguments(const command& command, const parsed_arguments& parsed)
    {
        const auto count = parsed.positional.size() - 1;
        if (count < command.leastArguments || count > command.mostArguments)
            return "expected arguments: " + (command.arguments.empty() ? "none" : std::string(command.arguments));
        for (const auto& flag : parsed.flags) {
            const bool isCommon = flag == "node" || flag == "timeout" || flag == "json";
            if (!isCommon && std::find(command.flags.begin(), command.flags.end(), flag) == command.flags.end())
                return "flag --" + flag + " does not apply";
        }
        if (absl::GetFlag(FLAGS_timeout) < absl::ZeroDuration())
            return "flag --timeout: must not be negative";
        return "";
    }

    result<std::vector<endpoint>> readNodes()
    {
        std::vector<endpoint> nodes;
        for (const auto& text : absl::GetFlag(FLAGS_node)) {
            const auto address = parseEndpoint(text);
            if (!address)
                return notRun(error_code::bad_request, "flag --node: '" + text + "' is not IP:PORT");
            nodes.push_back(*address);
        }
        return nodes;
    }

    time_point readDeadline(const command& command)
    {
        const auto given = absl::GetFlag(FLAGS_timeout);
        // A year stands for no limit; the clock's arithmetic stays within its range.
        const auto limit
            = std::min(given > absl::ZeroDuration() ? given : command.defaultTimeout, absl::Hours(365 * 24));
        return boot_clock::now() + absl::ToChronoMicroseconds(limit);
    }

    exit_code rejectUsage(std::ostream& err, const std::string& message)
    {
        err << "heatherdriftctl: " << message << "\n";
        return exit_code::usage;
    }

} // namespace

exit_code runCtl(const std::vector<std::string>& arguments, ctl_streams streams)
{
    const auto read = parseArguments(arguments);
    if (read.has_error())
        return rejectUsage(streams.err, read.error().message);
    const auto& parsed = read.value();
    if (parsed.positional.empty()) {
        printOverview(parsed.wantsHelp ? streams.out : streams.err);
        return parsed.wantsHelp ? exit_code::done : exit_code::usage;
    }
    const auto& name = parsed.positional.front();
    const auto* command = findCommand(name);
    if (!command)
        return rejectUsage(streams.err, "unknown command '" + name + "'; see heatherdriftctl --help");
    if (parsed.wantsHelp) {
        printHelp(streams.out, *command);
        return exit_code::done;
    }
    const auto problem = checkArguments(*command, parsed);
    if (!problem.empty())
        return rejectUsage(streams.err, name + ": " + problem);
    auto nodes = readNodes();
    if (nodes.has_error())
        return rejectUsage(streams.err, nodes.error().message);
    // With entry addresses a request needs no admin address.
    const bool needsNode = command->needsNode && absl::GetFlag(FLAGS_entry).empty();
    if (needsNode && nodes.value().empty())
        return rejectUsage(streams.err, name + ": give the admin address of a node with --node=IP:PORT");
    admin_client client(std::move(nodes).value(), readDeadline(*command));
    return command->run(
        { { parsed.positional.begin() + 1, parsed.positional.end() }, client, streams, absl::GetFlag(FLAGS_json) });
}

} // namespace heatherdrift
