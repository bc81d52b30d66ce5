#pragma once

#include "base/clock.h"
#include "base/failure.h"

namespace heatherdrift {

/// Deliberate faults that tests switch on to prove that the safety properties can fail. checkLeaseSettings() rejects
/// each of them.
struct lease_mutations {
    bool newSetOnlyDuringChange = false; ///< The holder forgets the old witness set as soon as a change begins.
    bool countFromReceipt = false; ///< The holder counts a grant from its receipt instead of the renewal's sending.
    bool ignoreWitnessIncarnation = false; ///< A restarted witness answers for its predecessor.
    bool grantAfterPromise = false; ///< A witness grants in spite of its promise.
    bool staleWitnessSet = false; ///< Promises are collected from the set that was read before the row was marked.
    bool noWait = false; ///< A takeover does not wait for the end of the grants.
    bool substituteWithoutWait = false; ///< A restarted witness counts without waiting for its predecessor's grants.
    bool assumeApplied = false; ///< A takeover takes a write with a lost answer for applied.

    bool operator==(const lease_mutations&) const = default;
};

/// Times of leases and takeovers. docs/ownership.md has the arithmetic that connects them.
struct lease_settings {
    duration ttl = std::chrono::milliseconds(1500);
    duration renewalInterval = std::chrono::milliseconds(500);
    /// A witness suspects a holder that it has not heard for so long, later by rankDelay per rank.
    duration silenceLimit = std::chrono::milliseconds(1000);
    duration rankDelay = std::chrono::milliseconds(100);
    /// Taken off a grant by its holder and added to it by its witness; also the largest clock rate error tolerated.
    double driftShare = 0.02;
    /// A witness refuses a holder whose configuration has been older than its own for longer.
    /// With the rest of the last grant (1.47 s) a node is without its lease 3.5 s after its witness got the newer
    /// version, within the 4 s in which a configuration must be in force everywhere.
    duration staleConfigurationLimit = std::chrono::seconds(2);
    /// How long a witness must be missing before it is replaced while a majority answers.
    duration replacementDelay = std::chrono::seconds(5);
    /// How long a better spread must be available before a set without faults is changed for it.
    duration rebalanceDelay = std::chrono::seconds(60);
    /// First and longest pause before a takeover repeats a step; each pause is doubled and jittered.
    duration retryFirst = std::chrono::milliseconds(100);
    duration retryMost = std::chrono::seconds(2);
    /// A takeover that could not reach a majority of witnesses for so long is reported as blocked.
    duration blockedAfter = std::chrono::seconds(5);
    lease_mutations mutations;

    /// How long a holder counts a grant: ttl less the drift share.
    duration holderGrantTime() const;
    /// How long a witness counts a grant: ttl plus the drift share.
    duration witnessGrantTime() const;
    /// Silence that another witness must confirm before a row is marked. A holder of which only one renewal was lost,
    /// or only towards one witness, stays below it.
    duration confirmedSilence() const { return silenceLimit - renewalInterval / 2; }
    /// A gap between two calls of a witness from which on it takes the gap for a pause of its own process.
    duration pauseLimit() const { return renewalInterval / 2; }

    bool operator==(const lease_settings&) const = default;
};

/// Most witnesses of one instance.
constexpr std::size_t maximumWitnesses = 5;

/// Fails with invalid_settings and the reason if the settings contradict each other.
result<void> checkLeaseSettings(const lease_settings&);

} // namespace heatherdrift
