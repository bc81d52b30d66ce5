#pragma once

#include "admission/decaying_sum.h"
#include "admission/lru_map.h"
#include "admission/request_fingerprint.h"
#include "base/failure.h"

#include <set>
#include <string_view>
#include <vector>

namespace heatherdrift {

/// Attribution of one crash to one request fingerprint, with a weight. Nodes exchange attributions as `Strike`; on the
/// wire, `at` is an age.
struct crash_strike {
    std::uint64_t id = 0; ///< Identical on every node for the same crash and fingerprint.
    request_fingerprint fingerprint = 0;
    double weight = 0;
    time_point at {};

    bool operator==(const crash_strike&) const = default;
};

/// Settings of quarantine; see docs/admission.md.
struct quarantine_settings {
    double refusalThreshold = 0.9; ///< A fingerprint is refused when the weights of its attributions add up to this.
    double crashWeight = 0.6; ///< Weight of a crash; divided evenly if several fingerprints were in flight.
    double isolatedCrashWeight = 1; ///< Weight for an isolated suspect; divided evenly among several.
    double minSuspicion = 0.01; ///< A fingerprint below this weight is no longer a suspect.
    duration decayTimeConstant = std::chrono::minutes(10); ///< Time constant of the decay of attributions.
    duration refusalPeriod = std::chrono::minutes(10);
    duration isolationPeriod = std::chrono::seconds(2); ///< After this time the next suspect may start.
    std::size_t maxFingerprints = 4096;
    std::size_t maxAttributions = 16384; ///< Attribution ids kept, so that each attribution is applied once.

    bool operator==(const quarantine_settings&) const = default;
};

enum class quarantine_decision {
    run, ///< Not a suspect.
    run_isolated, ///< A suspect that may start, since no other suspect runs.
    wait, ///< A suspect that must wait for another one; call decide() again at nextIsolationAt() or when one ends.
    refuse,
};

/// Detects requests that crash backend servers (queries of death). Suspects run one at a time before they are refused,
/// so that a request that was in flight by chance is cleared by its next run.
class quarantine {
public:
    explicit quarantine(const quarantine_settings& = {});

    /// `run_isolated` reserves the isolated run for this fingerprint; finishIsolatedRun() releases it.
    quarantine_decision decide(request_fingerprint, time_point now);
    /// The `quarantined` error to return to the caller on `refuse`.
    failure refusal() const;
    /// A request that ran isolated ended. It is cleared if the backend server ran it to a good end: one that fails now
    /// may crash backend servers at another time.
    void finishIsolatedRun(request_fingerprint, bool hasSucceeded, time_point now);
    /// Time from which the next suspect may start even if the current one is still running.
    time_point nextIsolationAt() const;

    /// Records a crash of the backend server with these requests in flight. The id names the crash, for example by
    /// instance, incarnation and number. Returns the attributions for the other nodes.
    std::vector<crash_strike> recordCrash(
        std::string_view crashId, const std::vector<request_fingerprint>& inFlight, time_point now);
    /// Applies attributions from other nodes; those that were applied before are ignored.
    void merge(const std::vector<crash_strike>&);

    double suspicion(request_fingerprint, time_point now) const;
    bool isRefused(request_fingerprint, time_point now) const;
    std::size_t size() const { return m_records.size(); }

private:
    struct record {
        decaying_sum weight;
        time_point refusedUntil = time_point::min();
    };

    void apply(const crash_strike&);

    quarantine_settings m_settings;
    lru_map<request_fingerprint, record> m_records;
    lru_map<std::uint64_t, char> m_appliedIds;
    std::set<request_fingerprint> m_isolated; // Suspects that are running.
    time_point m_isolatedUntil = time_point::min();
};

} // namespace heatherdrift
