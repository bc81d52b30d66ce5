#pragma once

#include "routing/entry_router.h"

#include <map>
#include <random>

namespace heatherdrift {

/// Chooses a member of a pool for calls without key ownership: of two random members the one with fewer calls of this
/// node in progress. Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).
class member_picker {
public:
    explicit member_picker(std::uint64_t seed)
        : m_random(seed)
    {
    }

    member_choice hooks();

private:
    std::optional<instance_ref> pick(const routing_snapshot&, const std::string& pool, const instance_id& avoid);

    std::minstd_rand m_random;
    std::map<instance_ref, int> m_inFlight;
};

} // namespace heatherdrift
