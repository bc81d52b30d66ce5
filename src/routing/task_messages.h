#pragma once

#include "admission/quarantine.h"
#include "routing/backend_link.h"
#include "routing/routing_snapshot.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace heatherdrift {

// Messages from the control task to the request task.

/// Serves under this incarnation from now on. Calls of the previous incarnation continue, but no new ones are started
/// for it.
struct start_incarnation {
    instance_ref self;
};
/// Starts no more calls under this incarnation and cancels those that need ownership for their whole run. Answered with
/// serving_stopped.
struct stop_serving {
    instance_ref self;
};
struct use_snapshot {
    routing_snapshot_ptr snapshot;
};
struct lease_update {
    instance_ref self;
    time_point end;
};
/// Empty if there is no backend server.
struct backend_update {
    std::optional<backend_description> backend;
};
/// Answered with partition_idle when no call holds the partition any more.
struct stop_partition {
    partition_id partition;
};
struct resume_partition {
    partition_id partition;
};
struct start_draining { };
struct add_strikes {
    std::vector<crash_strike> strikes;
};
struct intent_inserted {
    std::uint64_t id = 0;
    result<void> outcome = outcome::success();
};

using to_request_task = std::variant<start_incarnation, stop_serving, use_snapshot, lease_update, backend_update,
    stop_partition, resume_partition, start_draining, add_strikes, intent_inserted>;

// Messages from the request task to the control task.

struct serving_stopped {
    instance_ref self;
};
struct partition_idle {
    partition_id partition;
};
/// Result of the backend server's health checks.
struct backend_health {
    bool isAnswering = false;
};
/// Load of the last interval at this node's backend server.
struct load_sample {
    double busySlots = 0;
    std::map<partition_index, double> partitions; ///< Mean busy slots of the busiest partitions.
    std::map<std::string, double> keys; ///< Mean busy slots of the busiest keys.
    int callsInProgress = 0;
};
struct new_strikes {
    std::vector<crash_strike> strikes;
};
struct insert_intent {
    std::uint64_t id = 0;
    std::string key;
    std::string requestId;
    time_point deadline;
};

using to_control_task
    = std::variant<serving_stopped, partition_idle, backend_health, load_sample, new_strikes, insert_intent>;

} // namespace heatherdrift
