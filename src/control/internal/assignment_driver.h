#pragma once

#include "assignment/balancer.h"
#include "assignment/capacity_ramp.h"
#include "assignment/coordinator.h"
#include "assignment/heavy_hitters.h"
#include "assignment/hot_key_policy.h"
#include "assignment/placement.h"
#include "control/internal/control_context.h"
#include "control/internal/move_driver.h"
#include "control/internal/page_writer.h"
#include "control/internal/takeover_driver.h"
#include "routing/task_messages.h"

#include <map>
#include <string>

namespace heatherdrift {

/// Assigns partitions: repairs the pages that this node coordinates or takes over, balances the pools that it
/// coordinates, and hands over its own partitions when it drains, leaves a pool or receives a move request.
class assignment_driver {
public:
    assignment_driver(control_context&, page_writer&, takeover_driver&, move_driver&, instance_ref self);

    void tick(time_point now);
    /// Returns whether this class handles messages of this kind.
    bool onMessage(const instance_ref& sender, const wire::Message&);
    void onLoad(const load_sample&, time_point now);
    /// Sets whether all own partitions are to be handed over.
    void setDraining(bool isDraining)
    {
        m_isRepairDue = m_isRepairDue || isDraining != m_isDraining;
        m_isDraining = isDraining;
    }
    bool ownsNothing() const;

private:
    struct pool_work {
        balancer balancing;
        hot_key_policy hotKeys;
        std::map<std::string, double> keys; ///< Load by key in the last sample.
        double meanLoad = 0; ///< Mean load per instance of the pool, as computed by its coordinator.
    };

    ramp_function rampAt(time_point now) const;
    /// Whether every partition of the pool has been assigned at least once.
    bool isComplete(const pool_configuration&) const;
    /// Returns whether the plan had steps, so that repair must run again.
    bool repair(const pool_configuration&, time_point now);
    bool isCoordinator(const std::string& pool, std::uint32_t page, const std::vector<pool_member>&) const;
    bool hasLostOwner(const versioned_page&) const;
    void write(const pool_configuration&, const placement_step&);
    void balance(const pool_configuration&, time_point now);
    /// Returns whether this instance owns partitions of the pool that it must hand over.
    bool handOverMisplaced(const pool_configuration&, time_point now);
    void handleHotKeys(const pool_configuration&, time_point now);
    void perform(const pool_configuration&, const hot_key_action&, time_point now);
    void reportLoad(time_point now);
    void acceptReport(const load_report&, const std::string& pool, time_point now);
    void requestMove(const std::string& pool, const proposed_move&, time_point now);
    void movePartition(const std::string& pool, partition_index, const instance_id& target, time_point now);
    const pool_configuration* ownPool() const;

    control_context& m_context;
    page_writer& m_pages;
    takeover_driver& m_takeovers;
    move_driver& m_moves;
    instance_ref m_self;
    capacity_ramp m_capacityRamp;
    std::map<std::string, repair_schedule> m_schedules;
    std::map<std::string, pool_work> m_pools;
    load_sample m_load;
    std::uint64_t m_lastRevision = 0;
    bool m_isRepairDue = true;
    time_point m_nextRepair;
    time_point m_nextFullRepair;
    time_point m_nextBalance;
    time_point m_nextReport;
    bool m_isDraining = false;
};

} // namespace heatherdrift
