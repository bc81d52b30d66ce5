#pragma once

#include "http/http_server.h"
#include "mesh/internal/gate_service.h"
#include "mesh/internal/ownership.h"
#include "mesh/platform_port.h"
#include "settings/mesh_settings.h"

namespace heatherdrift {

/// Takes the heartbeats of the backend server beside this node and its notice that it leaves.
class announcement_service {
public:
    announcement_service(event_base*, const mesh_settings&, const platform_port&, gate_service&, ownership&,
        std::function<bool()> isPartitioned, std::function<void()> onChanged);

    void handle(http_exchange_ptr);
    /// Keys may be granted or taken away now.
    void ownershipChanged();
    /// Nothing listens at the backend server's address any more.
    void backendRefused();

    const std::optional<backend_announcement>& current() const { return m_current; }
    bool isLeaving() const { return m_isLeaving; }
    /// Whether the backend server has ended for certain.
    bool hasEnded() const { return m_hasEnded; }

private:
    bool isOlder(const backend_announcement&) const;
    void adopt(const backend_announcement&);
    void startLeaving();
    void answerHeld();

    const mesh_settings& m_settings;
    const platform_port& m_port;
    gate_service& m_gate;
    ownership& m_ownership;
    std::function<bool()> m_isPartitioned;
    std::function<void()> m_onChanged;
    std::optional<backend_announcement> m_current;
    bool m_isLeaving = false;
    bool m_hasEnded = false;
    http_exchange_ptr m_held; ///< Heartbeat whose answer waits for keys that are about to be granted.
    time_point m_heldSince {};
    timer m_answerHeld;
    bool m_isAnswering = false;
};

} // namespace heatherdrift
