#pragma once

#include "store/table_store.h"

#include <functional>
#include <string>
#include <vector>

namespace heatherdrift {

/// What rows that were read back say about a transaction.
enum class applied_state { applied, not_applied, unknown };

/// Judges the present rows of a transaction's writes, in the order of the writes (version 0: no row).
/// `applied`: the rows can only look so if the transaction took effect. `not_applied`: they can only look so if it has
/// not taken effect before they were read; it may do so later.
using applied_test = std::function<applied_state(const std::vector<stored_row>&)>;

/// `applied` if one of the rows is a JSON object with the operation id in its field "operation_id", otherwise
/// `unknown`.
applied_test operationIdTest(std::string operationId);

} // namespace heatherdrift
