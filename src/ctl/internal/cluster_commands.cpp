#include "ctl/internal/command.h"
#include "ctl/internal/ctl_flags.h"

#include <absl/flags/flag.h>
#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr duration statusLimit = std::chrono::seconds(2);
    constexpr duration eventInterval = std::chrono::seconds(1);

    std::string labelText(const json& member)
    {
        std::string text;
        for (const auto& [name, value] : textsOf(member, "labels"))
            text += (text.empty() ? "" : ",") + name + "=" + value;
        return text;
    }

    std::string ownerText(const json& entry)
    {
        const auto owner = textOf(entry, "owner");
        return owner.empty() ? "-" : owner + "#" + textOf(entry, "incarnation");
    }

    /// Reads one resource and prints it, as it is or as a table with the given fields of each list element.
    exit_code printList(const command_context& context, const std::string& target, const char* list,
        const std::vector<std::string>& header, std::vector<std::string> (*toRow)(const json&))
    {
        const auto answer = context.client.get(target);
        if (answer.has_error())
            return context.fail(answer.error());
        if (context.isJson) {
            context.print(answer.value());
            return exit_code::done;
        }
        std::vector<std::vector<std::string>> rows { header };
        for (const auto& element : listOf(answer.value(), list))
            rows.push_back(toRow(element));
        printTable(context.streams.out, std::move(rows));
        return exit_code::done;
    }

    /// Status of each member; members that do not answer have the field "problem" instead.
    result<std::vector<json>> readStatuses(admin_client& client)
    {
        BOOST_OUTCOME_TRY(answer, client.get("/v1/members"));
        const auto members = listOf(answer, "members");
        std::vector<endpoint> addresses;
        for (const auto& member : members)
            addresses.push_back(parseEndpoint(textOf(member, "admin")).value_or(endpoint {}));
        const auto answers = client.askEach(addresses, { "GET", "/v1/status", {}, "" }, statusLimit);
        std::vector<json> statuses;
        for (std::size_t i = 0; i < members.size(); ++i) {
            const auto status
                = answers[i].has_value() ? parseAnswer(answers[i].value()) : result<json>(answers[i].error());
            json entry { { "instance", textOf(members[i], "instance") }, { "state", textOf(members[i], "state") } };
            if (status.has_value())
                entry["status"] = status.value();
            else
                entry["problem"] = status.error().message;
            statuses.push_back(std::move(entry));
        }
        return statuses;
    }

    std::vector<std::string> leaseRow(const json& entry)
    {
        if (entry.contains("problem"))
            return { textOf(entry, "instance"), textOf(entry, "state"), "?", "", "", "", textOf(entry, "problem") };
        const auto& status = entry["status"];
        std::string witnesses;
        for (const auto& witness : listOf(status, "witnesses"))
            witnesses += (witnesses.empty() ? "" : ",") + (witness.is_string() ? witness.get<std::string>() : "?");
        return { textOf(entry, "instance"), textOf(entry, "state"), textOf(status, "has_lease"),
            textOf(status, "lease_remaining_ms"), textOf(status, "configuration_version"),
            textOf(status, "takeovers_in_progress"), witnesses };
    }

    std::string eventLine(const json& event)
    {
        const auto time = absl::FormatTime(
            "%Y-%m-%dT%H:%M:%E3SZ", absl::FromUnixMillis(numberOf(event, "time_ms").value_or(0)), absl::UTCTimeZone());
        auto line = time + " " + textOf(event, "level") + " E" + textOf(event, "number") + " " + textOf(event, "name");
        for (const auto& [name, value] : textsOf(event, "fields"))
            line += " " + name + "=" + value;
        return line;
    }

    /// Prints the events after a sequence and advances it.
    result<void> printEvents(const command_context& context, std::int64_t& after)
    {
        BOOST_OUTCOME_TRY(answer, context.client.get("/v1/events?after=" + std::to_string(after)));
        const auto last = numberOf(answer, "last").value_or(after);
        for (const auto& event : listOf(answer, "events")) {
            if (context.isJson)
                context.streams.out << event.dump() << std::endl;
            else
                context.streams.out << eventLine(event) << std::endl;
        }
        // A process that was started anew counts from 1 again.
        after = last < after ? 0 : last;
        return outcome::success();
    }

} // namespace

exit_code runMembers(const command_context& context)
{
    return printList(context, "/v1/members", "members",
        { "INSTANCE", "INCARNATION", "STATE", "ZONE", "REGION", "PARTITIONS", "ADMIN", "LABELS" },
        [](const json& member) -> std::vector<std::string> {
            return { textOf(member, "instance"), textOf(member, "incarnation"), textOf(member, "state"),
                textOf(member, "availability_zone"), textOf(member, "region"), textOf(member, "partitions"),
                textOf(member, "admin"), labelText(member) };
        });
}

exit_code runPartitions(const command_context& context)
{
    return printList(context, "/v1/partitions?pool=" + encodeQuery(context.arguments[0]), "partitions",
        { "PARTITION", "EPOCH", "OWNER", "HOT KEY" }, [](const json& entry) -> std::vector<std::string> {
            return { textOf(entry, "partition"), textOf(entry, "epoch"), ownerText(entry), textOf(entry, "hot_key") };
        });
}

exit_code runHotKeys(const command_context& context)
{
    return printList(context, "/v1/hot-keys", "hot_keys", { "POOL", "KEY", "PARTITION", "EPOCH", "OWNER" },
        [](const json& entry) -> std::vector<std::string> {
            return { textOf(entry, "pool"), textOf(entry, "key"), textOf(entry, "partition"), textOf(entry, "epoch"),
                ownerText(entry) };
        });
}

exit_code runLeases(const command_context& context)
{
    const auto statuses = readStatuses(context.client);
    if (statuses.has_error())
        return context.fail(statuses.error());
    if (context.isJson) {
        context.print({ { "leases", statuses.value() } });
        return exit_code::done;
    }
    std::vector<std::vector<std::string>> rows { { "INSTANCE", "STATE", "LEASE", "REMAINING MS", "CONFIGURATION",
        "TAKEOVERS", "WITNESSES" } };
    for (const auto& entry : statuses.value())
        rows.push_back(leaseRow(entry));
    printTable(context.streams.out, std::move(rows));
    return exit_code::done;
}

exit_code runOwner(const command_context& context)
{
    const auto answer = context.client.get(
        "/v1/owner?pool=" + encodeQuery(context.arguments[0]) + "&key=" + encodeQuery(context.arguments[1]));
    if (answer.has_error())
        return context.fail(answer.error());
    if (context.isJson)
        context.print(answer.value());
    else
        context.streams.out << ownerText(answer.value()) << " partition " << textOf(answer.value(), "partition")
                            << " epoch " << textOf(answer.value(), "epoch") << "\n";
    return exit_code::done;
}

exit_code runEvents(const command_context& context)
{
    auto after = static_cast<std::int64_t>(absl::GetFlag(FLAGS_after));
    for (;;) {
        const auto printed = printEvents(context, after);
        if (printed.has_error())
            return context.client.isOver() ? exit_code::done : context.fail(printed.error());
        if (!absl::GetFlag(FLAGS_follow) || context.client.isOver())
            return exit_code::done;
        context.client.wait(eventInterval);
        if (context.client.isOver())
            return exit_code::done;
    }
}

} // namespace heatherdrift
