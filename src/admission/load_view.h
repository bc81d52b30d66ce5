#pragma once

#include "admission/completion_estimate.h"
#include "admission/outlier_detector.h"
#include "admission/random_function.h"
#include "admission/server_outlook.h"
#include "admission/slow_start.h"

#include <map>
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
        overtaken, ///< Cancelled, since another attempt was answered; took at least the latency.
    };
    kind outcome = kind::success;
    /// Latency of a short call; empty for long calls, whose duration depends on their size.
    std::optional<duration> latency;

    bool operator==(const call_observation&) const = default;
};

/// Settings of load_view; see docs/admission.md.
struct load_view_settings {
    std::string zone; ///< Availability zone of this node.
    /// Servers whose expected completion is compared for a call. With more than three, the fast servers get too many of
    /// the calls that are sent between two reports: see docs/design/server-choice.md.
    int candidates = 3;
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
    std::size_t urgency = 0; ///< Urgency level of the request; see urgencyLevel().
    time_point answerBy = time_point::max(); ///< A later answer is useless.
    bool needsWarm = false; ///< Excludes servers that may be cold, and those that are reported as unhealthy.
};

/// A status and the server that it is of.
struct named_status {
    instance_id id;
    status_report report;

    bool operator==(const named_status&) const = default;
};

/// What a pick at one time knows of a server.
struct server_assessment {
    server_condition condition = server_condition::in_service;
    bool isReportedUnhealthy = false; ///< Picked only if no other server is left.
    bool isCold = false; ///< By its last status.
    bool isInTime = true; ///< Expected to answer in time.
    std::optional<status_report> status {}; ///< The last one, of any age.
    duration expectedWait {}; ///< Until it starts a request of this urgency level.
    duration expectedCompletion {}; ///< Until it answers the request.
    std::optional<duration> serviceTime {}; ///< Slowdown included; empty if it has stated none recently.
    double cost = 0; ///< Expected latency in seconds, with penalties; the pick prefers lower ones.
    int callsInProgress = 0; ///< Of this node.
    double slowStartShare = 1; ///< Of its full share of calls.

    bool operator==(const server_assessment&) const = default;
};

/// Picks a backend server of a pool for calls that need no key ownership. While statuses of servers are known, it picks
/// by the expected time of completion; designed for 66 entry nodes with 10 to 20 calls per second each and for servers
/// whose speed differs and changes several times per second.
class load_view {
public:
    explicit load_view(random_function, const load_view_settings& = {});

    /// Adds a server. A cold one gets its full share only after the slow start.
    void add(const instance_id&, const std::string& zone, bool isCold, time_point now);
    void remove(const instance_id&);
    void report(const instance_id&, const server_report&);
    /// Records the status of a server, unless it is not newer than the known one by more than minGain. Returns whether
    /// it was recorded.
    bool reportStatus(const instance_id&, const status_report&, duration minGain = {});
    /// The gate of the server states no status any more.
    void clearStatus(const instance_id&);

    /// Returns nullopt if every server is excluded or out of service. Takes O(1) on average unless most servers are out
    /// of service.
    std::optional<instance_id> pick(const pick_options&, time_point now);
    /// Each picked server that is called must be reported to onCallStarted() and onCallFinished().
    void onCallStarted(const instance_id&, time_point now);
    void onCallFinished(const instance_id&, const call_observation&, time_point now);

    /// Expected latency of one more call, in seconds, with penalties for failures, refusals and reported load. Of two
    /// candidates, the one with the lower cost is picked.
    double cost(const instance_id&, time_point now) const;
    /// The time after which the first server is expected to start a request of this urgency level, if no server of the
    /// pool is expected to do so within the given time. Empty otherwise, and if the state of any server is not known:
    /// then the request should be sent.
    std::optional<duration> earliestStart(std::size_t urgency, duration within, time_point now) const;
    /// What is known about a server for a request of this urgency level; empty if it is not in the pool.
    std::optional<server_outlook> outlook(const instance_id&, std::size_t urgency, time_point now) const;
    /// Mean of the reported waits of the pool; zero without recent reports.
    duration usualWait(std::size_t urgency, time_point now) const;
    /// The statuses that are the most useful ones for another node, the best first: the freshest ones, and those of
    /// cold servers, which hold for longer.
    std::vector<named_status> statuses(std::size_t count, const instance_id& except, time_point now) const;
    std::size_t knownStatuses(time_point now) const;
    /// Whether a pick compares expected completions; otherwise it compares costs.
    bool usesStatuses(time_point now) const { return now <= m_statusesUntil; }
    /// Empty if there is no such server.
    std::optional<server_assessment> assess(const instance_id&, const pick_options&, time_point now) const;
    /// Share of the picks at this time that each server gets, from samples of a copy with random numbers of its own.
    /// Servers that are never picked are left out.
    std::map<instance_id, double> pickShares(const pick_options&, int samples, time_point now) const;
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
        completion_estimate completion {};
    };
    using position = std::size_t;

    const server* find(const instance_id&) const;
    double costOf(const server&, time_point now) const;
    /// Expected seconds until the answer, with penalties for failures and refusals.
    double completionCost(const server&, std::size_t urgency, time_point now) const;
    duration expectedCompletion(const server&, std::size_t urgency, time_point now) const;
    double penalties(const server&, time_point now) const;
    std::optional<instance_id> pickByCompletion(const pick_options&, time_point now);
    bool isInTime(const server&, const pick_options&, time_point now) const;
    std::optional<position> drawInTime(const pick_options&, time_point now);
    duration usualService(const server&, time_point now) const;
    bool mayBeCold(const server&, time_point now) const;
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
    /// Of the reported statuses, in seconds; the waits by urgency level.
    decaying_average m_poolService;
    std::vector<decaying_average> m_poolWaits;
    time_point m_statusesUntil = time_point::min(); ///< The last one is too old afterwards.
};

} // namespace heatherdrift
