#pragma once

#include "base/clock.h"
#include "base/failure.h"

namespace heatherdrift {

/// Faults of the protocol that tests inject to show that the checks of the safety properties detect them.
/// checkLeaseSettings() rejects each of them.
struct lease_mutations {
    bool newSetOnlyDuringChange = false; ///< The holder ignores the old witness set once a change begins.
    bool countFromReceipt = false; ///< A grant starts when it arrives, not when its renewal was sent.
    bool ignoreWitnessIncarnation = false; ///< A restarted witness grants renewals for its predecessor.
    bool grantAfterPromise = false; ///< A witness grants despite its promise.
    bool staleWitnessSet = false; ///< Promises come from the set that was read before the row became fencing.
    bool noWait = false; ///< A takeover does not wait until the grants expire.
    bool substituteWithoutWait = false; ///< A restarted witness counts before its predecessor's grants expire.
    bool assumeApplied = false; ///< A takeover treats a write with a lost answer as applied.

    bool operator==(const lease_mutations&) const = default;
};

/// Timing of leases and takeovers. docs/ownership.md derives how the values depend on each other.
struct lease_settings {
    duration ttl = std::chrono::milliseconds(1500);
    duration renewalInterval = std::chrono::milliseconds(500);
    /// Time without a renewal after which the witness of rank 0 suspects the holder; each further rank waits rankDelay
    /// longer.
    duration silenceLimit = std::chrono::milliseconds(1000);
    duration rankDelay = std::chrono::milliseconds(100);
    /// Fraction of the ttl by which the holder shortens a grant and the witness lengthens it; also the largest clock
    /// rate error tolerated.
    double driftShare = 0.02;
    /// A witness refuses a holder whose configuration has been older than its own for longer than this. Together with
    /// the remainder of the last grant (1.47 s), a node loses its lease 3.5 s after its witness received the newer
    /// version, within the 4 s in which a configuration must be in force everywhere.
    duration staleConfigurationLimit = std::chrono::seconds(2);
    /// Time for which a witness must be missing before it is replaced, as long as a majority answers.
    duration replacementDelay = std::chrono::seconds(5);
    /// Time for which a better set must be available before it replaces a set without faults.
    duration rebalanceDelay = std::chrono::seconds(60);
    /// Bounds of the exponential backoff, with jitter, between the attempts at a step of a takeover.
    duration initialRetryDelay = std::chrono::milliseconds(100);
    duration maxRetryDelay = std::chrono::seconds(2);
    /// Time without a majority of witnesses after which a takeover is reported as blocked.
    duration blockedAfter = std::chrono::seconds(5);
    lease_mutations mutations;

    /// Duration of a grant at the holder: ttl less the drift share.
    duration holderGrantTime() const;
    /// Duration of a grant at the witness: ttl plus the drift share.
    duration witnessGrantTime() const;
    /// Silence that other witnesses must report before a row is set to fencing. A holder stays below it if only one
    /// renewal was lost, or only the renewals to one witness.
    duration confirmedSilence() const { return silenceLimit - renewalInterval / 2; }
    /// Gaps between two calls of a witness that exceed this count as a pause of its own process.
    duration pauseLimit() const { return renewalInterval / 2; }

    bool operator==(const lease_settings&) const = default;
};

/// Maximum number of witnesses of one instance.
constexpr std::size_t maxWitnesses = 5;

/// Fails with invalid_settings and the reason if the settings are inconsistent.
result<void> checkLeaseSettings(const lease_settings&);

} // namespace heatherdrift
