#pragma once

#include "store/member_row.h"

#include <optional>
#include <string>
#include <vector>

namespace heatherdrift {

// Steps of the state machines that change member rows. The driver performs actions in their order. It answers every
// read and every commit, at the latest after the store's deadline.

/// Read a member row; answered with row_read or read_failed.
struct read_row {
    instance_id id;

    bool operator==(const read_row&) const = default;
};

/// Write a member row if it has the expected version and all checks hold; answered with commit_done.
struct commit_row {
    std::string operationId;
    member_row row;
    row_version expected = 0;
    std::vector<version_check> checks;

    bool operator==(const commit_row&) const = default;
};

/// Pass timer_due at this time on the boot clock; replaces an earlier timer.
struct start_timer {
    time_point at;

    bool operator==(const start_timer&) const = default;
};

struct row_read {
    instance_id id;
    std::optional<versioned_member> row; ///< Empty if the row does not exist.
};

struct read_failed {
    instance_id id;
};

enum class commit_status {
    applied,
    conflict, ///< A version did not match; nothing was written.
    not_sent, ///< Cannot take effect.
    unknown, ///< The answer was lost; the write may have taken effect or may still do so.
};

struct commit_done {
    std::string operationId;
    commit_status status = commit_status::unknown;
    row_version version = 0; ///< Of the written row, if applied.
};

struct timer_due { };

} // namespace heatherdrift
