#pragma once

#include "admission/admission_level.h"
#include "base/failure.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heatherdrift {

/// A call that requests a slot of the backend server.
struct admission_request {
    std::uint64_t id = 0; ///< Unique among the waiting and running calls.
    admission_level level;
    std::string workspace;
    time_point deadline {};
    duration expected {}; ///< Mean service time of its kind.
    duration needed {}; ///< A queued call must start at least this long before its deadline.

    bool operator==(const admission_request&) const = default;
};

enum class admission_step {
    run, ///< It holds a slot now and must be reported to finish().
    refuse, ///< Rejected on arrival, or evicted from a full queue.
    expire, ///< Removed from the queue because it can no longer start in time.
};

/// Admission decision for one call. The reason is set for `refuse` and `expire`; its verdict is not_run.
struct admission_action {
    std::uint64_t id = 0;
    admission_step step = admission_step::run;
    std::optional<failure> reason;

    bool operator==(const admission_action&) const = default;
};

using admission_actions = std::vector<admission_action>;

} // namespace heatherdrift
