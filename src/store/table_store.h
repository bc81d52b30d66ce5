#pragma once

#include "base/clock.h"
#include "base/failure.h"
#include "base/store_types.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heatherdrift {

/// Port to the platform's transactional table service. All functions return at once and call back on the event loop of
/// the caller, never before they return.
///
/// Failures of commit(): `conflict` with verdict not_run, whose message names the first row that did not match and its
/// version; `store_unavailable` with verdict not_run (it cannot have taken effect) or may_have_run (its answer was
/// lost or late; the transaction may still take effect).
class table_store {
public:
    virtual ~table_store() = default;

    virtual void read(row_key, time_point deadline, std::function<void(result<std::optional<stored_row>>)>) = 0;
    /// All rows of a table, in the order of their keys.
    virtual void scan(std::string table, time_point deadline, std::function<void(result<std::vector<stored_row>>)>) = 0;
    virtual void commit(store_transaction, time_point deadline, std::function<void(result<commit_receipt>)>) = 0;
};

} // namespace heatherdrift
