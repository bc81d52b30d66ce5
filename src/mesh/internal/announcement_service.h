#pragma once

#include "http/http_server.h"
#include "mesh/internal/gate_service.h"
#include "mesh/internal/ownership.h"
#include "mesh/platform_port.h"
#include "settings/mesh_settings.h"

namespace heatherdrift {

/// Handles the heartbeats of the backend server beside this node and its shutdown notice.
class announcement_service {
public:
    announcement_service(event_base*, const mesh_settings&, const platform_port&, gate_service&, ownership&,
        std::function<bool()> isPartitioned, std::function<void()> onChanged);

    void handle(http_exchange_ptr);
    /// Called when the granted keys or the range map may have changed.
    void onOwnershipChanged();
    /// Called when a connection to the backend server was refused, so that its process has ended.
    void onBackendRefused();

    const std::optional<backend_announcement>& current() const { return m_current; }
    bool isLeaving() const { return m_isLeaving; }
    /// Whether the process of the backend server is certain to have ended.
    bool hasEnded() const { return m_hasEnded; }
    /// Whether the backend server of this id has departed without having been announced to this process.
    bool hasDeparted(const std::string& id) const;

private:
    /// A backend server that departed before its first heartbeat to this process.
    struct early_departure {
        std::string id;
        time_point closesAt {}; ///< End of its drain time.
    };

    void handleDeparture(const std::string& id);
    bool isOlder(const backend_announcement&) const;
    void updateCurrent(const backend_announcement&);
    void startLeaving();
    void answerDeferred();

    const mesh_settings& m_settings;
    const platform_port& m_port;
    gate_service& m_gate;
    ownership& m_ownership;
    std::function<bool()> m_isPartitioned;
    std::function<void()> m_onChanged;
    std::optional<backend_announcement> m_current;
    std::optional<early_departure> m_earlyDeparture;
    bool m_isLeaving = false;
    bool m_hasEnded = false;
    http_exchange_ptr m_deferredExchange; ///< Heartbeat whose response is delayed until imminent grants are made.
    time_point m_deferredSince {};
    timer m_deferredAnswerTimer;
    bool m_isAnswering = false;
};

} // namespace heatherdrift
