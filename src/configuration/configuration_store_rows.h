#pragma once

#include "base/store_types.h"
#include "configuration/configuration.h"

#include <optional>
#include <string>

namespace heatherdrift {

/// Value of a row of the table "configuration": the row "current", replaced by each accepted change, and one row
/// "v<N>" for each version N, which is inserted once and never changes.
struct configuration_row {
    configuration value; ///< With its version.
    std::string operationId; ///< Of the change that wrote the row; unique.

    bool operator==(const configuration_row&) const = default;
};

constexpr const char* configurationTable = "configuration";

row_key currentConfigurationKey();
/// Key "v<N>".
row_key configurationVersionKey(std::int64_t version);

std::string toJsonText(const configuration_row&);
/// Fails with `internal` if the text is not a configuration row.
result<configuration_row> parseConfigurationRow(std::string_view text);

/// Transaction that makes `next` the current configuration: replaces row "current" if it is still the one given, and
/// inserts row "v<N>", N being next.version. `current` is empty if there is no such row.
/// Committing the same transaction again is safe: it takes effect at most once.
/// Fails with conflict, naming the version to look at, unless next.version is the current version + 1; with
/// invalid_configuration if nodes would reject `next`; with `internal` if `current` cannot be read.
result<store_transaction> makeApplyTransaction(
    const std::optional<stored_row>& current, const configuration& next, const std::string& operationId);

enum class apply_outcome {
    applied, ///< The version is that of the operation.
    not_applied, ///< The version is another operation's: this one has not taken effect and never will.
    unknown, ///< Neither has taken effect yet. Commit the same transaction again, then read again.
};

/// Outcome of an apply after a conflict or a lost answer, from the row "v<N>" as read afterwards (empty: no such row).
/// Fails with `internal` and may_have_run if the row cannot be read.
result<apply_outcome> resolveApply(const std::optional<stored_row>& versionRow, const std::string& operationId);

/// Conflict for an operator whose change was not applied.
failure applyConflict(std::int64_t versionToLookAt);

} // namespace heatherdrift
