#include "gate/slot_queue.h"

#include "admission/seconds.h"

#include <algorithm>
#include <tuple>

namespace heatherdrift {

namespace {

    constexpr double smoothingFactor = 0.05; ///< Weight of the newest service time in the moving average of its kind.
    /// Margin for the variation of service times, as a share of the expected one. Without it, a full queue would serve
    /// requests exactly at their objective on average, and half of them after it.
    constexpr double serviceTimeMargin = 0.4;
    constexpr double overtakingSmoothing = 0.1; ///< Weight of the most recently freed slot in the overtaking share.
    /// Lower bound on the share of slots for late requests: they get one occasionally even if all recent ones went to
    /// others.
    constexpr double minLateShare = 0.05;
    constexpr auto startedWorkTimeConstant = std::chrono::seconds(1); ///< Demand changes within seconds.
    constexpr std::size_t maxKinds = 256; ///< Bounds the memory; kinds come from the configuration.

    duration movingAverage(duration average, duration value)
    {
        return average + std::chrono::duration_cast<duration>((value - average) * smoothingFactor);
    }

} // namespace

slot_queue::slot_queue(const slot_queue_settings& settings)
    : m_settings(settings)
    , m_meanServiceTime(settings.initialServiceTime)
    , m_startedWork { decaying_sum(startedWorkTimeConstant), decaying_sum(startedWorkTimeConstant),
        decaying_sum(startedWorkTimeConstant), decaying_sum(startedWorkTimeConstant) }
{
    static_assert(urgencyLevels == 4);
    m_reservation.setSlots(settings.slots);
}

void slot_queue::setSlots(int slots)
{
    m_settings.slots = std::max(1, slots);
    m_reservation.setSlots(m_settings.slots);
}

duration slot_queue::serviceTime(const std::string& kind) const
{
    const auto found = m_serviceTimes.find(kind);
    return found == m_serviceTimes.end() ? m_meanServiceTime : found->second;
}

void slot_queue::updateServiceTime(const std::string& kind, duration value)
{
    m_meanServiceTime = movingAverage(m_meanServiceTime, value);
    const auto [entry, isNew] = m_serviceTimes.try_emplace(kind, value);
    if (!isNew)
        entry->second = movingAverage(entry->second, value);
    if (m_serviceTimes.size() > maxKinds)
        m_serviceTimes.clear();
}

bool slot_queue::canStart(const queued_request& request) const
{
    return m_reservation.mayStart(request.callHeight) && startDelay(0) <= duration::zero();
}

duration slot_queue::expectedWaitBehind(std::size_t ahead) const
{
    const auto slots = static_cast<std::size_t>(m_settings.slots);
    if (m_running.size() + ahead < slots)
        return startDelay(ahead);
    // Slots become free at even intervals of a service time divided by the number of slots.
    const auto slotsNeeded = static_cast<double>(m_running.size() + ahead - slots + 1);
    const auto forSlot
        = std::chrono::duration_cast<duration>(m_meanServiceTime * (slotsNeeded / static_cast<double>(slots)));
    return std::max(forSlot, startDelay(ahead));
}

duration slot_queue::expectedWaitBehind(const std::vector<waiting_share>& ahead, int callHeight) const
{
    return m_settings.ranksByCaller ? rankedWait(ahead, callHeight) : expectedWaitBehind(ahead.size());
}

duration slot_queue::rankedWait(const std::vector<waiting_share>& ahead, int callHeight) const
{
    duration wait {};
    for (int level = 0; level <= m_reservation.levelOf(callHeight); ++level) {
        const int slots = m_reservation.slotsFor(level);
        int count = 0;
        duration work {};
        const auto add = [&](int height, duration serviceTime) {
            if (m_reservation.levelOf(height) < level)
                return;
            ++count;
            work += serviceTime;
        };
        for (const auto& [id, request] : m_running)
            add(request.callHeight, serviceTime(request.kind));
        for (const auto& request : ahead)
            add(request.callHeight, request.serviceTime);
        if (count >= slots)
            wait = std::max(wait, work / count * (count - slots + 1) / slots);
    }
    return std::max(wait, startDelay(ahead.size()));
}

double slot_queue::shareLeftTo(int priority) const
{
    if (!m_settings.ranksByCaller)
        return 1;
    double taken = 0;
    for (std::size_t level = 0; level < urgencyLevel(priority); ++level)
        taken += m_startedWork[level].rate(m_lastStartAt) / m_settings.slots;
    return std::max(1 - taken, minLateShare);
}

duration slot_queue::expectedWait() const { return expectedWaitBehind(m_waiting.size()); }

duration slot_queue::expectedWait(int priority) const
{
    if (m_settings.ranksByCaller) {
        std::vector<waiting_share> ahead;
        for (const auto& request : m_waiting) {
            if (request.priority <= priority)
                ahead.push_back({ request.callHeight, serviceTime(request.kind) });
        }
        return std::chrono::duration_cast<duration>(rankedWait(ahead, 0) / shareLeftTo(priority));
    }
    return expectedWaitBehind(static_cast<std::size_t>(std::ranges::count_if(
        m_waiting, [&](const auto& request) { return request.isNested || request.priority <= priority; })));
}

double slot_queue::load() const { return static_cast<double>(m_running.size() + m_waiting.size()) / m_settings.slots; }

bool slot_queue::isLate(const queued_request& request, time_point now) const
{
    return now + serviceTime(request.kind) > request.objective;
}

bool slot_queue::mayBeOvertaken(const queued_request& request) const
{
    return !request.isReturn && (m_settings.ranksByCaller || !request.isNested);
}

bool slot_queue::precedes(const queued_request& left, const queued_request& right, time_point now) const
{
    const auto rank = [&](const queued_request& request) {
        // An earlier refusal has made a return late. It took no more than the share of the capacity kept for returns.
        const bool isAfterObjective = !request.isReturn && isLate(request, now);
        const int isOther = request.isNested ? 0 : 1;
        return std::tuple(m_settings.ranksByCaller ? request.priority : isOther,
            m_settings.ranksByCaller ? isOther : request.priority, !request.isReturn, isAfterObjective,
            isAfterObjective ? request.deadline : request.objective, request.id);
    };
    return rank(left) < rank(right);
}

std::vector<slot_queue::waiting_share> slot_queue::waitingAhead(const queued_request& request, time_point now) const
{
    std::vector<waiting_share> ahead;
    for (const auto& other : m_waiting) {
        if (precedes(other, request, now))
            ahead.push_back({ other.callHeight, serviceTime(other.kind) });
    }
    addExpectedReturns(request, ahead, now);
    return ahead;
}

void slot_queue::addExpectedReturns(
    const queued_request& request, std::vector<waiting_share>& ahead, time_point now) const
{
    if (!m_expectedReturns || request.isReturn || request.isNested)
        return;
    const auto queued = ahead.size();
    // More returns are due within the wait for the first ones; a longer wait than this one is not worth it anyway.
    constexpr int rounds = 4;
    for (int round = 0; round < rounds; ++round) {
        const auto start = now + expectedWaitBehind(ahead, request.callHeight);
        const auto due = queued + m_expectedReturns(request.priority, start);
        if (due <= ahead.size())
            return;
        ahead.resize(due, { 0, m_meanServiceTime });
    }
}

std::size_t slot_queue::rankOf(const queued_request& request, time_point now) const
{
    if (request.isNested && !m_settings.ranksByCaller)
        return 0;
    return 1 + 2 * urgencyLevel(request.priority) + (!request.isReturn && isLate(request, now) ? 1U : 0U);
}

time_point slot_queue::expectedLimitedEnd(
    const queued_request& request, std::size_t ahead, std::size_t rank, time_point now) const
{
    return now + m_overtaking.expectedWait(expectedWaitBehind(ahead), rank) + serviceTime(request.kind);
}

/// Unlike slots, starts are known to become free at a given rate, so that the share of the more urgent requests decides
/// which ones are worth queuing. The others would wait until their deadline and then be refused.
bool slot_queue::isWorthWaitingForStart(const queued_request& request, time_point now) const
{
    const auto ahead = waitingAhead(request, now).size();
    const auto needed = serviceTime(request.kind);
    const auto rank = rankOf(request, now);
    if (!isLate(request, now)
        && expectedLimitedEnd(request, ahead, rank, now)
                + std::chrono::duration_cast<duration>(needed * serviceTimeMargin)
            <= request.objective)
        return true;
    const auto lateRank = !mayBeOvertaken(request) || isLate(request, now) ? rank : rank + 1;
    return expectedLimitedEnd(request, ahead, lateRank, now) + needed / 2 <= request.deadline;
}

bool slot_queue::isUnservable(
    const queued_request& request, const std::vector<waiting_share>& ahead, time_point now) const
{
    const auto needed = serviceTime(request.kind);
    if (now + needed / 2 > request.deadline)
        return true;
    if (isRateLimited())
        return expectedLimitedEnd(request, ahead.size(), rankOf(request, now), now) - needed / 2 > request.deadline;
    return mayBeOvertaken(request) && isLate(request, now)
        && expectedLateEnd(request, expectedWaitBehind(ahead, request.callHeight), now) - needed / 2 > request.deadline;
}

void slot_queue::recordOvertaking(const queued_request& next, time_point now)
{
    if (isRateLimited()) {
        std::bitset<overtaking_shares::ranks> waiting;
        for (const auto& request : m_waiting)
            waiting.set(rankOf(request, now));
        return m_overtaking.record(rankOf(next, now), waiting);
    }
    const bool isOvertaking = next.isReturn || !isLate(next, now);
    const bool isLateWaiting = std::ranges::any_of(
        m_waiting, [&](const auto& request) { return isLate(request, now) && mayBeOvertaken(request); });
    if (isLateWaiting)
        m_overtakingShare += ((isOvertaking ? 1 : 0) - m_overtakingShare) * overtakingSmoothing;
}

bool slot_queue::isWorthWaiting(const queued_request& request, time_point now) const
{
    if (isRateLimited())
        return isWorthWaitingForStart(request, now);
    const auto needed = serviceTime(request.kind);
    const auto wait = expectedWaitBehind(waitingAhead(request, now), request.callHeight);
    // The capacity was kept for it, and nothing of its priority overtakes it.
    if (request.isReturn)
        return now + std::chrono::duration_cast<duration>(wait / shareLeftTo(request.priority)) + needed
            <= request.deadline;
    const auto end = now + std::chrono::duration_cast<duration>(wait / shareLeftTo(request.priority)) + needed;
    if (end + std::chrono::duration_cast<duration>(needed * serviceTimeMargin) <= request.objective)
        return true;
    if (request.isNested) {
        // Calls of one rank are ordered by their objectives like others, and are refused while another server can be
        // tried.
        const auto lateEnd = m_settings.ranksByCaller ? expectedLateEnd(request, wait, now) : end;
        return std::max(end, lateEnd) + needed / 2 <= request.deadline;
    }
    // Requests that can meet their objective overtake this one, so it is queued only if the queue is short.
    const bool isQueueShort = m_waiting.size() < static_cast<std::size_t>(m_settings.slots);
    return isQueueShort && expectedLateEnd(request, wait, now) + needed / 2 <= request.deadline;
}

time_point slot_queue::expectedLateEnd(const queued_request& request, duration waitBehind, time_point now) const
{
    const double share = std::max(1 - m_overtakingShare, minLateShare);
    return now + std::chrono::duration_cast<duration>(waitBehind / share) + serviceTime(request.kind);
}

void slot_queue::start(const queued_request& request, time_point now)
{
    m_running[request.id] = { request.kind, now, request.callHeight };
    m_reservation.onStarted(request.callHeight);
    m_startedWork[urgencyLevel(request.priority)].add(inSeconds(serviceTime(request.kind)), now);
    m_lastStartAt = now;
}

queue_decision slot_queue::submit(const queued_request& request, time_point now)
{
    if (m_settings.ranksByCaller && request.isNested)
        m_reservation.enable();
    // Shares of an earlier limited time say nothing about the next one.
    if (!isRateLimited())
        m_overtaking = {};
    const bool isOthersTurn = m_settings.ranksByCaller
        ? std::ranges::any_of(m_waiting, [&](const auto& other) { return canStart(other); })
        : !m_waiting.empty();
    if (!isOthersTurn && canStart(request)) {
        start(request, now);
        return queue_decision::run;
    }
    if (!isWorthWaiting(request, now))
        return queue_decision::refuse;
    m_waiting.push_back(request);
    return queue_decision::wait;
}

void slot_queue::finish(request_number id, std::optional<duration> serviceTime)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    if (serviceTime)
        updateServiceTime(found->second.kind, *serviceTime);
    m_reservation.onEnded(found->second.callHeight);
    m_running.erase(found);
}

bool slot_queue::cancel(request_number id)
{
    return std::erase_if(m_waiting, [&](const auto& request) { return request.id == id; }) > 0;
}

std::vector<request_number> slot_queue::takeUnservable(time_point now)
{
    std::ranges::sort(m_waiting, [&](const auto& left, const auto& right) { return precedes(left, right, now); });
    std::vector<request_number> out;
    std::vector<waiting_share> ahead;
    std::erase_if(m_waiting, [&](const auto& request) {
        if (!isUnservable(request, ahead, now)) {
            ahead.push_back({ request.callHeight, serviceTime(request.kind) });
            return false;
        }
        out.push_back(request.id);
        return true;
    });
    return out;
}

std::optional<request_number> slot_queue::takeNext(time_point now)
{
    const queued_request* next = nullptr;
    for (const auto& request : m_waiting) {
        if (canStart(request) && (!next || precedes(request, *next, now)))
            next = &request;
    }
    if (!next)
        return std::nullopt;
    recordOvertaking(*next, now);
    const request_number id = next->id;
    start(*next, now);
    cancel(id);
    return id;
}

} // namespace heatherdrift
