#pragma once

#include "store/member_row.h"

#include <optional>

namespace heatherdrift {

/// Whether the current row of an instance proves that the process of an older incarnation has terminated, because a
/// newer process has bound the same control address. `olderControl` is the address of the older process, if available.
bool provesTermination(
    const member_row& current, const instance_ref& older, const std::optional<endpoint>& olderControl);

/// Whether a new process with this control address may replace the row: always at the same address; at another address
/// only if the row is fenced or left, because otherwise the older process may still run.
bool mayRegisterOver(const member_row& current, const endpoint& control);

/// The row that replaces the current one, with incarnation and firstAtAddress set. Requires mayRegisterOver().
member_row registrationOver(const std::optional<member_row>& current, member_row next);

} // namespace heatherdrift
