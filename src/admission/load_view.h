#pragma once

#include "admission/outlier_detector.h"
#include "admission/random_function.h"
#include "admission/slow_start.h"

#include <optional>
#include <string>
#include <vector>

namespace heatherdrift {

/// Health and load that a backend server reports about itself. May be outdated or wrong.
struct server_report {
    bool isHealthy = true;
    double load = 0; ///< Share of its slots in use, 0 to 1.
    time_point at {}; ///< Time up to which the report was valid.

    bool operator==(const server_report&) const = default;
};

/// Outcome of a call as observed by this node.
struct call_observation {
    enum class kind {
        success,
        failure, ///< No response, or a response that indicates a broken server.
        refused, ///< The server or its node refused the call because of its load.
        cancelled, ///< Cancelled by the caller; no evidence about the server.
    };
    kind outcome = kind::success;
    /// Latency of a short call; empty for long calls, whose duration depends on their size.
    std::optional<duration> latency;

    bool operator==(const call_observation&) const = default;
};

/// Settings of load_view; see docs/admission.md.
struct load_view_settings {
    std::string zone; ///< Availability zone of this node.
    double zoneTolerance = 1.5; ///< Cost factor up to which a server in the local zone is preferred.
    duration observationTimeConstant = std::chrono::seconds(5); ///< Time constant of the decay of local observations.
    duration maxReportAge = std::chrono::seconds(3); ///< Older reports are ignored.
    slow_start_settings slowStart {};
    outlier_settings outliers {};

    bool operator==(const load_view_settings&) const = default;
};

/// Constraints of a pick.
struct pick_options {
    std::vector<instance_id> excluded {}; ///< For example servers that refused this request already.
    bool mayProbe = false; ///< Whether the call can be retried and may therefore probe an ejected server.
};

/// Picks a backend server of a pool for calls that need no key ownership.
class load_view {
public:
    explicit load_view(random_function, const load_view_settings& = {});

    /// Adds a server. A cold one gets its full share only after the slow start.
    void add(const instance_id&, const std::string& zone, bool isCold, time_point now);
    void remove(const instance_id&);
    void report(const instance_id&, const server_report&);

    /// Returns nullopt if every server is excluded or out of service. Takes O(1) on average unless most servers are out
    /// of service.
    std::optional<instance_id> pick(const pick_options&, time_point now);
    /// Each picked server that is called must be reported to onCallStarted() and onCallFinished().
    void onCallStarted(const instance_id&, time_point now);
    void onCallFinished(const instance_id&, const call_observation&, time_point now);

    /// Expected latency of one more call, in seconds, with penalties for failures, refusals and reported load. Of two
    /// candidates, the one with the lower cost is picked.
    double cost(const instance_id&, time_point now) const;
    server_condition condition(const instance_id& id, time_point now) const { return m_outliers.condition(id, now); }

private:
    struct server {
        instance_id id;
        std::string zone;
        slow_start warmUp;
        int inFlight = 0;
        decaying_average latency;
        decaying_average failures;
        decaying_average refusals;
        std::optional<server_report> lastReport;
    };
    using position = std::size_t;

    const server* find(const instance_id&) const;
    double costOf(const server&, time_point now) const;
    bool isEligible(const server&, const pick_options&, time_point now) const;
    bool isReportedUnhealthy(const server&, time_point now) const;
    double reportedLoad(const server&, time_point now) const;
    std::optional<position> draw(
        const std::vector<position>& from, const pick_options&, std::optional<position> except, time_point now);
    std::optional<instance_id> dueProbe(const pick_options&, time_point now);
    std::optional<instance_id> fallbackServer(const pick_options&, time_point now) const;
    void rebuildIndex();
    void countUnhealthyReports();

    random_function m_random;
    load_view_settings m_settings;
    outlier_detector m_outliers;
    std::vector<server> m_servers;
    std::map<instance_id, position> m_positions;
    std::vector<position> m_all;
    std::vector<position> m_sameZone;
    decaying_average m_poolLatency;
    std::size_t m_unhealthyReports = 0;
};

} // namespace heatherdrift
