#include "base/hash.h"

#include <xxhash.h>

namespace heatherdrift {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view subject, std::string_view candidate)
{
    return hashBytes(candidate, hashBytes(subject));
}

} // namespace heatherdrift
