#pragma once

#include "base/clock.h"
#include "base/failure.h"
#include "base/identifiers.h"

namespace heatherdrift {

/// Decisions that a node makes only where its deployment asks for them.
struct scheduling_settings {
    bool ranksByCaller = false; ///< Nested requests rank as the requests that they are made for.
    bool limitsCalls = false; ///< Refuses requests whose nested calls would find no capacity.
    bool usesCompletionTime = false; ///< Picks the backend server that is expected to answer first.
    bool plansReturns = false; ///< Refused callers are told times at which there is room for them.
    double hedgeShare = 0; ///< Most repeated requests against slow answers, as a share of the requests; 0: none.
    /// A backend server in an evacuated availability zone gets no request later than this after the operator's change;
    /// zero: evacuations are not followed.
    duration evacuationTime {};

    bool operator==(const scheduling_settings&) const = default;
};

/// Settings of one node beside a backend server; see docs/settings.md.
struct mesh_settings {
    instance_id node;
    std::string zone;
    std::string service; ///< Of the backend server beside the node.
    endpoint backend; ///< Where the backend server takes requests.
    endpoint entry; ///< Listens for callers.
    endpoint forward; ///< Listens for other nodes.
    endpoint readiness;
    endpoint announcements; ///< Listens for the backend server's heartbeats.
    endpoint metrics;
    endpoint store;
    bool isFirstStart = false; ///< The whole system starts for the first time.
    duration heartbeatInterval {};
    duration drainTime {}; ///< A leaving backend server gets no request later than this after its acknowledgement.
    duration stopTime {}; ///< Time between the signal to stop and the end by force.
    duration longestHold {};
    double linkBytesPerSecond = 0; ///< Of the instance's network link; 0: not known.
    /// Memory at which the platform ends the process; bounds the bytes of answers that it holds.
    std::size_t memoryBytes = 256u << 20;
    int logLines = 200; ///< Lines of one event that are written in 10 s.
    double retryShare = 0.2; ///< Retries per request that all nodes together may send to a service.

    scheduling_settings scheduling {};

    bool operator==(const mesh_settings&) const = default;
};

/// Parses the JSON text of a settings file; the failure names the field.
result<mesh_settings> parseMeshSettings(std::string_view);
result<mesh_settings> loadMeshSettings(const std::string& path);

} // namespace heatherdrift
