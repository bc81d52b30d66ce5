#pragma once

#include "store/member_row.h"

#include <optional>

namespace heatherdrift {

/// Whether the current row of an instance proves that the process of an older incarnation has terminated: a newer
/// process has bound the same control address. `olderControl` is the older process's address, if known.
bool provesTermination(
    const member_row& current, const instance_ref& older, const std::optional<endpoint>& olderControl);

/// Whether a new process with this control address may register over the row. At the same address always; at another
/// one only over a row that is fenced or left, because the older process may still run.
bool mayRegisterOver(const member_row& current, const endpoint& control);

/// The row to register over the current one, with incarnation and firstAtAddress set. Requires mayRegisterOver().
member_row registrationOver(const std::optional<member_row>& current, member_row next);

} // namespace heatherdrift
