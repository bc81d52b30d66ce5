#include "ctl/internal/ctl_flags.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <iterator>
#include <optional>

ABSL_FLAG(std::vector<std::string>, node, {}, "Admin addresses IP:PORT of nodes; the next is asked if one is silent.");
ABSL_FLAG(absl::Duration, timeout, absl::ZeroDuration(),
    "Longest run, as in 45s. 0: 30 s; for events and request see their help.");
ABSL_FLAG(bool, json, false, "Print JSON.");
ABSL_FLAG(int64_t, base_version, -1, "Version that the change follows; -1: the version in force.");
ABSL_FLAG(int64_t, version, 0, "Version to show; 0: the version in force.");
ABSL_FLAG(bool, yes, false, "State that the instance's process does not run and will not resume.");
ABSL_FLAG(bool, follow, true, "Go on until interrupted, or until the timeout if one is given.");
ABSL_FLAG(uint64_t, after, 0, "Print only events with a higher sequence.");
ABSL_FLAG(std::vector<std::string>, entry, {}, "Entry addresses IP:PORT; without them, those that --node names.");
ABSL_FLAG(std::string, key, "", "Key of the request.");
ABSL_FLAG(std::string, host, "", "Host of the request.");
ABSL_FLAG(std::string, path, "", "Path of the request.");
ABSL_FLAG(std::string, method, "GET", "Method of the request.");
ABSL_FLAG(std::string, labels, "", "Labels of the request: name=value,name=value.");
ABSL_FLAG(std::string, customer, "", "Customer of the request.");
ABSL_FLAG(std::string, body, "", "Body of the request.");
ABSL_FLAG(bool, once, false, "Send a once call: a token that the owner issues is sent back with the same request.");
ABSL_FLAG(std::string, token, "", "Token of a once call.");

namespace heatherdrift {

namespace {

    failure usage(const std::string& message) { return notRun(error_code::bad_request, message); }

    struct flag_argument {
        std::string name;
        std::optional<std::string> value;
    };

    flag_argument split(const std::string& argument)
    {
        const auto text = argument.substr(argument.starts_with("--") ? 2 : 1);
        const auto equals = text.find('=');
        if (equals == std::string::npos)
            return { text, std::nullopt };
        return { text.substr(0, equals), text.substr(equals + 1) };
    }

    /// Only the flags of this program, not those of libraries.
    absl::CommandLineFlag* findFlag(const std::string& name)
    {
        auto* flag = absl::FindCommandLineFlag(name);
        return flag && flag->Filename().find("ctl_flags") != std::string::npos ? flag : nullptr;
    }

} // namespace

result<parsed_arguments> parseArguments(const std::vector<std::string>& arguments)
{
    parsed_arguments parsed;
    for (auto at = arguments.begin(); at != arguments.end(); ++at) {
        if (*at == "--") {
            parsed.positional.insert(parsed.positional.end(), std::next(at), arguments.end());
            break;
        }
        if (!at->starts_with("-") || at->size() == 1) {
            parsed.positional.push_back(*at);
            continue;
        }
        auto given = split(*at);
        if (given.name == "help" || given.name == "h") {
            parsed.wantsHelp = true;
            continue;
        }
        auto* flag = findFlag(given.name);
        if (!flag && given.name.starts_with("no") && !given.value) {
            flag = findFlag(given.name.substr(2));
            given.value = "false";
            flag = flag && flag->IsOfType<bool>() ? flag : nullptr;
        }
        if (!flag)
            return usage("unknown flag --" + given.name);
        if (!given.value && flag->IsOfType<bool>())
            given.value = "true";
        if (!given.value && std::next(at) != arguments.end())
            given.value = *++at;
        if (!given.value)
            return usage("flag --" + given.name + " needs a value");
        std::string error;
        if (!flag->ParseFrom(*given.value, &error))
            return usage("flag --" + given.name + ": '" + *given.value + "' is not valid " + error);
        parsed.flags.emplace_back(flag->Name());
    }
    return parsed;
}

std::string flagHelp(const std::vector<std::string>& names)
{
    std::string text;
    for (const auto& name : names) {
        const auto* flag = findFlag(name);
        text += "  --" + name + (flag->IsOfType<bool>() ? "" : "=...") + "  " + flag->Help();
        text += " Default: " + (flag->DefaultValue().empty() ? "none" : flag->DefaultValue()) + ".\n";
    }
    return text;
}

} // namespace heatherdrift
