#pragma once

#include "http/http_server.h"
#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/ownership.h"

namespace heatherdrift {

/// What the owners of a service's keys tell each other: changes of the range map, without a call to the store, and
/// whether it is current while the store does not answer all of them.
class owner_council {
public:
    owner_council(const mesh_settings&, mesh_directory&, ownership&);

    /// Asks all other owners whether the range map of this node is current.
    void ask();
    /// Asks the first owner in order, which checks the map for all of them; false if that is this node or none is
    /// known.
    bool askFirst(const std::vector<owner_candidate>&);
    /// Sends the range map to the nodes of the given lives.
    void push(const std::set<life_name>&);
    /// Takes a range map that another node sent.
    void take(const http_exchange_ptr&);
    /// Answers such a question of another owner.
    void handle(const http_exchange_ptr&);

    static constexpr const char* target = "/heatherdrift/confirm";

private:
    struct round {
        time_point askedAt {};
        row_version version = 0;
        std::size_t asked = 0;
        std::size_t promised = 0;
    };

    void send(const std::shared_ptr<round>&, const instance_id&);
    void answered(const std::shared_ptr<round>&, const result<http_response>&);

    const mesh_settings& m_settings;
    mesh_directory& m_directory;
    ownership& m_ownership;
};

} // namespace heatherdrift
