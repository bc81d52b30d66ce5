#pragma once

#include "store/member_row.h"

#include <optional>
#include <string>
#include <vector>

namespace heatherdrift {

// Actions and inputs of the state machines that change member rows. The driver performs actions in order and responds
// to every read and commit, at the latest when the store's deadline expires.

/// Read a member row. The response is row_read or read_failed.
struct read_row {
    instance_id id;

    bool operator==(const read_row&) const = default;
};

/// Write a member row if it has the expected version and all checks hold. The response is commit_done.
struct commit_row {
    std::string operationId;
    member_row row;
    row_version expected = 0;
    std::vector<version_check> checks;

    bool operator==(const commit_row&) const = default;
};

/// Deliver timer_due at this time on the boot clock; replaces an earlier timer.
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
    not_sent, ///< The write was not sent and cannot take effect.
    unknown, ///< No answer; the write may have taken effect or may still do so.
};

struct commit_done {
    std::string operationId;
    commit_status status = commit_status::unknown;
    row_version version = 0; ///< Of the written row, if applied.
};

struct timer_due { };

} // namespace heatherdrift
