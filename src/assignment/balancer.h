#pragma once

#include "assignment/partition_map.h"
#include "assignment/pool_member.h"
#include "base/clock.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace heatherdrift {

/// Mean number of busy slots of an instance since its previous report. Only the partitions with the highest load are
/// listed; the receiver divides the remaining load equally among the others.
struct load_report {
    instance_ref from;
    double load = 0;
    std::map<partition_index, double> hottest;

    bool operator==(const load_report&) const = default;
};

/// Maximum number of partitions listed in a report. With 115 instances that report every 10 s, the coordinator receives
/// 2 KB/s.
constexpr std::size_t maximumReportedPartitions = 32;

load_report makeLoadReport(const instance_ref&, const std::map<partition_index, double>& loads);

struct proposed_move {
    partition_index partition = 0;
    epoch number = 0; ///< Epoch at which `from` owns the partition.
    instance_ref from;
    instance_ref to;

    bool operator==(const proposed_move&) const = default;
};

/// Whether the owner may start a proposed move: it still owns the partition at the epoch of the proposal, and the
/// successor is eligible to own partitions.
bool isMoveValid(const proposed_move&, const std::string& pool, const partition_map&, const member_map&);

/// Levels are relative to an instance's fair share, which is proportional to its capacity: 1 is exactly the fair share.
struct balancer_options {
    double imbalanceThreshold = 1.25; ///< Above this, or below its inverse, an instance is out of balance.
    double targetLevel = 1.1; ///< Once started, moves continue until instances are within this and its inverse.
    double loadTolerance = 0.05; ///< Load differences below this fraction of an instance's capacity are ignored.
    duration sustainPeriod = std::chrono::seconds(30); ///< Imbalance must last this long before moves start.
    duration moveCooldown = std::chrono::minutes(5); ///< Minimum time between two moves of a partition.
    duration proposalTimeout = std::chrono::seconds(30); ///< Proposals without effect are dropped after this.
    duration reportExpiry = std::chrono::seconds(30);
};

/// Limits of a pool: moves started per minute, and moves in progress at the same time.
std::uint32_t maxMovesPerMinute(std::uint32_t partitions);
std::uint32_t maxConcurrentMoves(std::uint32_t partitions);

class pool_state;

/// Proposes moves that balance one pool; runs on the coordinator of the pool's first page. A new coordinator starts
/// without state, so the imbalance must be sustained again before it proposes moves.
class balancer {
public:
    explicit balancer(balancer_options options = {})
        : m_options(options)
    {
    }

    void onReport(const load_report&, const pool_configuration&, const partition_map&, time_point now);

    /// Load of a partition according to the latest reports, in busy slots; 0 if unknown.
    double loadOf(partition_index) const;

    /// Called about once a second. Returns the moves to request from the owners now; usually none.
    std::vector<proposed_move> propose(
        const pool_configuration&, const partition_map&, const std::vector<pool_member>& eligible, time_point now);

private:
    struct recent_move {
        proposed_move move;
        time_point pendingUntil;
        time_point frozenUntil;
    };
    /// Tracks how long the partition counts or the loads have been out of balance.
    struct trigger {
        std::optional<time_point> actAt; ///< Empty while in balance.
        bool isActing = false;
    };

    void setLoad(partition_index, double);
    pool_state buildPoolState(
        const pool_configuration&, const partition_map&, const std::vector<pool_member>&, time_point now) const;
    bool isPending(const recent_move&, const pool_configuration&, const partition_map&, time_point now) const;
    bool mayAct(trigger&, const pool_state&, bool byLoad, time_point now) const;
    std::size_t moveBudget(const pool_configuration&, const partition_map&, time_point now);

    balancer_options m_options;
    std::map<instance_ref, time_point> m_reportsValidUntil;
    std::vector<float> m_loads; ///< Loads of ordinary partitions, by index.
    std::vector<float> m_hotLoads; ///< Loads of hot partitions, by slot.
    std::map<partition_index, recent_move> m_recentMoves;
    std::array<trigger, 2> m_triggers; ///< For the partition counts, then for the loads.
    time_point m_windowEnd;
    std::uint32_t m_movesInWindow = 0;
};

} // namespace heatherdrift
