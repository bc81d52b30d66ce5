#pragma once

#include "base/clock.h"
#include "base/failure.h"
#include "base/store_types.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heatherdrift {

/// State of a row, or its removal.
struct row_change {
    row_key key;
    row_version version = 0;
    std::optional<std::string> value; ///< Empty: the row was removed.

    bool operator==(const row_change&) const = default;
};

/// Rows of one table.
struct row_snapshot {
    std::vector<row_change> rows;
    row_version version = 0; ///< Version of the store at that moment; changes are watched from here on.

    bool operator==(const row_snapshot&) const = default;
};

/// Writes that take effect together, if all checked rows have the given versions.
struct conditional_write {
    std::vector<version_check> checks;
    std::vector<row_change> changes; ///< Their versions are ignored.

    bool operator==(const conditional_write&) const = default;
};

struct write_outcome {
    bool isApplied = false;
    row_version version = 0; ///< Of the written rows, if applied.
    std::vector<row_change> current; ///< The checked rows as they are, if not applied.

    bool operator==(const write_outcome&) const = default;
};

/// Port to a table service whose versions grow over all rows and whose changes can be watched. All functions return at
/// once and call back on the caller's event loop, never before they return. Failures: `store_unavailable` with
/// not_run (it had no effect) or may_have_run (its answer was lost; it may still take effect, seconds later).
///
/// The store may come back from an older copy: what was written since is gone, and its numbers are given out again. All
/// versions contain the store's era (makeVersion), so that they keep growing. Watching from a version of an earlier era
/// fails with `not_found`. A write whose checks name versions of an earlier era fails with `store_restored`: with
/// not_run if the later era was known and the write was not sent, otherwise with may_have_run, since its conditions
/// were compared with numbers of another era.
class watched_store {
public:
    virtual ~watched_store() = default;

    /// All rows of a table. The answer has to begin before the deadline and then is read for as long as it arrives.
    virtual void read(std::string table, time_point deadline, std::function<void(result<row_snapshot>)>) = 0;
    virtual void write(conditional_write, time_point deadline, std::function<void(result<write_outcome>)>) = 0;
    /// Answers as soon as there are changes after the version, or without any when the time to wait has passed. Fails
    /// with `not_found` if the changes since then are no longer known; the table has to be read anew. The deadline is
    /// that of read().
    virtual void watch(std::string table, row_version after, duration wait, time_point deadline,
        std::function<void(result<row_snapshot>)>)
        = 0;

    /// Sets a function that is called when an answer shows a later era than those before, before the answer is
    /// delivered.
    virtual void onRestored(std::function<void(store_era)>) { }
};

} // namespace heatherdrift
