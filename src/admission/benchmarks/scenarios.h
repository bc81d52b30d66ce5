#pragma once

#include <cstdint>
#include <vector>

namespace heatherdrift::simulation {

inline const std::vector<std::uint64_t> seeds { 1, 2, 3, 4, 5 };

/// Latency of short calls with and without concurrent long calls.
void compareClassBlocking();
/// Goodput by priority while the load rises to three times the capacity.
void compareDemandSwing();
/// Goodput of small workspaces that compete with one that offers most of the load.
void compareWorkspaces();
/// Recovery from a short load peak when callers retry failed calls.
void compareRetries();
/// Latency and failures when calls can choose among servers.
void compareServerChoice();
/// The same for servers of different and changing speed, with statuses that entry nodes get late.
void compareUnevenServers();
/// The same with second attempts against slow answers.
void compareHedges();

} // namespace heatherdrift::simulation
