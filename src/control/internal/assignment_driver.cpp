#include "control/internal/assignment_driver.h"

#include "control/internal/wire_convert.h"
#include "telemetry/log_event.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// Planning for 16,384 partitions and 690 members takes about 2 ms per pool, so it runs only after a change or
    /// while repairs are pending, and at most once per interval.
    constexpr duration repairInterval = std::chrono::milliseconds(100);
    constexpr duration fullRepairInterval = std::chrono::seconds(10);
    constexpr duration balanceInterval = std::chrono::seconds(1);
    /// With n members in a pool, each reports every n * 65 ms, so its coordinator receives about 15 reports per second.
    /// The maximum interval is half the validity of a report.
    constexpr duration reportSpacing = std::chrono::milliseconds(65);
    constexpr duration minReportInterval = std::chrono::seconds(2);
    constexpr duration maxReportInterval = std::chrono::seconds(15);
    /// Calls that need ownership while they run can delay a move for this time; then they are cancelled.
    constexpr duration handOverTimeout = std::chrono::seconds(30);
    /// Maximum number of partitions of one page that a drain moves at once.
    constexpr std::size_t maxPartitionsPerMove = 64;

    std::vector<heavy_hitter> toHitters(const std::map<std::string, double>& keys)
    {
        std::vector<heavy_hitter> hitters;
        for (const auto& [key, load] : keys)
            hitters.push_back({ key, load, 0 });
        std::ranges::sort(hitters, std::ranges::greater {}, &heavy_hitter::load);
        return hitters;
    }

} // namespace

assignment_driver::assignment_driver(
    control_context& context, page_writer& pages, takeover_driver& takeovers, move_driver& moves, instance_ref self)
    : m_context(context)
    , m_pages(pages)
    , m_takeovers(takeovers)
    , m_moves(moves)
    , m_self(std::move(self))
{
}

ramp_function assignment_driver::rampAt(time_point now) const
{
    return [this, now](const instance_ref& member) { return m_capacityRamp.ramp(member, now); };
}

const pool_configuration* assignment_driver::ownPool() const
{
    const auto* own = m_context.view.findMember(m_self.id);
    return own && own->row.self == m_self ? m_context.view.poolOf(own->row) : nullptr;
}

void assignment_driver::tick(time_point now)
{
    const auto& current = m_context.view.current();
    if (!current)
        return;
    if (m_context.view.revision() != m_lastRevision) {
        m_lastRevision = m_context.view.revision();
        m_capacityRamp.onMembers(m_context.view.members(), now);
        m_isRepairDue = true;
    }
    if (now >= m_nextRepair && (m_isRepairDue || now >= m_nextFullRepair)) {
        m_nextRepair = now + repairInterval;
        m_nextFullRepair = now + fullRepairInterval;
        m_isRepairDue = false;
        for (const auto& pool : current->pools) {
            const bool isRepairPending = repair(pool, now);
            const bool isHandOverPending = handOverMisplaced(pool, now);
            m_isRepairDue = m_isRepairDue || isRepairPending || isHandOverPending;
        }
    }
    if (now >= m_nextBalance) {
        m_nextBalance = now + balanceInterval;
        for (const auto& pool : current->pools) {
            balance(pool, now);
            handleHotKeys(pool, now);
        }
    }
    if (now >= m_nextReport)
        reportLoad(now);
}

bool assignment_driver::isCoordinator(
    const std::string& pool, std::uint32_t page, const std::vector<pool_member>& eligible) const
{
    const auto* coordinator = coordinatorOf(pool, page, eligible);
    return coordinator && coordinator->self == m_self;
}

bool assignment_driver::hasLostOwner(const versioned_page& page) const
{
    return std::ranges::any_of(
        page.row.entries, [&](const page_entry& entry) { return m_takeovers.isReassigning(entry.owner); });
}

bool assignment_driver::isComplete(const pool_configuration& pool) const
{
    std::uint32_t assigned = 0;
    m_context.view.partitions().forEach(pool.name, [&](const partition_view& view) {
        if (view.number > 0 && !isHotPartition(view.index))
            ++assigned;
    });
    return assigned >= pool.partitions;
}

bool assignment_driver::repair(const pool_configuration& pool, time_point now)
{
    // On the first assignment of a pool no member is warmed up, so capacity ramps are not used: with them the member
    // that was seen first would get most of the partitions.
    const auto eligible = m_context.view.eligible(pool, isComplete(pool) ? rampAt(now) : ramp_function());
    if (eligible.empty())
        return false;
    auto& schedule = m_schedules[pool.name];
    const auto& work = m_pools[pool.name];
    const auto loads = [&](partition_index partition) { return work.balancing.loadOf(partition); };
    const auto steps = planRepair(pool, m_context.view.partitions(), m_context.view.members(), eligible, loads);
    for (const auto& step : steps) {
        if (m_pages.isBusy(pool.name, step.page))
            continue;
        const auto page = m_context.view.partitions().page(pool.name, step.page).value_or(absentPage(pool, step.page));
        const bool isTakenOver = hasLostOwner(page);
        if (!isTakenOver && !isCoordinator(pool.name, step.page, eligible))
            continue;
        if (!isTakenOver && schedule.repairAt(page, m_context.view.members(), now) > now)
            continue;
        write(pool, step);
    }
    return !steps.empty();
}

void assignment_driver::write(const pool_configuration& pool, const placement_step& step)
{
    const auto page = m_context.view.partitions().page(pool.name, step.page).value_or(absentPage(pool, step.page));
    const auto edit = assignOrphans(page, step.assignments, m_context.view.members(), m_context.newOperationId());
    if (edit.has_error())
        return;
    m_pages.commit(edit.value(), [this, pool = pool.name, step](bool isApplied) {
        if (!isApplied)
            return;
        m_schedules[pool].onRepaired(pool, step.page);
        logEvent(log_event::partitions_assigned,
            { { "pool", pool }, { "page", std::to_string(step.page) },
                { "partitions", std::to_string(step.assignments.size()) } });
    });
}

bool assignment_driver::handOverMisplaced(const pool_configuration& pool, time_point now)
{
    const auto* chosen = ownPool();
    const auto* own = m_context.view.findMember(m_self.id);
    const bool isDrained = m_isDraining || (own && m_context.view.isDrainedByLabel(own->row));
    if (!isDrained && chosen && chosen->name == pool.name)
        return false;
    if (m_context.view.partitions().ownedBy(pool.name, m_self).empty())
        return false;
    const auto eligible = m_context.view.eligible(pool, rampAt(now));
    for (auto step : planDrain(pool, m_context.view.partitions(), m_self, eligible)) {
        if (step.assignments.size() > maxPartitionsPerMove)
            step.assignments.resize(maxPartitionsPerMove);
        m_moves.begin(pool.name, std::move(step.assignments), now + handOverTimeout);
    }
    return true;
}

bool assignment_driver::ownsNothing() const
{
    const auto& current = m_context.view.current();
    return !current || std::ranges::all_of(current->pools, [&](const auto& pool) {
        return m_context.view.partitions().ownedBy(pool.name, m_self).empty();
    });
}

void assignment_driver::balance(const pool_configuration& pool, time_point now)
{
    const auto eligible = m_context.view.eligible(pool, rampAt(now));
    if (!isCoordinator(pool.name, 0, eligible))
        return;
    auto& work = m_pools[pool.name];
    for (const auto& move : work.balancing.propose(pool, m_context.view.partitions(), eligible, now))
        requestMove(pool.name, move, now);
}

void assignment_driver::requestMove(const std::string& pool, const proposed_move& move, time_point now)
{
    if (move.from == m_self)
        return movePartition(pool, move.partition, move.to.id, now);
    wire::MoveRequest request;
    request.__set_pool(pool);
    request.__set_partition(static_cast<std::int32_t>(move.partition));
    request.__set_target(toWire(move.to));
    wire::Message message;
    message.__set_moveRequest(request);
    m_context.send(move.from, message);
}

void assignment_driver::movePartition(
    const std::string& pool, partition_index partition, const instance_id& target, time_point now)
{
    const auto found = m_context.view.partitions().find(pool, partition);
    if (!found || !found->isOwnedBy(m_self) || target == m_self.id)
        return;
    m_moves.begin(pool, { { partition, target } }, now + handOverTimeout);
}

void assignment_driver::onLoad(const load_sample& sample, time_point)
{
    m_load = sample;
    if (const auto* pool = ownPool())
        m_pools[pool->name].keys = sample.keys;
}

void assignment_driver::reportLoad(time_point now)
{
    const auto* pool = ownPool();
    m_nextReport = now + minReportInterval;
    if (!pool)
        return;
    const auto eligible = m_context.view.eligible(*pool, rampAt(now));
    const auto spaced = reportSpacing * static_cast<duration::rep>(eligible.size());
    m_nextReport = now + std::clamp(spaced, minReportInterval, maxReportInterval);
    const auto* coordinator = coordinatorOf(pool->name, 0, eligible);
    if (!coordinator)
        return;
    if (coordinator->self == m_self)
        return acceptReport({ m_self, m_load.busySlots, m_load.partitions }, pool->name, now);
    wire::LoadReport report;
    report.__set_sender(toWire(m_self));
    report.__set_pool(pool->name);
    report.__set_busySlots(m_load.busySlots);
    for (const auto& [partition, load] : m_load.partitions) {
        wire::PartitionLoad entry;
        entry.__set_partition(static_cast<std::int32_t>(partition));
        entry.__set_busySlots(load);
        report.hottest.push_back(entry);
    }
    report.__set_hottest(report.hottest);
    wire::Message message;
    message.__set_loadReport(report);
    m_context.send(coordinator->self, message);
}

void assignment_driver::acceptReport(const load_report& report, const std::string& pool, time_point now)
{
    const auto* poolConfiguration = m_context.view.current() ? m_context.view.current()->findPool(pool) : nullptr;
    if (!poolConfiguration)
        return;
    auto& work = m_pools[pool];
    work.balancing.onReport(report, *poolConfiguration, m_context.view.partitions(), now);
    const auto members = m_context.view.eligible(*poolConfiguration, rampAt(now)).size();
    // Exponential moving average over the members' reports; each report has the weight 1 / members.
    const double weight = 1.0 / static_cast<double>(std::max<std::size_t>(members, 1));
    work.meanLoad = work.meanLoad == 0 ? report.load : work.meanLoad + weight * (report.load - work.meanLoad);
}

bool assignment_driver::onMessage(const instance_ref& sender, const wire::Message& message)
{
    const auto now = m_context.now();
    if (message.__isset.loadReport) {
        const auto& report = message.loadReport;
        load_report value { sender, report.busySlots, {} };
        for (const auto& entry : report.hottest)
            value.hottest[static_cast<partition_index>(entry.partition)] = entry.busySlots;
        acceptReport(value, report.pool, now);
        wire::PoolLoad answer;
        answer.__set_pool(report.pool);
        answer.__set_meanBusySlots(m_pools[report.pool].meanLoad);
        wire::Message reply;
        reply.__set_poolLoad(answer);
        m_context.send(sender, reply);
    } else if (message.__isset.poolLoad) {
        m_pools[message.poolLoad.pool].meanLoad = message.poolLoad.meanBusySlots;
    } else if (message.__isset.moveRequest) {
        const auto& request = message.moveRequest;
        movePartition(request.pool, static_cast<partition_index>(request.partition), request.target.id, now);
    } else {
        return false;
    }
    return true;
}

void assignment_driver::handleHotKeys(const pool_configuration& pool, time_point now)
{
    auto& work = m_pools[pool.name];
    for (const auto& action :
        work.hotKeys.decide(pool, m_context.view.partitions(), m_self, toHitters(work.keys), work.meanLoad, now))
        perform(pool, action, now);
}

void assignment_driver::perform(const pool_configuration& pool, const hot_key_action& action, time_point now)
{
    if (action.what == hot_key_action::kind::move_to_ordinary_owner)
        return movePartition(pool.name, action.partition, action.target, now);
    const auto& partitions = m_context.view.partitions();
    const auto number = pageOf(partitionOf(action.key, pool.partitions));
    const auto ordinary = partitions.page(pool.name, number);
    const auto hot = partitions.page(pool.name, hotPageNumber).value_or(absentPage(pool, hotPageNumber));
    if (!ordinary || m_pages.isBusy(pool.name, number) || m_pages.isBusy(pool.name, hotPageNumber))
        return;
    const bool isIsolation = action.what == hot_key_action::kind::isolate;
    const auto edit = isIsolation
        ? isolateKey(pool, *ordinary, hot, m_self, action.key, m_context.view.members(), m_context.newOperationId())
        : returnKey(pool, *ordinary, hot, m_self, action.key, m_context.view.members(), m_context.newOperationId());
    if (edit.has_error())
        return;
    m_pages.commit(edit.value(), [pool = pool.name, isIsolation](bool isApplied) {
        if (isApplied && isIsolation)
            logEvent(log_event::hot_key_isolated, { { "pool", pool } });
    });
}

} // namespace heatherdrift
