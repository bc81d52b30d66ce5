#pragma once

#include "admission/decaying_sum.h"
#include "admission/recent_map.h"
#include "admission/request_fingerprint.h"
#include "base/failure.h"

#include <set>
#include <string_view>
#include <vector>

namespace heatherdrift {

/// Suspicion against one fingerprint from one crash. Nodes exchange it; on the wire `at` is an age.
struct crash_strike {
    std::uint64_t id = 0; ///< Same on every node for the same crash and fingerprint.
    request_fingerprint fingerprint = 0;
    double weight = 0;
    time_point at {};

    bool operator==(const crash_strike&) const = default;
};

/// Settings of quarantine; see docs/admission.md.
struct quarantine_settings {
    double limit = 0.9; ///< A fingerprint whose strikes add up to this is refused.
    double aloneWeight = 0.6; ///< Weight of a crash with one fingerprint in flight; shared among several of them.
    double isolatedWeight = 1; ///< Weight of a crash for the only suspect in flight; shared among several suspects.
    double leastSuspicion = 0.01; ///< Below this weight a fingerprint is no suspect any more.
    duration memory = std::chrono::minutes(10); ///< Time constant of the decay of strikes.
    duration refusal = std::chrono::minutes(10);
    duration isolation = std::chrono::seconds(2); ///< A suspect that survived this long lets the next one start.
    std::size_t mostFingerprints = 4096;
    std::size_t mostStrikes = 16384; ///< Strike ids remembered, to count each strike once.

    bool operator==(const quarantine_settings&) const = default;
};

enum class quarantine_decision {
    run, ///< No suspicion.
    run_isolated, ///< A suspect that may start, since no other one does.
    wait, ///< A suspect that has to wait for another one; ask again at nextIsolationAt() or when one ends.
    refuse,
};

/// Finds requests that crash backend servers. Suspects run one at a time before they are refused, so that a request
/// that was in flight by chance is cleared by its next run.
class quarantine {
public:
    explicit quarantine(const quarantine_settings& = {});

    /// `run_isolated` takes the place of the one suspect that may start; finished() gives it back.
    quarantine_decision decide(request_fingerprint, time_point now);
    /// `quarantined`, to be given to the caller on `refuse`.
    failure refusal() const;
    /// A request that ran isolated ended. If the backend server answered, the request is cleared.
    void finished(request_fingerprint, bool answered, time_point now);
    /// When the next suspect may start even if the current one still runs.
    time_point nextIsolationAt() const;

    /// The backend server crashed with these requests in flight. The id names the crash, for example by instance,
    /// incarnation and number. Returns the strikes for the other nodes.
    std::vector<crash_strike> crashed(
        std::string_view crashId, const std::vector<request_fingerprint>& inFlight, time_point now);
    /// Takes over strikes from other nodes; strikes that are known already are ignored.
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
    recent_map<request_fingerprint, record> m_records;
    recent_map<std::uint64_t, char> m_known;
    std::set<request_fingerprint> m_isolated; // Suspects that run now.
    time_point m_isolatedUntil = time_point::min();
};

} // namespace heatherdrift
