#include "ctl/internal/command.h"
#include "ctl/internal/ctl_flags.h"

#include <absl/flags/flag.h>
#include <algorithm>

namespace heatherdrift {

namespace {

    /// The node answers at the call's deadline; this is for its answer to arrive.
    constexpr duration answerMargin = std::chrono::milliseconds(500);

    result<std::vector<endpoint>> findEntries(admin_client& client)
    {
        std::vector<endpoint> entries;
        for (const auto& text : absl::GetFlag(FLAGS_entry)) {
            const auto address = parseEndpoint(text);
            if (!address)
                return notRun(error_code::bad_request, "flag --entry: '" + text + "' is not IP:PORT");
            entries.push_back(*address);
        }
        if (!entries.empty())
            return entries;
        // The node that answers knows its own entry address by its instance.
        BOOST_OUTCOME_TRY(status, client.get("/v1/status"));
        BOOST_OUTCOME_TRY(answer, client.get("/v1/members"));
        for (const auto& member : listOf(answer, "members")) {
            const auto address = parseEndpoint(textOf(member, "entry"));
            if (!address || textOf(member, "state") == "left" || textOf(member, "state") == "fenced")
                continue;
            const bool isOwn = textOf(member, "instance") == textOf(status, "instance");
            entries.insert(isOwn ? entries.begin() : entries.end(), *address);
        }
        if (entries.empty())
            return notRun(error_code::not_found, "no member takes requests");
        return entries;
    }

    http_request makeRequest(const command_context& context, const std::string& token)
    {
        http_request request;
        const bool hasMethod = context.arguments.size() > 1;
        request.method = hasMethod ? context.arguments[0] : "GET";
        request.target = context.arguments.back();
        request.body = absl::GetFlag(FLAGS_body);
        const auto add = [&](const char* name, const std::string& value) {
            if (!value.empty())
                request.headers.add(name, value);
        };
        add("heatherdrift-key", absl::GetFlag(FLAGS_key));
        add("heatherdrift-labels", absl::GetFlag(FLAGS_labels));
        add("heatherdrift-customer", absl::GetFlag(FLAGS_customer));
        add("heatherdrift-token", token);
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            context.client.deadline() - answerMargin - boot_clock::now());
        if (absl::GetFlag(FLAGS_timeout) > absl::ZeroDuration())
            add("heatherdrift-timeout-ms", std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
        return request;
    }

    result<http_response> send(
        const command_context& context, const std::vector<endpoint>& entries, const std::string& token)
    {
        failure last = notRun(error_code::connection_failed, "no node answers");
        for (const auto& entry : entries) {
            auto answer
                = context.client.ask(entry, makeRequest(context, token), context.client.deadline() - boot_clock::now());
            if (answer.has_value() || answer.error().outcome != verdict::not_run || context.client.isOver())
                return answer;
            last = answer.error();
        }
        return last;
    }

    std::string headerOf(const http_response& response, std::string_view name)
    {
        return std::string(response.head.headers.find(name).value_or(""));
    }

    exit_code toExitCode(const http_response& response)
    {
        const auto verdict = parseVerdict(headerOf(response, "heatherdrift-verdict"));
        if (!verdict || *verdict == verdict::may_have_run)
            return exit_code::unknown;
        return *verdict == verdict::ran && response.head.status < 400 ? exit_code::done : exit_code::failed;
    }

    void printResponse(const command_context& context, const http_response& response)
    {
        json summary { { "status", response.head.status } };
        for (const char* name : { "verdict", "error", "request-id", "owner", "token" }) {
            const auto value = headerOf(response, std::string("heatherdrift-") + name);
            if (!value.empty())
                summary[name == std::string_view("request-id") ? "request_id" : name] = value;
        }
        if (context.isJson) {
            summary["body"] = response.body;
            return context.print(summary);
        }
        // The body alone goes to standard output, so that it can be piped.
        for (const auto& [name, value] : summary.items())
            context.streams.err << name << ": " << (value.is_string() ? value.get<std::string>() : value.dump())
                                << "\n";
        context.streams.out << response.body << std::flush;
    }

} // namespace

exit_code runRequest(const command_context& context)
{
    if (!context.arguments.back().starts_with('/'))
        return context.rejectUsage("request: the path must start with '/'");
    const auto entries = findEntries(context.client);
    if (entries.has_error())
        return entries.error().code == error_code::bad_request ? context.rejectUsage(entries.error().message)
                                                               : context.fail(entries.error());
    auto answer = send(context, entries.value(), absl::GetFlag(FLAGS_token));
    if (absl::GetFlag(FLAGS_once) && answer.has_value()
        && headerOf(answer.value(), "heatherdrift-error") == toString(error_code::token_required)
        && headerOf(answer.value(), "heatherdrift-verdict") == toString(verdict::not_run))
        answer = send(context, entries.value(), headerOf(answer.value(), "heatherdrift-token"));
    if (answer.has_error())
        return context.fail(answer.error());
    printResponse(context, answer.value());
    return toExitCode(answer.value());
}

} // namespace heatherdrift
