#pragma once

#include "mesh/passed_status.h"

#include <string>
#include <string_view>
#include <vector>

namespace heatherdrift {

/// Most statuses that fit into one message: 14 characters each, three more of a cold backend server.
constexpr std::size_t maxPassedStatuses = 5;
constexpr std::size_t maxPassedBytes = 74; ///< With the name of the header, a message gets 97 bytes longer.

/// Encodes as many of the first statuses as fit. Times are rounded to 10%, service times to 0.4%, ages to milliseconds.
std::string encodeStatuses(const std::vector<passed_status>&);
/// Empty if the text is malformed.
std::vector<passed_status> decodeStatuses(std::string_view);

} // namespace heatherdrift
