#pragma once

#include <cstdint>
#include <string_view>

namespace heatherdrift {

/// XXH3 64-bit hash of the bytes, mixed with a seed.
std::uint64_t hashBytes(std::string_view, std::uint64_t seed = 0);

/// Rendezvous weight of a candidate for a subject: the candidate with the highest weight wins.
/// Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous" (1996).
std::uint64_t rendezvousWeight(std::string_view subject, std::string_view candidate);

} // namespace heatherdrift
