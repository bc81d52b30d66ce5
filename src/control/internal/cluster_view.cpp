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
    auto& member = m_members[row.key.key];
    if (row.version <= member.version)
        return;
    member = { row.version, std::move(parsed).value() };
    updatePlacement(member.row);
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
    for (const auto& [id, member] : m_members)
        updatePlacement(member.row);
    ++m_revision;
}

const versioned_member* cluster_view::findMember(const instance_id& id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

void cluster_view::updatePlacement(const member_row& row)
{
    auto& placement = m_placements[row.self.id];
    placement = {};
    if (!m_configuration)
        return;
    const auto labels = m_configuration->labelsOf(row.self.id, row.labels);
    const auto drain = labels.find(drainLabel);
    placement.isDrained = drain != labels.end() && drain->second == "true";
    placement.pool = row.labels.empty() ? nullptr : m_configuration->poolFor(labels);
}

const pool_configuration* cluster_view::poolOf(const member_row& row) const
{
    const auto found = m_placements.find(row.self.id);
    return found == m_placements.end() ? nullptr : found->second.pool;
}

bool cluster_view::isDrainedByLabel(const member_row& row) const
{
    const auto found = m_placements.find(row.self.id);
    return found != m_placements.end() && found->second.isDrained;
}

const std::vector<member_row>& cluster_view::memberRows() const
{
    if (m_rowsRevision != m_revision) {
        m_rowsRevision = m_revision;
        m_rows.clear();
        for (const auto& [id, member] : m_members)
            m_rows.push_back(member.row);
    }
    return m_rows;
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
