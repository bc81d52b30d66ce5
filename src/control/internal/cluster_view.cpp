#include "control/internal/cluster_view.h"

#include "configuration/configuration_store_rows.h"
#include "store/page_row.h"
#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    constexpr std::string_view drainLabel = "drain";

    void logRejected(const stored_row& row, const failure& reason)
    {
        logEvent(log_event::configuration_rejected,
            { { "row", row.key.table + "/" + row.key.key }, { "reason", reason.message } });
    }

} // namespace

void cluster_view::apply(const std::vector<stored_row>& rows)
{
    std::vector<versioned_page> pages;
    for (const auto& row : rows) {
        if (row.key.table == memberTable)
            applyMember(row);
        if (row.key.table == configurationTable)
            applyConfiguration(row);
        if (row.key.table != pageTable)
            continue;
        auto page = parsePageRow(row.value);
        if (page.has_value())
            pages.push_back({ row.version, std::move(page).value() });
        else
            logRejected(row, page.error());
    }
    if (!pages.empty()) {
        m_partitions = m_partitions.with(pages);
        ++m_revision;
    }
}

void cluster_view::applyMember(const stored_row& row)
{
    auto parsed = parseMemberRow(row.value);
    if (parsed.has_error())
        return logRejected(row, parsed.error());
    auto& known = m_members[row.key.key];
    if (row.version <= known.version)
        return;
    known = { row.version, std::move(parsed).value() };
    ++m_revision;
}

void cluster_view::applyConfiguration(const stored_row& row)
{
    if (row.key != currentConfigurationKey())
        return;
    auto parsed = parseConfigurationRow(row.value);
    if (parsed.has_error())
        return logRejected(row, parsed.error());
    auto& value = parsed.value().value;
    if (m_configuration && value.version <= m_configuration->version)
        return;
    logEvent(log_event::configuration_applied, { { "version", std::to_string(value.version) } });
    m_configuration = std::make_shared<const configuration>(std::move(value));
    ++m_revision;
}

const versioned_member* cluster_view::findMember(const instance_id& id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

const pool_configuration* cluster_view::poolOf(const member_row& row) const
{
    if (!m_configuration || row.labels.empty())
        return nullptr;
    return m_configuration->poolFor(m_configuration->labelsOf(row.self.id, row.labels));
}

bool cluster_view::isDrainedByLabel(const member_row& row) const
{
    if (!m_configuration)
        return false;
    const auto labels = m_configuration->labelsOf(row.self.id, row.labels);
    const auto found = labels.find(drainLabel);
    return found != labels.end() && found->second == "true";
}

std::vector<pool_member> cluster_view::eligible(const pool_configuration& pool, const ramp_function& ramp) const
{
    const auto isInPool = [&](const member_row& row) {
        const auto* chosen = poolOf(row);
        return chosen && chosen->name == pool.name && !isDrainedByLabel(row);
    };
    return eligibleMembers(m_members, isInPool, ramp, pool.slots);
}

} // namespace heatherdrift
