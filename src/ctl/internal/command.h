#pragma once

#include "ctl/ctl.h"
#include "ctl/internal/admin_client.h"

#include <absl/time/time.h>
#include <map>
#include <optional>
#include <ostream>
#include <string_view>

namespace heatherdrift {

/// What a subcommand works with.
struct command_context {
    std::vector<std::string> arguments; ///< Positional, without the subcommand.
    admin_client& client;
    ctl_streams streams;
    bool isJson = false;

    /// Prints the failure; unknown for may_have_run, otherwise failed.
    exit_code fail(const failure&) const;
    /// Prints how the command is used.
    exit_code rejectUsage(std::string_view message) const;
    void print(const json&) const;
};

struct command {
    std::string_view name;
    std::string_view arguments; ///< For the help text.
    std::size_t leastArguments = 0;
    std::size_t mostArguments = 0;
    std::string_view help;
    std::vector<std::string> flags; ///< Besides --node, --timeout and --json.
    bool needsNode = true;
    exit_code (*run)(const command_context&) = nullptr;
    absl::Duration defaultTimeout = absl::Seconds(30);
};

const std::vector<command>& commands();

exit_code runApply(const command_context&);
exit_code runCheck(const command_context&);
exit_code runShow(const command_context&);
exit_code runDiff(const command_context&);
exit_code runMembers(const command_context&);
exit_code runPartitions(const command_context&);
exit_code runLeases(const command_context&);
exit_code runHotKeys(const command_context&);
exit_code runOwner(const command_context&);
exit_code runDrain(const command_context&);
exit_code runUndrain(const command_context&);
exit_code runDeclareLost(const command_context&);
exit_code runRequest(const command_context&);
exit_code runEvents(const command_context&);
exit_code runExplain(const command_context&);

/// Columns of equal width. Rows have as many cells as the header.
void printTable(std::ostream&, std::vector<std::vector<std::string>> rowsWithHeader);

/// Text of a field of a JSON object; numbers as text; empty if there is none.
std::string textOf(const json&, const char* field);
/// Whole number of a field; empty if it is none.
std::optional<std::int64_t> numberOf(const json&, const char* field);
/// Members of an object in a JSON object, as text; empty if there is none.
std::map<std::string, std::string> textsOf(const json&, const char* field);
/// Elements of a list in a JSON object; empty if there is none.
std::vector<json> listOf(const json&, const char* field);

} // namespace heatherdrift
