#include "mesh/internal/announcement_service.h"

#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    /// A heartbeat has to be answered within a second; keys that are granted with its answer need no further one.
    constexpr auto mostAnswerDelay = std::chrono::milliseconds(500);
    /// Way of a request from the gate to the backend server at the end of the drain time.
    constexpr auto drainMargin = std::chrono::milliseconds(100);

} // namespace

announcement_service::announcement_service(event_base* base, const mesh_settings& settings, const platform_port& port,
    gate_service& gate, ownership& ownership, std::function<bool()> isPartitioned, std::function<void()> onChanged)
    : m_settings(settings)
    , m_port(port)
    , m_gate(gate)
    , m_ownership(ownership)
    , m_isPartitioned(std::move(isPartitioned))
    , m_onChanged(std::move(onChanged))
    , m_answerHeld(base, [this] { answerHeld(); })
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

void announcement_service::adopt(const backend_announcement& announcement)
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
    if (announcement.isDraining)
        startLeaving();
}

void announcement_service::handle(http_exchange_ptr exchange)
{
    const auto now = boot_clock::now();
    const auto& request = exchange->request();
    if (const auto id = m_port.decodeDeparture(request)) {
        if (m_current && m_current->id == *id) {
            startLeaving();
            m_onChanged();
        }
        return exchange->respond({ { statusOk, {} }, "" });
    }
    const auto decoded = m_port.decodeAnnouncement(request);
    if (decoded.has_error() || decoded.value().service != m_settings.service
        || decoded.value().address != m_settings.backend) {
        logEvent(log_event::announcement_rejected,
            { { "target", request.target },
                { "reason", decoded.has_error() ? decoded.error().message : "another service or address" } });
        return exchange->respond({ { statusBadRequest, {} }, "" });
    }
    const auto& announcement = decoded.value();
    if (isOlder(announcement)) {
        logEvent(log_event::announcement_outdated,
            { { "backend_server", announcement.id }, { "sequence", std::to_string(announcement.sequence) },
                { "taken", std::to_string(m_current->sequence) } });
        return exchange->respond(m_port.encodeGrant({}));
    }
    answerHeld();
    adopt(announcement);
    m_onChanged();
    // The life counts also before the configuration tells that the service is partitioned.
    m_ownership.report(announcement);
    if (!m_isPartitioned())
        return exchange->respond(m_port.encodeGrant({}));
    m_held = std::move(exchange);
    m_heldSince = now;
    if (m_ownership.awaitsGrant())
        m_answerHeld.startOnce(mostAnswerDelay);
    else
        answerHeld();
}

void announcement_service::ownershipChanged()
{
    if (m_held && !m_ownership.awaitsGrant())
        answerHeld();
}

void announcement_service::answerHeld()
{
    if (!m_held || std::exchange(m_isAnswering, true))
        return;
    m_answerHeld.stop();
    const auto exchange = std::exchange(m_held, nullptr);
    exchange->respond(m_port.encodeGrant(m_ownership.grant(m_heldSince)));
    m_isAnswering = false;
}

void announcement_service::backendRefused()
{
    if (!m_current || std::exchange(m_hasEnded, true))
        return;
    logEvent(log_event::backend_lost, { { "backend_server", m_current->id } });
    m_gate.setBackend({});
    m_ownership.backendEnded(m_current->life());
    m_onChanged();
}

} // namespace heatherdrift
