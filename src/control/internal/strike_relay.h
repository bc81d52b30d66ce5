#pragma once

#include "control/internal/control_context.h"
#include "routing/task_messages.h"

#include <deque>
#include <set>

namespace heatherdrift {

/// Passes strikes on over the links between nodes, each strike once.
class strike_relay {
public:
    explicit strike_relay(control_context& context)
        : m_context(context)
    {
    }

    void setNeighbours(std::vector<peer_address> neighbours) { m_neighbours = std::move(neighbours); }
    /// Strikes of this node's request task.
    void spread(const std::vector<crash_strike>&);
    /// Strikes of another node; returns those that are new here.
    std::vector<crash_strike> accept(const instance_ref& sender, const wire::Strikes&);

private:
    std::vector<crash_strike> onlyNew(const std::vector<crash_strike>&);
    void send(const std::vector<crash_strike>&, const instance_ref* except);

    control_context& m_context;
    std::vector<peer_address> m_neighbours;
    std::set<std::uint64_t> m_known;
    std::deque<std::uint64_t> m_order;
};

} // namespace heatherdrift
