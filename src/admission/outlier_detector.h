#pragma once

#include "admission/decaying_sum.h"
#include "base/identifiers.h"

#include <map>

namespace heatherdrift {

/// Settings of outlier_detector; see docs/admission.md.
struct outlier_settings {
    int consecutiveFailures = 5; ///< Ejects a server after this many failures in a row,
    double failureShare = 0.5; ///< or when this share of its calls failed,
    double minCalls = 10; ///< counted over at least this many calls
    duration window = std::chrono::seconds(5); ///< with this time constant.
    double maxEjectedShare = 0.34; ///< Of all servers; one of two or more may always be ejected.
    duration baseEjectionTime = std::chrono::seconds(5); ///< Doubles with each further ejection,
    duration maxEjectionTime = std::chrono::minutes(5); ///< up to this time.
    duration ejectionResetAfter
        = std::chrono::minutes(10); ///< Time in service after which the count of ejections is reset.
    int probes = 3; ///< Consecutive successful probes before a server returns to service.
    duration probeInterval = std::chrono::milliseconds(500);

    bool operator==(const outlier_settings&) const = default;
};

enum class server_condition {
    in_service,
    ejected, ///< Gets no calls.
    probing, ///< Gets single calls as probes; see isProbeDue().
};

/// Ejects failing servers and returns them to service after successful probes. Results of calls that started before an
/// ejection and end during it are ignored.
class outlier_detector {
public:
    explicit outlier_detector(const outlier_settings& = {});

    void add(const instance_id&, time_point now);
    void remove(const instance_id&);

    /// Returns true if this success returned the server to service.
    bool observeSuccess(const instance_id&, time_point now);
    /// Returns true if this failure ejected the server.
    bool observeFailure(const instance_id&, time_point now);

    server_condition condition(const instance_id&, time_point now) const;
    /// Whether a probing server should get a call now.
    bool isProbeDue(const instance_id&, time_point now) const;
    /// A call was sent as a probe.
    void startProbe(const instance_id&, time_point now);
    /// Servers that are ejected or probing.
    std::size_t outOfService() const { return m_outOfService; }

private:
    struct server_state {
        decaying_average failures;
        int failuresInRow = 0;
        int ejections = 0;
        bool isOutOfService = false;
        time_point changedAt {}; // Time of the last ejection or return to service.
        time_point ejectedUntil {};
        time_point nextProbeAt {};
        int probesPassed = 0;
    };

    bool isOutlier(const server_state&, time_point now) const;
    bool mayEjectOneMore() const;
    void eject(server_state&, time_point now);

    outlier_settings m_settings;
    std::map<instance_id, server_state, std::less<>> m_servers;
    std::size_t m_outOfService = 0;
};

} // namespace heatherdrift
