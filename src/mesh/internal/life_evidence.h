#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "ranges/range_map.h"

namespace heatherdrift {

/// Why a life of a backend server counts as ended, so that its keys need no silence before they are granted again.
enum class end_evidence {
    refused_connection, ///< Nothing listens at its address.
    later_life, ///< Another life sends heartbeats from its address.
    earlier_row, ///< The row of an earlier process of the node names a life before the present one.
    other_node, ///< Another node responds at the address of its node.
};

std::string_view toString(end_evidence);

/// A connection to the backend server beside this node, whose refusal may show that a life has ended.
struct backend_question {
    life_name life; ///< The life that the node knew when it asked; empty if none.
    time_point askedAt {};
    bool isStillConnected = false; ///< Other connections to the backend server were open when the refusal was handled.
};

/// A request to another node, whose response may show that the node is gone.
struct peer_question {
    instance_id node;
    std::uint64_t identity = 0; ///< Of the node, as mesh_directory knew it when the request was sent.
    time_point askedAt {};
};

} // namespace heatherdrift
