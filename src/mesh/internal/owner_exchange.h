#pragma once

#include "http/http_server.h"
#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/ownership.h"

namespace heatherdrift {

/// Messages between the owners of a service's keys: they push changes of the range map without a call to the store, and
/// confirm to each other that the map is current while the store is unavailable to some of them.
class owner_exchange {
public:
    owner_exchange(const mesh_settings&, mesh_directory&, ownership&);

    /// Asks all other owners whether the range map of this node is current.
    void ask();
    /// Asks the first owner in order, which checks the map in the store for all owners; false if that is this node or
    /// no owner is known.
    bool askFirst(const std::vector<owner_candidate>&);
    /// Sends the range map to the nodes of the given lives.
    void push(const std::set<life_name>&);
    /// Handles a range map pushed by another node.
    void handlePushedMap(const http_exchange_ptr&);
    /// Handles a confirmation request of another owner.
    void handle(const http_exchange_ptr&);

    static constexpr const char* target = "/heatherdrift/confirm";

private:
    struct confirmation_round {
        time_point askedAt {};
        row_version version = 0;
        range_map map; ///< Of that version.
        std::size_t askedCount = 0;
        std::size_t promisedCount = 0;
    };

    void send(const std::shared_ptr<confirmation_round>&, const instance_id&);
    void handleAnswer(const std::shared_ptr<confirmation_round>&, const result<http_response>&);

    const mesh_settings& m_settings;
    mesh_directory& m_directory;
    ownership& m_ownership;
};

} // namespace heatherdrift
