#pragma once

#include "control/control_node.h"
#include "telemetry/log_event.h"

#include <map>

namespace heatherdrift {

// JSON documents of the administration API; docs/administration.md describes them.

json toJson(const node_status&);
/// `owned`: number of its partitions, or empty if this node does not know the partitions yet.
json toJson(const versioned_member&, std::optional<std::size_t> owned);
json toJson(const partition_view&);
json toJson(const recorded_events&);

/// Fails with bad_request.
result<backend_description> parseAnnouncement(const std::string& body);

struct configuration_change {
    std::int64_t baseVersion = 0;
    configuration next;
};

/// Fails with bad_request, or with invalid_configuration for an error in the configuration itself.
result<configuration_change> parseConfigurationChange(const std::string& body);

/// Accepts an empty body and an empty object. Fails with bad_request.
result<void> checkEmptyBody(const std::string& body);

} // namespace heatherdrift
