#include "mesh/internal/peer_transfer.h"

#include "store/table_limits.h"

namespace heatherdrift {

namespace {

    /// A reachable node responds within milliseconds; the kernel repeats a lost packet after 200 ms.
    constexpr auto stallTime = std::chrono::milliseconds(400);
    /// A slow link carries the answers to callers as well.
    constexpr std::size_t slowestBytesPerSecond = 128 * 1024;

} // namespace

transfer_limits peerTransferLimits(std::size_t requestBytes)
{
    const auto now = boot_clock::now();
    const std::chrono::duration<double> sendTime(static_cast<double>(requestBytes) / slowestBytesPerSecond);
    return { now + stallTime + std::chrono::duration_cast<duration>(sendTime), stallTime, now + maxTransferTime,
        maxTableBytes };
}

} // namespace heatherdrift
