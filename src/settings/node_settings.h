#pragma once

#include "base/json_reader.h"
#include "telemetry/log_event.h"

#include <optional>
#include <string>
#include <vector>

namespace heatherdrift {

/// Addresses on which the node listens, as other nodes reach them.
struct listener_settings {
    endpoint entry; ///< Callers, HTTP.
    endpoint forward; ///< Other nodes' requests, HTTP.
    endpoint control; ///< Other nodes' control messages, framed Thrift.
    endpoint admin; ///< Operators, announcements of the backend server and metrics, HTTP.

    bool operator==(const listener_settings&) const = default;
};

struct trace_settings {
    std::string file; ///< Receives one line of JSON per span.
    double sampledShare = 0.01; ///< Share of the traces started here that are recorded.

    bool operator==(const trace_settings&) const = default;
};

/// Must be the same on all nodes: a holder and its witnesses each compute the end of a lease from their own settings.
struct lease_times {
    duration timeToLive = std::chrono::milliseconds(1500);
    duration renewalInterval = std::chrono::milliseconds(500);
    /// Time without a renewal after which the first witness starts a takeover.
    duration silenceLimit = std::chrono::seconds(1);
    /// Time for which witnesses tolerate a configuration older than their own.
    duration staleConfigurationLimit = std::chrono::seconds(2);

    bool operator==(const lease_times&) const = default;
};

struct request_limits {
    std::uint32_t maximumBodyBytes = 4u << 20; ///< Largest request body; a pool may allow less.
    std::uint32_t maximumHeaderBytes = 16u << 10; ///< Request line and headers together.
    std::uint32_t streamBufferBytes = 256u << 10; ///< Bytes of one response held for a slow reader.
    std::uint32_t maximumExchanges = 2048; ///< Concurrent requests, over all listeners.

    bool operator==(const request_limits&) const = default;
};

/// Settings of one heatherdriftd.
struct node_settings {
    instance_id instance;
    std::string availabilityZone;
    std::string region;
    listener_settings listeners;
    std::vector<endpoint> tableService; ///< Tried in turn.
    std::optional<endpoint> objectStore;
    std::optional<trace_settings> trace;
    log_level leastLogLevel = log_level::info;
    lease_times lease;
    request_limits requests;
    /// Time from the start of a drain after which new work is refused even for partitions that have not moved.
    duration drainGrace = std::chrono::seconds(5);

    bool operator==(const node_settings&) const = default;
};

constexpr std::size_t maximumSettingsBytes = 64u << 10;
constexpr std::size_t maximumTableServiceEndpoints = 16;
/// Most memory for the buffers of all responses together.
constexpr std::uint64_t maximumStreamMemoryBytes = 1u << 30;

/// Parses and checks the settings. Fails with invalid_settings and the field's path.
result<node_settings> parseNodeSettings(const json&);
/// Inverse of parseNodeSettings(); absent optional settings are left out.
json toJson(const node_settings&);
/// Reads a settings file. Fails with invalid_settings; the message starts with the path of the file.
result<node_settings> loadNodeSettings(const std::string& path);

} // namespace heatherdrift
