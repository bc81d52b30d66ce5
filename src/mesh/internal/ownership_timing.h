#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Times of ownership, shared by its source files.
namespace heatherdrift::ownership_timing {

/// Outlasts a restart of the node or two lost heartbeats. Keys of a lost owner are unavailable for this long.
inline constexpr auto leaseTime = std::chrono::milliseconds(3500);
inline constexpr auto confirmInterval = std::chrono::milliseconds(700);
/// Maximum age of a check whose result is passed on to other owners, which saves them a more expensive call to the
/// store.
inline constexpr auto maxSharedCheckAge = std::chrono::milliseconds(300);
/// Age of the last confirmation at which an owner checks the map itself: the owner that checks for all has missed
/// one response.
inline constexpr auto ownCheckAge = confirmInterval + maxSharedCheckAge + std::chrono::milliseconds(200);
/// Age at which an owner asks the others for promises, because the store has not responded either. The other owners
/// may need a second to detect the outage, and the next heartbeat has to arrive before the lease ends.
inline constexpr auto extensionAge = ownCheckAge + std::chrono::milliseconds(100);
inline constexpr auto extensionInterval = std::chrono::milliseconds(300);
/// Longer than the heartbeat interval and the interval between requests for promises.
inline constexpr auto promiseTime = std::chrono::milliseconds(1600);
inline constexpr auto maxExtension = std::chrono::milliseconds(8000); ///< Longer than most outages of the store.
/// A write of an earlier process may still take effect for this long; until then this process makes no promises.
inline constexpr auto lateWriteTime = std::chrono::milliseconds(8000);
/// A node that owns no keys reassigns keys without a live owner only if no owner has done so for this long.
inline constexpr auto nonOwnerTakeoverDelay = std::chrono::milliseconds(3000);
inline constexpr auto tickInterval = std::chrono::milliseconds(100);
inline constexpr auto writeTimeout = std::chrono::milliseconds(1500);
inline constexpr auto confirmTimeout = std::chrono::milliseconds(1000);
/// About the round trip of a call to the store.
inline constexpr auto conflictBackoffStep = std::chrono::milliseconds(6);
inline constexpr auto writeBackoff = std::chrono::milliseconds(200);
/// Margin for the clock drift between two machines during a lease and for the time to read the clocks.
inline constexpr double leaseSafety = 1.05;
/// Heartbeat intervals until all backend servers of a new system have announced themselves.
inline constexpr double heartbeatsBeforeFirstMap = 2.2;
/// Additional delay per position in the order of nodes before a node acts as coordinator.
inline constexpr auto coordinatorStep = std::chrono::milliseconds(600);
/// Lets a node that detected the lost owner earlier, or the owner's own node, act first.
inline constexpr auto orphanGracePeriod = std::chrono::milliseconds(300);
/// After a simultaneous start of all nodes, each backend server is announced within about this time.
inline constexpr auto startupGracePeriod = std::chrono::milliseconds(2500);
/// Owners that are not lost release keys within about this time.
inline constexpr auto usualReleaseTime = std::chrono::milliseconds(2500);
/// Requests wait for a grant that is due within this time; earlier ones get a Retry-After response.
inline constexpr auto maxGrantWait = std::chrono::milliseconds(600);
inline constexpr int maxBackoffDoublings = 3; ///< A release must not be delayed by much more than a second.
/// Owners remove unknown holders from the map one after the other, at most at this rate and not within less than a
/// second, so that their writes seldom conflict.
inline constexpr auto exclusiveReleaseInterval = std::chrono::milliseconds(20);
inline constexpr auto minExclusiveReleaseSpread = std::chrono::milliseconds(1000);
/// Without a new backend server for this many heartbeat intervals, all of a new system have announced themselves.
inline constexpr double heartbeatsWithoutNewcomer = 1.3;
inline constexpr auto maxFirstMapDelay
    = std::chrono::seconds(5); ///< A system that starts slowly serves the first ones.
inline constexpr std::size_t maxEndedLives = 64; ///< Far more than can end while a map change is in progress.
inline constexpr std::size_t maxSeenAssignments = 4096;

/// Milliseconds, by the clock of another machine, after which the holds of an unresponsive owner have expired.
inline std::int64_t silenceAfter(duration hold)
{
    return static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(hold).count() * leaseSafety);
}

} // namespace heatherdrift::ownership_timing
