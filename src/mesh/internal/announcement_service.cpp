#include "mesh/internal/announcement_service.h"

#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    /// A heartbeat has to be answered within a second. Delaying the response lets it carry grants that would otherwise
    /// have to wait for the next heartbeat.
    constexpr auto maxAnswerDelay = std::chrono::milliseconds(500);
    /// Time for a request sent at the end of the drain time to reach the backend server.
    constexpr auto drainMargin = std::chrono::milliseconds(100);
    /// Heartbeats sent before a departure may arrive seconds late.
    constexpr auto departureMemory = std::chrono::seconds(60);

} // namespace

announcement_service::announcement_service(event_base* base, const mesh_settings& settings, const platform_port& port,
    gate_service& gate, ownership& ownership, std::function<bool()> isPartitioned, std::function<void()> onChanged)
    : m_settings(settings)
    , m_port(port)
    , m_gate(gate)
    , m_ownership(ownership)
    , m_isPartitioned(std::move(isPartitioned))
    , m_onChanged(std::move(onChanged))
    , m_deferredAnswerTimer(base, [this] { answerDeferred(); })
{
}

bool announcement_service::isOlder(const backend_announcement& announcement) const
{
    if (!m_current)
        return false;
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
    const bool isLateHeartbeat = isNewLife && hasDeparted(announcement.id);
    if (isLateHeartbeat)
        m_gate.closeAt(m_earlyDeparture->closesAt);
    if (isNewLife)
        m_earlyDeparture.reset();
    if (announcement.isDraining || isLateHeartbeat)
        startLeaving();
}

bool announcement_service::hasDeparted(const std::string& id) const
{
    return m_earlyDeparture && m_earlyDeparture->id == id
        && boot_clock::now() < m_earlyDeparture->closesAt + departureMemory;
}

void announcement_service::handleDeparture(const std::string& id)
{
    if (m_current && m_current->id == id) {
        startLeaving();
        return m_onChanged();
    }
    // The acknowledgement binds this process as well if it has started after the last heartbeat.
    m_earlyDeparture = { id, boot_clock::now() + m_settings.drainTime - drainMargin };
    if (m_gate.backend().id == id)
        m_gate.closeAt(m_earlyDeparture->closesAt);
}

void announcement_service::handle(http_exchange_ptr exchange)
{
    const auto now = boot_clock::now();
    const auto& request = exchange->request();
    if (const auto id = m_port.decodeDeparture(request)) {
        handleDeparture(*id);
        return exchange->respond({ { statusOk, {} }, "" });
    }
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
    m_onChanged();
    // The life is recorded even before the configuration shows that the service is partitioned.
    m_ownership.handleHeartbeat(announcement);
    if (!m_isPartitioned())
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
    m_onChanged();
}

} // namespace heatherdrift
