#include "mesh/internal/announcement_service.h"

#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusUnavailable = 503;
    /// A heartbeat has to be answered within a second. Delaying the response lets it carry grants that would otherwise
    /// have to wait for the next heartbeat.
    constexpr auto maxAnswerDelay = std::chrono::milliseconds(500);
    /// Time for a request sent at the end of the drain time to reach the backend server.
    constexpr auto drainMargin = std::chrono::milliseconds(100);
    /// Heartbeats sent before a departure may arrive seconds late.
    constexpr auto departureMemory = std::chrono::seconds(60);
    /// A shutdown notice has to be answered within a second. Without a response the backend server sends it again.
    constexpr auto maxRecordingDelay = std::chrono::milliseconds(800);

} // namespace

announcement_service::announcement_service(event_base* base, const mesh_settings& settings, const platform_port& port,
    gate_service& gate, ownership& ownership, announcement_hooks hooks)
    : m_settings(settings)
    , m_port(port)
    , m_gate(gate)
    , m_ownership(ownership)
    , m_hooks(std::move(hooks))
    , m_departureTimer(base, [this] { settleDepartures(); })
    , m_deferredAnswerTimer(base, [this] { answerDeferred(); })
{
}

bool announcement_service::isOlder(const backend_announcement& announcement) const
{
    if (!m_current)
        return m_earlier && announcement.startedAt < startOf(m_earlier->life);
    if (announcement.startedAt != m_current->startedAt)
        return announcement.startedAt < m_current->startedAt;
    return announcement.id == m_current->id && announcement.sequence <= m_current->sequence;
}

void announcement_service::startLeaving()
{
    if (std::exchange(m_isLeaving, true))
        return;
    logEvent(log_event::drain_started, { { "backend_server", m_current->id } });
    m_gate.closeAt(boot_clock::now() + m_settings.drainTime - drainMargin);
    m_ownership.startDrain();
}

void announcement_service::updateCurrent(const backend_announcement& announcement)
{
    const bool isNewLife = !m_current || m_current->life() != announcement.life();
    if (isNewLife) {
        logEvent(log_event::backend_announced,
            { { "backend_server", announcement.id }, { "started_at", std::to_string(announcement.startedAt) } });
        m_isLeaving = false;
    }
    m_current = announcement;
    m_hasEnded = false;
    m_gate.setBackend({ announcement.life(), announcement.id, announcement.slots });
    m_gate.recordHeartbeat(announcement.coldFor);
    const bool isLateHeartbeat = isNewLife && hasDeparted(announcement.id);
    if (isLateHeartbeat)
        m_gate.closeAt(m_earlyDeparture->closesAt);
    if (isNewLife)
        m_earlyDeparture.reset();
    if (announcement.isDraining || isLateHeartbeat)
        startLeaving();
    // The drain time began before this process did.
    if (isNewLife && m_earlier && m_earlier->isDraining && m_earlier->life == announcement.life())
        closeNow();
}

void announcement_service::closeNow()
{
    m_gate.closeAt(boot_clock::now());
    startLeaving();
}

bool announcement_service::hasDeparted(const std::string& id) const
{
    return m_earlyDeparture && m_earlyDeparture->id == id
        && boot_clock::now() < m_earlyDeparture->closesAt + departureMemory;
}

const mesh_member* announcement_service::departedEarlier() const
{
    return !m_current && m_earlier && m_earlier->isDraining ? &*m_earlier : nullptr;
}

bool announcement_service::isEarlierDepartureUnrecorded() const
{
    const auto* departed = departedEarlier();
    return departed && departed->life != m_recordedDeparture;
}

void announcement_service::setEarlierRow(const mesh_member& row)
{
    if (row.life.empty())
        return;
    m_earlier = row;
    if (row.isDraining) {
        m_recordedDeparture = row.life;
        if (m_gate.backend().life == row.life)
            m_gate.closeAt(boot_clock::now());
    }
    if (m_current && m_current->startedAt < startOf(row.life))
        discardCurrent();
    if (m_current) {
        if (row.isDraining && m_current->life() == row.life)
            closeNow();
    } else if (hasDeparted(row.backendId)) {
        // The life is known now, so that later lives of the same id are told from it.
        m_earlyDeparture.reset();
        m_earlier->isDraining = true;
    }
}

/// The heartbeat that was taken first had been sent by a life before the one in the row.
void announcement_service::discardCurrent()
{
    logEvent(log_event::announcement_outdated,
        { { "backend_server", m_current->id }, { "sequence", std::to_string(m_current->sequence) },
            { "taken", m_earlier->life } });
    m_current.reset();
    m_isLeaving = false;
    m_gate.setBackend({});
}

void announcement_service::onTableRead()
{
    m_isTableRead = true;
    settleDepartures();
}

void announcement_service::onRowWritten(const mesh_member& row)
{
    if (row.isDraining)
        m_recordedDeparture = row.life;
    settleDepartures();
}

bool announcement_service::isDepartureRecorded(const std::string& id) const
{
    if (!m_isTableRead)
        return false;
    if (m_current && m_current->id == id)
        return m_recordedDeparture == m_current->life();
    if (!m_current && m_earlier && m_earlier->backendId == id)
        return m_recordedDeparture == m_earlier->life;
    // No process of this node has announced it to the others.
    return true;
}

void announcement_service::acknowledgeWhenRecorded(unacknowledged_departure departure)
{
    m_unacknowledged.push_back(std::move(departure));
    m_hooks.onChanged();
    settleDepartures();
}

void announcement_service::settleDepartures()
{
    const auto now = boot_clock::now();
    auto remaining = std::exchange(m_unacknowledged, {});
    std::erase_if(remaining, [&](const auto& departure) {
        if (isDepartureRecorded(departure.id)) {
            departure.exchange->respond(
                departure.isHeartbeat ? heartbeatAnswer(departure.receivedAt) : http_response { { statusOk, {} }, "" });
            return true;
        }
        if (now < departure.receivedAt + maxRecordingDelay)
            return false;
        logEvent(log_event::departure_not_recorded, { { "backend_server", departure.id } });
        departure.exchange->respond({ { statusUnavailable, {} }, "" });
        return true;
    });
    m_unacknowledged.insert(
        m_unacknowledged.begin(), std::make_move_iterator(remaining.begin()), std::make_move_iterator(remaining.end()));
    if (!m_unacknowledged.empty())
        m_departureTimer.startAt(m_unacknowledged.front().receivedAt + maxRecordingDelay);
}

void announcement_service::handleDeparture(const std::string& id, http_exchange_ptr exchange)
{
    const bool isKnown
        = (m_current && m_current->id == id) || (m_earlier && m_earlier->backendId == id) || m_gate.backend().id == id;
    if (!isKnown && m_hooks.isOfOtherNode(id)) {
        logEvent(log_event::announcement_rejected,
            { { "target", id }, { "reason", "the backend server of another node departs" } });
        return exchange->respond({ { statusUnavailable, {} }, "" });
    }
    const auto now = boot_clock::now();
    if (m_current && m_current->id == id)
        startLeaving();
    else if (!m_current && m_earlier && m_earlier->backendId == id) {
        m_earlier->isDraining = true;
        m_gate.closeAt(now + m_settings.drainTime - drainMargin);
    } else
        // The acknowledgement binds this process as well if it has started after the last heartbeat.
        m_earlyDeparture = { id, now + m_settings.drainTime - drainMargin };
    acknowledgeWhenRecorded({ id, std::move(exchange), false, now });
}

http_response announcement_service::heartbeatAnswer(time_point receivedAt)
{
    return m_port.encodeGrant(m_hooks.isPartitioned() ? m_ownership.grant(receivedAt) : hold_grant {});
}

void announcement_service::handle(http_exchange_ptr exchange)
{
    const auto now = boot_clock::now();
    const auto& request = exchange->request();
    if (const auto id = m_port.decodeDeparture(request))
        return handleDeparture(*id, std::move(exchange));
    const auto decoded = m_port.decodeAnnouncement(request);
    if (decoded.has_error() || decoded.value().service != m_settings.service
        || decoded.value().address != m_settings.backend) {
        logEvent(log_event::announcement_rejected,
            { { "target", request.target },
                { "reason",
                    decoded.has_error() ? decoded.error().message
                                        : "service or address differs from the settings of this node" } });
        return exchange->respond({ { statusBadRequest, {} }, "" });
    }
    const auto& announcement = decoded.value();
    if (isOlder(announcement)) {
        logEvent(log_event::announcement_outdated,
            { { "backend_server", announcement.id }, { "sequence", std::to_string(announcement.sequence) },
                { "taken", std::to_string(m_current->sequence) } });
        return exchange->respond(m_port.encodeGrant({}));
    }
    answerDeferred();
    updateCurrent(announcement);
    m_hooks.onChanged();
    // The life is recorded even before the configuration shows that the service is partitioned.
    m_ownership.handleHeartbeat(announcement);
    if (m_isLeaving && !isDepartureRecorded(announcement.id))
        return acknowledgeWhenRecorded({ announcement.id, std::move(exchange), true, now });
    if (!m_hooks.isPartitioned())
        return exchange->respond(m_port.encodeGrant({}));
    m_deferredExchange = std::move(exchange);
    m_deferredSince = now;
    if (m_ownership.isAwaitingGrant())
        m_deferredAnswerTimer.startOnce(maxAnswerDelay);
    else
        answerDeferred();
}

void announcement_service::onOwnershipChanged()
{
    if (m_deferredExchange && !m_ownership.isAwaitingGrant())
        answerDeferred();
}

void announcement_service::answerDeferred()
{
    if (!m_deferredExchange || std::exchange(m_isAnswering, true))
        return;
    m_deferredAnswerTimer.stop();
    const auto exchange = std::exchange(m_deferredExchange, nullptr);
    exchange->respond(m_port.encodeGrant(m_ownership.grant(m_deferredSince)));
    m_isAnswering = false;
}

void announcement_service::onBackendRefused()
{
    if (!m_current || std::exchange(m_hasEnded, true))
        return;
    logEvent(log_event::backend_lost, { { "backend_server", m_current->id } });
    m_gate.setBackend({});
    m_ownership.onBackendEnded(m_current->life());
    m_hooks.onChanged();
}

} // namespace heatherdrift
