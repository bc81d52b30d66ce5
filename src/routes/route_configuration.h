#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace heatherdrift {

/// Part of a route's requests that goes to a service.
struct service_share {
    std::string service;
    double weight = 1;

    bool operator==(const service_share&) const = default;
};

/// How requests of one host and path prefix are treated.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with '/'.
    bool isIdempotent = false;
    std::vector<service_share> services; ///< At least one.
    int mostAttempts = 1; ///< Backend servers to which one request may be sent.
    duration timeout {}; ///< Longest time until the final answer; zero: only the caller's deadline counts.
    duration latencyObjective {}; ///< Time within which an answer is worth most; zero: unknown.
    int priority = 0; ///< 0 is the highest.

    bool operator==(const route&) const = default;
};

/// Backend servers that serve the same kind of work.
struct service_definition {
    std::string name;
    int maximumConnections = 0; ///< Per backend server, from all callers together; 0: no bound is known.
    bool isPartitioned = false; ///< Each key has one owner among the backend servers.

    bool operator==(const service_definition&) const = default;
};

/// Bounds for what a caller may send.
struct caller_limits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1 << 20;
    duration idleTimeout = std::chrono::seconds(120);

    bool operator==(const caller_limits&) const = default;
};

/// One version of the routes in force.
struct route_configuration {
    std::uint64_t version = 0; ///< 0: none is known.
    std::vector<route> routes;
    std::vector<service_definition> services;
    caller_limits limits;

    bool operator==(const route_configuration&) const = default;
};

} // namespace heatherdrift
