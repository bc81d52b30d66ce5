#include "admission/request_fingerprint.h"

#include "base/hash.h"

namespace heatherdrift {

namespace {

    std::uint64_t chain(std::uint64_t seed, std::string_view part) { return hashBytes(part, seed); }

} // namespace

// Each part is hashed with the hash so far as its seed, so that moving a byte from one part to the next changes the
// result. The body comes before the token: a caller that resends a once call may do so with a fresh token, and the
// fingerprint must stay the same.
request_fingerprint fingerprintOf(const request_content& content)
{
    std::uint64_t hash = 0;
    for (const auto part : { content.pool, content.method, content.path, content.key })
        hash = chain(hash, part);
    return content.body ? chain(chain(hash, "body"), *content.body) : chain(chain(hash, "token"), content.token);
}

} // namespace heatherdrift
