#pragma once

#include "control/internal/control_context.h"
#include "routing/task_messages.h"

#include <deque>
#include <set>

namespace heatherdrift {

/// Forwards strikes (crash records of requests) to the neighbouring nodes, each strike only once.
class strike_relay {
public:
    explicit strike_relay(control_context& context)
        : m_context(context)
    {
    }

    void setNeighbours(std::vector<peer_address> neighbours) { m_neighbours = std::move(neighbours); }
    /// Sends strikes that this node's request task recorded.
    void broadcast(const std::vector<crash_strike>&);
    /// Forwards strikes of another node and returns those that are new to this node.
    std::vector<crash_strike> accept(const instance_ref& sender, const wire::Strikes&);

private:
    std::vector<crash_strike> filterNew(const std::vector<crash_strike>&);
    void send(const std::vector<crash_strike>&, const instance_ref* except);

    control_context& m_context;
    std::vector<peer_address> m_neighbours;
    std::set<std::uint64_t> m_seenIds;
    std::deque<std::uint64_t> m_seenOrder;
};

} // namespace heatherdrift
