#pragma once

#include "admission/server_status.h"
#include "base/clock.h"

#include <array>
#include <bitset>

namespace heatherdrift {

/// How much longer requests wait because later, more urgent ones overtake them. Ranks are the groups of a queue's
/// order; 0 goes first.
class overtaking_shares {
public:
    /// Nested requests, and for each level of urgency those that can meet their objective and those that cannot.
    static constexpr std::size_t ranks = 1 + 2 * urgencyLevels;

    /// A request of this rank was taken from the queue while requests of the given ranks waited, its own included.
    void record(std::size_t rank, const std::bitset<ranks>& waiting);
    /// Expected wait of a request that would have this wait if no other came after it.
    duration expectedWait(duration withoutOthers, std::size_t rank) const;

private:
    /// By rank: share of the recent places that went to lower ranks while requests of the rank waited.
    std::array<double, ranks> m_shares {};
};

} // namespace heatherdrift
