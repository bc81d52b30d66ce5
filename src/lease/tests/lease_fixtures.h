#pragma once

#include "store/member_row.h"

namespace heatherdrift::lease_test {

inline time_point at(int ms) { return time_point(std::chrono::milliseconds(ms)); }

inline member_row makeMember(const std::string& id, const std::string& zone = "a", incarnation number = 1,
    member_state state = member_state::active, std::vector<instance_ref> witnesses = {})
{
    member_row row;
    row.self = { id, number };
    row.state = state;
    row.region = "r";
    row.availabilityZone = zone;
    row.control = { "10.0.0.1", static_cast<std::uint16_t>(std::hash<std::string>()(id) % 60000 + 1) };
    row.witnesses = std::move(witnesses);
    return row;
}

} // namespace heatherdrift::lease_test
