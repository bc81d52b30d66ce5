#include "ctl/internal/command.h"
#include "ctl/internal/convergence.h"
#include "ctl/internal/ctl_flags.h"

#include <absl/flags/flag.h>

namespace heatherdrift {

namespace {

    constexpr int conflictAttempts = 5;
    /// After a conflict the node needs a moment to learn the version that won.
    constexpr duration conflictDelay = std::chrono::milliseconds(300);
    constexpr duration pollInterval = std::chrono::milliseconds(200);
    constexpr duration probeLimit = std::chrono::seconds(2);

    result<json> findMember(admin_client& client, const std::string& instance)
    {
        BOOST_OUTCOME_TRY(answer, client.get("/v1/members"));
        for (const auto& member : listOf(answer, "members")) {
            if (textOf(member, "instance") == instance)
                return member;
        }
        return notRun(error_code::not_found, "no instance is named " + instance);
    }

    std::string actionPath(const std::string& instance, const char* action)
    {
        return "/v1/instances/" + encodeQuery(instance) + "/" + action;
    }

    /// Changes the label and waits until the change is in force everywhere.
    result<exit_code> changeLabel(const command_context& context, const char* action, json& document)
    {
        const auto target = actionPath(context.arguments[0], action);
        auto changed = context.client.change("POST", target);
        for (int i = 1; i < conflictAttempts && changed.has_error(); ++i) {
            if (changed.error().code != error_code::conflict || changed.error().outcome != verdict::not_run)
                break;
            context.client.wait(conflictDelay);
            changed = context.client.change("POST", target);
        }
        if (changed.has_error())
            return changed.error();
        const auto version = numberOf(changed.value(), "version");
        if (!version)
            return mayHaveRun(error_code::internal, "the node's answer has no version");
        document = changed.value();
        return waitUntilInForce(context, *version, document);
    }

    /// Number of partitions that the instance owns; empty if no node answers.
    std::optional<std::int64_t> readOwned(const command_context& context)
    {
        const auto member = findMember(context.client, context.arguments[0]);
        return member.has_value() ? numberOf(member.value(), "partitions") : std::nullopt;
    }

    exit_code waitUntilEmpty(const command_context& context, json& document)
    {
        auto owned = readOwned(context);
        while (owned != 0 && !context.client.isOver()) {
            context.client.wait(pollInterval);
            if (context.client.isOver())
                break;
            // A question that the deadline cuts off must not hide what a node answered before.
            if (const auto answered = readOwned(context))
                owned = answered;
        }
        document["partitions"] = owned ? json(*owned) : json(nullptr);
        if (owned == 0)
            return exit_code::done;
        context.streams.err << "heatherdriftctl: " << context.arguments[0] << " still owns "
                            << (owned ? std::to_string(*owned) : "an unknown number of") << " partitions\n";
        return exit_code::not_in_force;
    }

} // namespace

exit_code runDrain(const command_context& context)
{
    json document;
    const auto changed = changeLabel(context, "drain", document);
    if (changed.has_error())
        return context.fail(changed.error());
    auto code = changed.value();
    if (code == exit_code::done)
        code = waitUntilEmpty(context, document);
    if (context.isJson)
        context.print(document);
    else if (code == exit_code::done)
        context.streams.out << context.arguments[0] << " is drained and owns no partition\n";
    return code;
}

exit_code runUndrain(const command_context& context)
{
    json document;
    const auto changed = changeLabel(context, "undrain", document);
    if (changed.has_error())
        return context.fail(changed.error());
    if (context.isJson)
        context.print(document);
    else if (changed.value() == exit_code::done)
        context.streams.out << context.arguments[0] << " may own partitions again\n";
    return changed.value();
}

exit_code runDeclareLost(const command_context& context)
{
    const auto& instance = context.arguments[0];
    if (!absl::GetFlag(FLAGS_yes))
        return context.rejectUsage("declare-lost: with --yes you state that the process of " + instance
            + " does not run and will not resume. If it does, two backend servers may run calls for one key.");
    const auto member = findMember(context.client, instance);
    if (member.has_error())
        return context.fail(member.error());
    // A process that answers is not lost. Silence proves nothing, which is why the operator has to state it.
    const auto address = parseEndpoint(textOf(member.value(), "admin"));
    if (address) {
        const auto answer = context.client.ask(*address, { "GET", "/v1/status", {}, "" }, probeLimit);
        const auto status = answer.has_value() ? parseAnswer(answer.value()) : result<json>(answer.error());
        if (status.has_value() && textOf(status.value(), "instance") == instance)
            return context.fail(
                notRun(error_code::conflict, instance + " answers at " + toString(*address) + "; drain or stop it"));
    }
    const auto declared = context.client.change("POST", actionPath(instance, "declare-lost"));
    if (declared.has_error())
        return context.fail(declared.error());
    if (context.isJson)
        context.print({ { "instance", instance }, { "declared_lost", true } });
    else
        context.streams.out << instance << " is declared lost; its partitions are being reassigned\n";
    return exit_code::done;
}

} // namespace heatherdrift
