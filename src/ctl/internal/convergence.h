#pragma once

#include "ctl/internal/command.h"

namespace heatherdrift {

/// Waits until a configuration is in force on every member that serves or may serve, by asking each for its status.
/// Prints the instances that have not got there, and returns not_in_force, if the deadline comes first.
/// `document` is what to print with --json; fields are added to it.
exit_code waitUntilInForce(const command_context&, std::int64_t version, json& document);

} // namespace heatherdrift
