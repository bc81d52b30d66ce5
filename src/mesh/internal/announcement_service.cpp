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
    , m_lives(settings.heartbeatInterval)
    , m_departureTimer(base, [this] { settleDepartures(); })
    , m_deferredAnswerTimer(base, [this] { answerDeferred(); })
{
}

std::optional<std::int64_t> announcement_service::statedStart() const
{
    const auto& life = m_lives.present();
    return life && life->stated.bornAt != life->order ? std::optional(life->stated.bornAt) : std::nullopt;
}

void announcement_service::startLeaving()
{
    if (std::exchange(m_isLeaving, true))
        return;
    logEvent(log_event::drain_started, { { "backend_server", m_current->id } });
    closeGateAt(boot_clock::now() + m_settings.drainTime - drainMargin);
    m_ownership.startDrain();
}

void announcement_service::closeGateAt(time_point at)
{
    m_gateClosesAt = std::min(m_gateClosesAt, at);
    m_gate.closeAt(m_gateClosesAt);
}

void announcement_service::updateCurrent(const backend_announcement& announcement)
{
    const bool isNewLife = !m_current || m_current->life() != announcement.life();
    if (isNewLife) {
        logEvent(log_event::backend_announced,
            { { "backend_server", announcement.id }, { "started_at", std::to_string(announcement.startedAt) } });
        m_isLeaving = false;
        m_gateClosesAt = time_point::max();
    }
    m_current = announcement;
    m_hasEnded = false;
    m_gate.setBackend({ announcement.life(), announcement.id, announcement.slots });
    // The gate forgets the departure of a life that counted as ended.
    if (m_isLeaving)
        m_gate.closeAt(m_gateClosesAt);
    m_gate.recordHeartbeat(announcement.coldFor);
    const bool isLateHeartbeat = isNewLife && hasDeparted(announcement.id);
    if (isLateHeartbeat)
        closeGateAt(m_earlyDeparture->closesAt);
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
    closeGateAt(boot_clock::now());
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
    if (!m_current) {
        const auto order = startOf(row.life);
        m_lives.presume({ { row.backendId, row.statedStart.value_or(order) }, order }, boot_clock::now());
    }
    if (m_current) {
        if (row.isDraining && m_current->life() == row.life)
            closeNow();
    } else if (hasDeparted(row.backendId)) {
        // The life is known now, so that later lives of the same id are told from it.
        m_earlyDeparture.reset();
        m_earlier->isDraining = true;
    }
}

/// The heartbeat that was taken first had been sent by a life before the one in the row, or its order is not known. No
/// departure that it states has taken effect.
void announcement_service::discardCurrent()
{
    logEvent(log_event::announcement_outdated,
        { { "backend_server", m_current->id }, { "sequence", std::to_string(m_current->sequence) },
            { "taken", m_earlier->life } });
    m_current.reset();
    m_isLeaving = false;
    m_gate.setBackend({});
    m_ownership.discardLife();
    m_deferredAnswerTimer.stop();
    if (const auto exchange = std::exchange(m_deferredExchange, nullptr))
        exchange->respond(m_port.encodeGrant({}));
    std::erase_if(m_unacknowledged, [](const auto& departure) {
        if (departure.isHeartbeat)
            departure.exchange->respond({ { statusUnavailable, {} }, "" });
        return departure.isHeartbeat;
    });
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
                departure.isHeartbeat ? heartbeatAnswer(departure) : http_response { { statusOk, {} }, "" });
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
    const bool isPresent = m_current ? m_current->id == id : m_earlier && m_earlier->backendId == id;
    if (m_current && m_current->id == id)
        startLeaving();
    else if (!m_current && m_earlier && m_earlier->backendId == id) {
        m_earlier->isDraining = true;
        m_gate.closeAt(now + m_settings.drainTime - drainMargin);
    } else
        // The acknowledgement binds this process as well if it has started after the last heartbeat.
        m_earlyDeparture = { id, now + m_settings.drainTime - drainMargin };
    // The notice may be that of a later life with the same id, which has not been taken yet and would not leave.
    if (isPresent && m_lives.isUndecided(id, now)) {
        logEvent(log_event::departure_undecided, { { "backend_server", id } });
        m_hooks.onChanged();
        return exchange->respond({ { statusUnavailable, {} }, "" });
    }
    acknowledgeWhenRecorded({ id, std::move(exchange), false, now, {} });
}

http_response announcement_service::heartbeatAnswer(const unacknowledged_departure& departure)
{
    // A later life may have been announced while the response waited.
    const bool isPresent = departure.life == m_ownership.life();
    return m_port.encodeGrant(
        m_hooks.isPartitioned() && isPresent ? m_ownership.grant(departure.receivedAt) : hold_grant {});
}

void announcement_service::logOrder(heartbeat_verdict verdict, const backend_announcement& announcement) const
{
    const auto& present = m_lives.present();
    const std::initializer_list<log_field> fields { { "backend_server", announcement.id },
        { "stated_start", std::to_string(announcement.startedAt) },
        { "sequence", std::to_string(announcement.sequence) },
        { "taken", makeLife(present->stated.id, present->order) } };
    if (verdict == heartbeat_verdict::undecided)
        logEvent(log_event::life_undecided, fields);
    else if (verdict == heartbeat_verdict::next && present->order != announcement.startedAt)
        logEvent(log_event::life_taken_against_clock, fields);
    else if (verdict == heartbeat_verdict::late || verdict == heartbeat_verdict::repeated)
        logEvent(log_event::announcement_outdated, fields);
}

/// A backend server takes the answer to a heartbeat in which it leaves for the acknowledgement of its drain.
void announcement_service::answerNotTaken(
    const backend_announcement& announcement, heartbeat_verdict verdict, const http_exchange_ptr& exchange)
{
    const bool hasEffect
        = verdict == heartbeat_verdict::repeated && m_current && m_isLeaving && isDepartureRecorded(announcement.id);
    if (announcement.isDraining && !hasEffect)
        return exchange->respond({ { statusUnavailable, {} }, "" });
    exchange->respond(m_port.encodeGrant({}));
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
    backend_announcement announcement = decoded.value();
    m_lives.setHeartbeatInterval(m_settings.heartbeatInterval);
    const auto verdict = m_lives.observe(
        { announcement.id, announcement.startedAt }, announcement.sequence, now, m_ownership.holdsEnd());
    logOrder(verdict, announcement);
    if (verdict != heartbeat_verdict::present && verdict != heartbeat_verdict::next)
        return answerNotTaken(announcement, verdict, exchange);
    announcement.startedAt = m_lives.present()->order;
    answerDeferred();
    updateCurrent(announcement);
    m_hooks.onChanged();
    // The life is recorded even before the configuration shows that the service is partitioned.
    m_ownership.handleHeartbeat(announcement);
    if (m_isLeaving && !isDepartureRecorded(announcement.id))
        return acknowledgeWhenRecorded({ announcement.id, std::move(exchange), true, now, announcement.life() });
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

/// Whether the refusal shows the end of the present life. It is handled after heartbeats that arrived at the same time,
/// so the connection has to be newer than all of them. A backend server that is shutting down stops listening while it
/// still works on requests and holds keys, and only the row of an earlier process may show that it is.
bool announcement_service::showsEnd(const backend_question& question) const
{
    const auto& present = m_lives.present();
    const bool isAboutPresent = present && question.life == makeLife(present->stated.id, present->order)
        && question.askedAt > m_lives.heardAt();
    const bool holdsNothing = boot_clock::now() >= m_ownership.holdsEnd();
    return isAboutPresent && !question.isStillConnected && (holdsNothing || (m_isTableRead && !isDeparting()));
}

bool announcement_service::isDeparting() const { return m_isLeaving || departedEarlier(); }

void announcement_service::onBackendRefused(const backend_question& question)
{
    const auto logEvidence = [&](log_event event) {
        logEvent(event,
            { { "life", question.life }, { "evidence", std::string(toString(end_evidence::refused_connection)) },
                { "address", toString(m_settings.backend) },
                { "asked_ms_ago", millisecondsText(boot_clock::now() - question.askedAt) },
                { "present_life", m_current ? m_current->life() : "" }, { "leaving", isDeparting() ? "yes" : "no" },
                { "still_connected", question.isStillConnected ? "yes" : "no" } });
    };
    if (!showsEnd(question))
        return logEvidence(log_event::evidence_ignored);
    m_lives.onPresentEnded();
    if (!m_current || std::exchange(m_hasEnded, true))
        return;
    logEvent(log_event::backend_lost, { { "backend_server", m_current->id } });
    logEvidence(log_event::life_ended);
    m_gate.setBackend({});
    m_ownership.onBackendEnded(m_current->life());
    m_hooks.onChanged();
}

} // namespace heatherdrift
