#pragma once

#include "admission/server_status.h"
#include "ranges/range_map.h"

#include <cstdint>

namespace heatherdrift {

/// Status of a backend server as one node passes it on to another.
struct passed_status {
    std::uint32_t server = 0; ///< See statusName().
    duration age {}; ///< Time since the gate of the backend server stated it.
    server_status status;

    bool operator==(const passed_status&) const = default;
};

/// Short name of a backend server's life, of 30 bits: 690 lives have two of the same name with a probability of 1 in
/// 4500, and the receiver ignores ambiguous names.
std::uint32_t statusName(const life_name&);

} // namespace heatherdrift
