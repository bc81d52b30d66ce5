#pragma once

#include "assignment/partition_map.h"
#include "assignment/pool_member.h"
#include "base/clock.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace heatherdrift {

/// Mean number of busy slots of an instance since its last report. Only the partitions with the highest load are
/// listed; the others share the rest equally.
struct load_report {
    instance_ref from;
    double load = 0;
    std::map<partition_index, double> hottest;

    bool operator==(const load_report&) const = default;
};

/// Most partitions listed in a report. With 115 instances that report every 10 s their coordinator receives 2 KB/s.
constexpr std::size_t maximumReportedPartitions = 32;

load_report makeLoadReport(const instance_ref&, const std::map<partition_index, double>& loads);

struct proposed_move {
    partition_index partition = 0;
    epoch number = 0; ///< Epoch at which `from` owns the partition.
    instance_ref from;
    instance_ref to;

    bool operator==(const proposed_move&) const = default;
};

/// Whether the owner may start a move that it was asked for: it owns the partition at the epoch of the proposal, and
/// the successor may be given partitions.
bool isMoveValid(const proposed_move&, const std::string& pool, const partition_map&, const member_map&);

/// Relative values: 1 is an instance's fair part by its capacity.
struct balancer_options {
    double high = 1.25; ///< Above this, or below its inverse, an instance is out of balance.
    double settled = 1.1; ///< Once started, moves continue to within this and its inverse.
    double idle = 0.05; ///< Differences of load below this part of an instance's capacity are ignored.
    duration sustained = std::chrono::seconds(30); ///< Imbalance must last this long.
    duration frozen = std::chrono::minutes(5); ///< A moved partition stays at least this long.
    duration pending = std::chrono::seconds(30); ///< A proposal without effect is given up after this.
    duration reportValid = std::chrono::seconds(30);
};

/// Most moves per minute in a pool, and most at a time.
std::uint32_t movesPerMinute(std::uint32_t partitions);
std::uint32_t movesAtATime(std::uint32_t partitions);

class pool_state;

/// Proposes moves in one pool; runs on the coordinator of the pool's first page. A new coordinator starts without state
/// and so waits for sustained imbalance again.
class balancer {
public:
    explicit balancer(balancer_options options = {})
        : m_options(options)
    {
    }

    void onReport(const load_report&, const pool_configuration&, const partition_map&, time_point now);

    /// Load of a partition by the latest reports, in busy slots; 0 if it is not known.
    double loadOf(partition_index) const;

    /// Called about once a second. Returns the moves to ask of their owners now; mostly none.
    std::vector<proposed_move> propose(
        const pool_configuration&, const partition_map&, const std::vector<pool_member>& eligible, time_point now);

private:
    struct recent_move {
        proposed_move move;
        time_point pendingUntil;
        time_point frozenUntil;
    };
    /// Of the imbalance of count or of load.
    struct trigger {
        std::optional<time_point> actAt; ///< Empty while in balance.
        bool isActing = false;
    };

    void setLoad(partition_index, double);
    pool_state readState(
        const pool_configuration&, const partition_map&, const std::vector<pool_member>&, time_point now) const;
    bool isPending(const recent_move&, const pool_configuration&, const partition_map&, time_point now) const;
    bool mayAct(trigger&, const pool_state&, bool byLoad, time_point now) const;
    std::size_t budget(const pool_configuration&, const partition_map&, time_point now);

    balancer_options m_options;
    std::map<instance_ref, time_point> m_measuredUntil;
    std::vector<float> m_loads; ///< Of ordinary partitions, by index.
    std::vector<float> m_hotLoads; ///< Of hot partitions, by slot.
    std::map<partition_index, recent_move> m_recent;
    std::array<trigger, 2> m_triggers; ///< Count, load.
    time_point m_windowEnd;
    std::uint32_t m_movesInWindow = 0;
};

} // namespace heatherdrift
