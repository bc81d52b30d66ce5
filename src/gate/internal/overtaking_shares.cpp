#include "gate/overtaking_shares.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr double newestWeight = 0.1; ///< At 16 places per second, the shares follow the load within a second.
    /// Lower bound on the share that a rank gets, so that its requests are still queued now and then and the share is
    /// measured.
    constexpr double minOwnShare = 0.05;

} // namespace

void overtaking_shares::record(std::size_t rank, const std::bitset<ranks>& waiting)
{
    for (std::size_t other = rank; other < ranks; ++other) {
        if (waiting[other])
            m_shares[other] += ((other > rank ? 1 : 0) - m_shares[other]) * newestWeight;
    }
}

duration overtaking_shares::expectedWait(duration withoutOthers, std::size_t rank) const
{
    // What overtakes the requests of a rank overtakes those of later ranks as well, of which none may have waited.
    const double others = *std::max_element(m_shares.begin(), m_shares.begin() + static_cast<std::ptrdiff_t>(rank) + 1);
    const double own = std::max(1 - others, minOwnShare);
    return std::chrono::duration_cast<duration>(withoutOthers / own);
}

} // namespace heatherdrift
