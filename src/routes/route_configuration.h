#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace heatherdrift {

/// Share of a route's requests that goes to a service.
struct service_share {
    std::string service;
    double weight = 1;

    bool operator==(const service_share&) const = default;
};

/// Handling of the requests for a host and path prefix.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with '/'.
    bool isIdempotent = false;
    std::vector<service_share> services; ///< At least one.
    int maxAttempts = 1; ///< Maximum number of backend servers to which a request is sent.
    duration timeout {}; ///< Longest time until the final answer; zero: limited only by the caller's deadline.
    duration latencyObjective {}; ///< Time within which requests should be answered; zero: unknown.
    int priority = 0; ///< 0 is the highest.
    bool hasUnknownType = false; ///< The configured type is missing or not known, so the route is not idempotent.

    bool operator==(const route&) const = default;
};

/// Service provided by a group of equivalent backend servers.
struct service_definition {
    std::string name;
    int maximumConnections = 0; ///< Per backend server, from all callers together; 0: unknown.
    bool isPartitioned = false; ///< Each key has one owner among the backend servers.
    duration coldStart {}; ///< Time for which a backend server is cold after its start; zero: not known.
    double coldRequestsPerSecond = 0; ///< What a cold backend server tolerates; more crash it. 0: no limit.
    std::string healthPath {}; ///< Target of health checks; empty: not known.

    bool operator==(const service_definition&) const = default;
};

/// Limits on requests and connections of callers.
struct caller_limits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1 << 20;
    duration idleTimeout = std::chrono::seconds(120);

    bool operator==(const caller_limits&) const = default;
};

/// Versioned configuration of routes and services.
struct route_configuration {
    std::uint64_t version = 0; ///< 0: no configuration yet.
    std::vector<route> routes;
    std::vector<service_definition> services;
    caller_limits limits;

    bool operator==(const route_configuration&) const = default;
};

} // namespace heatherdrift
