#include "mesh/internal/operator_rows.h"

#include "telemetry/log_event.h"

namespace heatherdrift {

operator_rows::operator_rows(operator_context context)
    : m_context(std::move(context))
    , m_evacuations({ m_context.settings.scheduling.evacuationTime })
    , m_closingTimer(m_context.base, [this] { logKeysAtEnd(); })
{
}

void operator_rows::start()
{
    // Other nodes learn of an evacuation within its time and send nothing from then on, so that a gate that does not
    // reach the store may open after it.
    if (m_evacuations.isEnabled())
        m_context.gate.awaitEvacuations(boot_clock::now() + m_context.settings.scheduling.evacuationTime);
}

void operator_rows::onRowChanged(const row_change& row)
{
    if (row.key == m_context.port.configurationRow) {
        if (row.value)
            applyConfiguration(row);
        return;
    }
    if (!m_evacuations.isEnabled())
        return;
    if (const auto zone = m_context.port.decodeEvacuation(row.key))
        setEvacuation(*zone, row.value.has_value());
}

void operator_rows::onTableRead()
{
    const bool isFirst = !m_evacuations.isRead();
    m_evacuations.onTableRead();
    if (isFirst && m_evacuations.isEnabled())
        applyToOwnZone();
}

void operator_rows::applyConfiguration(const row_change& row)
{
    const auto startedAt = boot_clock::now();
    auto configuration = m_context.port.decodeConfiguration(*row.value);
    if (configuration.has_error()) {
        logEvent(log_event::configuration_rejected, { { "reason", configuration.error().message } });
        return;
    }
    const auto version = configuration.value().version;
    if (!m_context.routes.apply(std::move(configuration).value()))
        return;
    m_context.metrics.configurationApplied(version);
    const auto& routes = m_context.routes.configuration().routes;
    logEvent(log_event::configuration_applied,
        { { "version", std::to_string(version) }, { "row_version", std::to_string(row.version) },
            { "bytes", std::to_string(row.value->size()) }, { "routes", std::to_string(routes.size()) },
            { "apply_ms", millisecondsText(boot_clock::now() - startedAt) } });
    for (const auto& route : routes) {
        if (route.hasUnknownType)
            logEvent(
                log_event::route_type_unknown, { { "route", route.name }, { "version", std::to_string(version) } });
    }
    m_context.onConfigurationApplied();
}

void operator_rows::setEvacuation(const std::string& zone, bool exists)
{
    const auto now = boot_clock::now();
    if (!m_evacuations.setRow(zone, exists, m_context.matchedAt(), now))
        return;
    const bool isOwn = zone == m_context.settings.zone;
    const auto evacuation = m_evacuations.find(zone);
    if (evacuation)
        logEvent(log_event::zone_evacuated,
            { { "zone", zone }, { "own", isOwn ? "yes" : "no" },
                { "keys_until_ms", millisecondsText(evacuation->closesAt - now) } });
    else
        logEvent(log_event::zone_returned, { { "zone", zone }, { "own", isOwn ? "yes" : "no" } });
    m_context.directory.setEvacuated(m_evacuations.zones(), now);
    m_context.metrics.evacuationsChanged(
        m_evacuations.zones().size(), m_evacuations.find(m_context.settings.zone).has_value());
    if (isOwn)
        applyToOwnZone();
    if (evacuation)
        checkForInstances(zone);
    else
        m_uncheckedZones.erase(zone);
}

void operator_rows::applyToOwnZone()
{
    const auto evacuation = m_evacuations.find(m_context.settings.zone);
    if (evacuation) {
        m_context.gate.startEvacuation(evacuation->closesAt);
        m_closingTimer.startAt(evacuation->closesAt);
    } else if (m_evacuations.isRead()) {
        m_context.gate.endEvacuation();
        m_closingTimer.stop();
    }
    m_context.keys.setEvacuated(evacuation.has_value());
}

void operator_rows::checkForInstances(const std::string& zone)
{
    if (m_context.directory.hasInstanceIn(zone))
        return;
    if (m_areMembersRead)
        logEvent(log_event::evacuation_without_effect, { { "zone", zone } });
    else
        m_uncheckedZones.insert(zone);
}

void operator_rows::onMembersRead()
{
    m_areMembersRead = true;
    for (const auto& zone : std::exchange(m_uncheckedZones, {}))
        checkForInstances(zone);
}

void operator_rows::logKeysAtEnd()
{
    const auto count = m_context.keys.map().keyCount(m_context.keys.life());
    if (count > 0 && !m_context.keys.life().empty())
        logEvent(log_event::evacuation_closed_on_keys,
            { { "life", m_context.keys.life() }, { "keys", std::to_string(count) },
                { "map_version", std::to_string(m_context.keys.version()) } });
}

} // namespace heatherdrift
