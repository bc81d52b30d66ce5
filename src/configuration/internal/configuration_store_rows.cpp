#include "configuration/configuration_store_rows.h"

#include <functional>

namespace heatherdrift {

namespace {

    /// What an apply needs of a stored row. It is read without the checks of a configuration, so that a row that an
    /// older or newer release accepted can be replaced.
    struct row_summary {
        std::int64_t version = 0;
        std::string operationId;
        std::map<std::string, std::uint64_t> partitions; ///< By name of pool.
    };

    std::map<std::string, std::uint64_t> partitionsOf(const json& document)
    {
        std::map<std::string, std::uint64_t> partitions;
        const auto pools = document.find("pools");
        if (pools == document.end())
            return partitions;
        for (const auto& pool : *pools) {
            const auto name = pool.find("name");
            const auto count = pool.find("partitions");
            if (name != pool.end() && name->is_string() && count != pool.end() && count->is_number_unsigned())
                partitions.emplace(name->get<std::string>(), count->get<std::uint64_t>());
        }
        return partitions;
    }

    using value_reader = std::function<result<void>(const json&, const std::string& path)>;

    result<row_summary> readRow(std::string_view text, const value_reader& readConfiguration)
    {
        BOOST_OUTCOME_TRY(document, parseJson(text, error_code::internal));
        json_reader reader(document, "", error_code::internal);
        row_summary summary;
        reader.readInteger("version", summary.version, { 1, INT64_MAX });
        reader.readString("operation_id", summary.operationId);
        reader.readValue("configuration", readConfiguration);
        BOOST_OUTCOME_TRY(reader.finish());
        return summary;
    }

    result<row_summary> parseSummary(const stored_row& row)
    {
        std::map<std::string, std::uint64_t> partitions;
        auto outcome = readRow(row.value, [&](const json& document, const std::string&) -> result<void> {
            partitions = partitionsOf(document);
            return outcome::success();
        });
        if (outcome.has_error())
            return notRun(error_code::internal,
                "row " + row.key.table + "/" + row.key.key + " cannot be read: " + outcome.error().message);
        outcome.value().partitions = std::move(partitions);
        return outcome;
    }

    // Nodes change to a new configuration at different times. With two partition counts in use, a key could belong to
    // two partitions with two owners.
    result<void> checkPartitions(const row_summary& current, const configuration& next)
    {
        for (std::size_t i = 0; i < next.pools.size(); ++i) {
            const auto& pool = next.pools[i];
            const auto before = current.partitions.find(pool.name);
            if (before == current.partitions.end() || before->second == pool.partitions)
                continue;
            return notRun(error_code::invalid_configuration,
                "pools[" + std::to_string(i) + "].partitions: cannot change from " + std::to_string(before->second)
                    + "; add a pool with another name instead");
        }
        return outcome::success();
    }

} // namespace

row_key currentConfigurationKey() { return { configurationTable, "current" }; }

row_key configurationVersionKey(std::int64_t version) { return { configurationTable, "v" + std::to_string(version) }; }

std::string toJsonText(const configuration_row& row)
{
    const json document = {
        { "version", row.value.version },
        { "operation_id", row.operationId },
        { "configuration", toJson(row.value) },
    };
    return document.dump();
}

result<configuration_row> parseConfigurationRow(std::string_view text)
{
    configuration_row row;
    const auto readConfiguration = [&](const json& document, const std::string& path) -> result<void> {
        const auto parsed = parseConfiguration(document);
        if (parsed.has_error())
            return notRun(error_code::internal, path + "." + parsed.error().message);
        row.value = parsed.value();
        return outcome::success();
    };
    BOOST_OUTCOME_TRY(summary, readRow(text, readConfiguration));
    row.value.version = summary.version;
    row.operationId = summary.operationId;
    return row;
}

result<store_transaction> makeApplyTransaction(
    const std::optional<stored_row>& current, const configuration& next, const std::string& operationId)
{
    row_summary summary;
    if (current) {
        BOOST_OUTCOME_TRY(parsed, parseSummary(*current));
        summary = parsed;
    }
    if (next.version != summary.version + 1)
        return applyConflict(summary.version);
    BOOST_OUTCOME_TRY(parseConfiguration(toJson(next)));
    BOOST_OUTCOME_TRY(checkPartitions(summary, next));
    const auto text = toJsonText({ next, operationId });
    return store_transaction { operationId, {},
        { { currentConfigurationKey(), current ? current->version : 0, text },
            { configurationVersionKey(next.version), 0, text } } };
}

result<apply_outcome> resolveApply(const std::optional<stored_row>& versionRow, const std::string& operationId)
{
    if (!versionRow)
        return apply_outcome::unknown;
    const auto summary = parseSummary(*versionRow);
    if (summary.has_error())
        return mayHaveRun(error_code::internal, summary.error().message);
    return summary.value().operationId == operationId ? apply_outcome::applied : apply_outcome::not_applied;
}

failure applyConflict(std::int64_t versionToLookAt)
{
    return notRun(error_code::conflict,
        versionToLookAt == 0 ? "there is no configuration yet; the first has version 1"
                             : "the change does not follow the current configuration; look at version "
                + std::to_string(versionToLookAt));
}

} // namespace heatherdrift
