#pragma once

#include "base/clock.h"
#include "base/failure.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heatherdrift {

/// Version of a stored row; grows with every write of the row; 0 means that the row does not exist.
using row_version = std::int64_t;

struct row_key {
    std::string table;
    std::string key;

    auto operator<=>(const row_key&) const = default;
};

struct stored_row {
    row_key key;
    row_version version = 0;
    std::string value;

    bool operator==(const stored_row&) const = default;
};

/// Condition of a transaction: the row has exactly this version (0: it does not exist).
struct version_check {
    row_key key;
    row_version version = 0;

    bool operator==(const version_check&) const = default;
};

/// Write of a transaction, applied only if the row has the expected version (0: it does not exist).
struct row_write {
    row_key key;
    row_version expected = 0;
    std::string value;

    bool operator==(const row_write&) const = default;
};

/// All checks and writes take effect together or not at all.
struct store_transaction {
    std::string operationId;
    std::vector<version_check> checks;
    std::vector<row_write> writes;

    bool operator==(const store_transaction&) const = default;
};

/// The transaction took effect; rows in the order of its writes, with their new versions.
struct commit_receipt {
    std::vector<stored_row> rows;

    bool operator==(const commit_receipt&) const = default;
};

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
