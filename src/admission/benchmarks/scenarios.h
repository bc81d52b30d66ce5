#pragma once

#include <cstdint>
#include <vector>

namespace heatherdrift::simulation {

inline const std::vector<std::uint64_t> seeds { 1, 2, 3, 4, 5 };

/// Latency of short calls alone and beside long calls.
void compareClassBlocking();
/// Goodput by priority while the load rises to three times the capacity.
void compareDemandSwing();
/// Goodput of small customers beside one that offers most of the load.
void compareCustomers();
/// Recovery from a short peak with callers that send failed calls again.
void compareRetries();
/// Latency and failures when calls can choose among servers.
void compareServerChoice();

} // namespace heatherdrift::simulation
