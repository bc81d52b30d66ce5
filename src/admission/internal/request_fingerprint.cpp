#include "admission/request_fingerprint.h"

#include "base/hash.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace heatherdrift {

namespace {

    constexpr std::size_t maxTextFingerprints = 16; ///< Bounds a log line.

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

std::string fingerprintText(request_fingerprint fingerprint)
{
    char text[2 * sizeof(fingerprint) + 1];
    std::snprintf(text, sizeof(text), "%016" PRIx64, fingerprint);
    return text;
}

std::string fingerprintText(const std::vector<request_fingerprint>& fingerprints)
{
    std::string out;
    for (std::size_t i = 0; i < std::min(fingerprints.size(), maxTextFingerprints); ++i)
        out.append(i == 0 ? "" : " ").append(fingerprintText(fingerprints[i]));
    if (fingerprints.size() > maxTextFingerprints)
        out.append(" and ").append(std::to_string(fingerprints.size() - maxTextFingerprints)).append(" more");
    return out;
}

} // namespace heatherdrift
