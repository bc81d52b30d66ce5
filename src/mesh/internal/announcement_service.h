#pragma once

#include "gate/life_order.h"
#include "http/http_server.h"
#include "mesh/internal/gate_service.h"
#include "mesh/internal/ownership.h"
#include "mesh/member.h"
#include "mesh/platform_port.h"
#include "settings/mesh_settings.h"

namespace heatherdrift {

struct announcement_hooks {
    std::function<bool()> isPartitioned; ///< Whether the service of this node is divided by key.
    std::function<void()> onChanged; ///< The state of the backend server has changed.
    /// Whether another reachable node has announced the backend server of this id.
    std::function<bool(const std::string& id)> isOfOtherNode;
};

/// Handles the heartbeats of the backend server beside this node and its shutdown notice. The notice is acknowledged
/// once the store shows the departure, so that a later process of this node knows it.
class announcement_service {
public:
    announcement_service(
        event_base*, const mesh_settings&, const platform_port&, gate_service&, ownership&, announcement_hooks);

    void handle(http_exchange_ptr);
    /// Called when the granted keys or the range map may have changed.
    void onOwnershipChanged();
    /// Called when a connection to the backend server was refused, so that its process has ended.
    void onBackendRefused(const backend_question&);

    /// Takes the row of this node that an earlier process wrote, before this process has replaced it.
    void setEarlierRow(const mesh_member&);
    /// The member table was read, with or without a row of this node.
    void onTableRead();
    /// The store has written this row of the node.
    void onRowWritten(const mesh_member&);

    /// The last heartbeat taken. Its start is the one by which lives are ordered, not the stated one.
    const std::optional<backend_announcement>& current() const { return m_current; }
    /// Start that the present life states, if it differs from that in its name.
    std::optional<std::int64_t> statedStart() const;
    bool isLeaving() const { return m_isLeaving; }
    /// Whether the process of the backend server is certain to have ended.
    bool hasEnded() const { return m_hasEnded; }
    /// The backend server in the row of an earlier process, if it has left and none was announced to this process.
    const mesh_member* departedEarlier() const;
    /// Whether the row of an earlier process has to be replaced by one that shows the departure.
    bool isEarlierDepartureUnrecorded() const;
    bool hasUnacknowledgedDeparture() const { return !m_unacknowledged.empty(); }

private:
    /// A backend server that departed before its first heartbeat to this process.
    struct early_departure {
        std::string id;
        time_point closesAt {}; ///< End of its drain time.
    };

    /// A shutdown notice whose response waits for the write of the departure.
    struct unacknowledged_departure {
        std::string id;
        http_exchange_ptr exchange;
        bool isHeartbeat = false; ///< The response to a heartbeat may contain keys.
        time_point receivedAt {};
        life_name life; ///< That sent the heartbeat; a notice names none.
    };

    bool showsEnd(const backend_question&) const;
    bool isDeparting() const;
    void handleDeparture(const std::string& id, http_exchange_ptr);
    void answerNotTaken(const backend_announcement&, heartbeat_verdict, const http_exchange_ptr&);
    void logOrder(heartbeat_verdict, const backend_announcement&) const;
    void updateCurrent(const backend_announcement&);
    void discardCurrent();
    void closeNow();
    void closeGateAt(time_point);
    void startLeaving();
    void answerDeferred();
    http_response heartbeatAnswer(const unacknowledged_departure&);
    /// Whether the backend server of this id has departed without having been announced to this process.
    bool hasDeparted(const std::string& id) const;
    bool isDepartureRecorded(const std::string& id) const;
    void acknowledgeWhenRecorded(unacknowledged_departure);
    void settleDepartures();

    const mesh_settings& m_settings;
    const platform_port& m_port;
    gate_service& m_gate;
    ownership& m_ownership;
    announcement_hooks m_hooks;
    life_order m_lives;
    std::optional<backend_announcement> m_current;
    /// From the row of an earlier process.
    std::optional<mesh_member> m_earlier;
    std::optional<early_departure> m_earlyDeparture;
    life_name m_recordedDeparture; ///< Life that the store shows as draining.
    bool m_isTableRead = false;
    std::vector<unacknowledged_departure> m_unacknowledged;
    timer m_departureTimer;
    bool m_isLeaving = false;
    time_point m_gateClosesAt = time_point::max(); ///< For the present life.
    bool m_hasEnded = false;
    http_exchange_ptr m_deferredExchange; ///< Heartbeat whose response is delayed until imminent grants are made.
    time_point m_deferredSince {};
    timer m_deferredAnswerTimer;
    bool m_isAnswering = false;
};

} // namespace heatherdrift
