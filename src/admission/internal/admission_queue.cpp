#include "admission/admission_queue.h"

#include "admission/internal/waiting_calls.h"
#include "admission/seconds.h"
#include "admission/short_reserve.h"

#include <algorithm>

namespace heatherdrift {

using namespace std::chrono_literals;

namespace {

    // Long enough to average over many short calls, short enough to follow a change of load within a second.
    constexpr duration demandWindow = 1s;
    constexpr duration serviceTimeWindow = 2s;
    // The reserve shrinks as the measured demand decays, which frees slots for long calls without any other event.
    constexpr duration reserveCheckInterval = 100ms;

    std::size_t indexOf(call_length length) { return static_cast<std::size_t>(length); }

    time_point latestStart(const admission_request& request) { return request.deadline - request.needed; }

} // namespace

admission_queue::admission_queue(const admission_settings& settings, admission_hooks hooks)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_waiting(std::make_unique<waiting_calls>())
    , m_admitted(demandWindow)
    , m_serviceTimes { decaying_average(serviceTimeWindow), decaying_average(serviceTimeWindow) }
{
    m_settings.slots = std::max(m_settings.slots, 1);
    if (!m_hooks.reservedSlots)
        m_hooks.reservedSlots
            = [share = settings.shortShare](int slots, double demand) { return shortReserve(slots, share, demand); };
    if (!m_hooks.expectedWait)
        m_hooks.expectedWait = expectedWait;
}

admission_queue::~admission_queue() = default;

admission_actions admission_queue::submit(const admission_request& request, time_point now)
{
    admission_actions actions;
    advanceInto(actions, now);
    auto reason = reasonToRefuse(request, now);
    const bool startsAtOnce = !reason && canStartAtOnce(request.level, now);
    if (!reason && !startsAtOnce && !makeRoom(request, actions))
        reason = notRun(error_code::overloaded, "the admission queue is full");
    if (reason) {
        actions.push_back({ request.id, admission_step::refuse, std::move(reason) });
        return actions;
    }
    m_admitted.add(request.level, request.expected, now);
    if (startsAtOnce) {
        m_fairness.startAtOnce(request.level.length, request.workspace);
        run(request, actions, now);
        return actions;
    }
    m_fairness.addWaiting(request.level, request.workspace);
    m_waiting->insert(
        { request, now, std::min(latestStart(request), now + boundsFor(request.level.length).maxTimeInQueue) });
    return actions;
}

admission_actions admission_queue::finish(std::uint64_t id, time_point now)
{
    admission_actions actions;
    reclassifyOverdue(now);
    if (const auto found = m_running.find(id); found != m_running.end()) {
        const auto& call = found->second;
        const duration used = now - call.startedAt;
        m_fairness.finish(call.level, call.workspace, call.countedAs, call.expected, used);
        // From shortLimit on, the call was counted as long and used a slot of the long calls.
        const bool isShort = call.level.length == call_length::short_call;
        m_serviceTimes[indexOf(call.level.length)].add(
            inSeconds(isShort ? std::min(used, m_settings.shortLimit) : used), now);
        m_runningLong -= call.countedAs == call_length::long_call;
        m_shortEnds.erase({ call.startedAt + m_settings.shortLimit, id });
        m_running.erase(found);
    }
    advanceInto(actions, now);
    return actions;
}

bool admission_queue::cancel(std::uint64_t id)
{
    const auto call = m_waiting->remove(id);
    if (call)
        m_fairness.removeWaiting(call->request.level, call->request.workspace);
    return call.has_value();
}

admission_actions admission_queue::advance(time_point now)
{
    admission_actions actions;
    advanceInto(actions, now);
    return actions;
}

admission_actions admission_queue::setSlots(int slots, time_point now)
{
    m_settings.slots = std::max(slots, 1);
    return advance(now);
}

time_point admission_queue::nextEvent(time_point now) const
{
    time_point next = time_point::max();
    if (const auto* call = m_waiting->nextToExpire())
        next = call->expiresAt + duration(1);
    if (!m_shortEnds.empty())
        next = std::min(next, m_shortEnds.begin()->first);
    if (waiting(call_length::long_call) > 0 && static_cast<int>(m_running.size()) < m_settings.slots)
        next = std::min(next, now + reserveCheckInterval);
    return next;
}

int admission_queue::longLimit(time_point now) const
{
    // Uses the admitted demand instead of the offered one: during a load peak the offered demand exceeds the slots many
    // times, and its average would keep the reserve high for seconds after the peak.
    const int reserved = m_hooks.reservedSlots(m_settings.slots, m_admitted.demand(call_length::short_call, now));
    return std::max(m_settings.slots - reserved, 1);
}

int admission_queue::running(call_length length) const
{
    return length == call_length::long_call ? m_runningLong : static_cast<int>(m_running.size()) - m_runningLong;
}

std::size_t admission_queue::waiting(call_length length) const { return m_waiting->count(length); }

void admission_queue::advanceInto(admission_actions& actions, time_point now)
{
    reclassifyOverdue(now);
    expireWaiting(actions, now);
    startWaiting(actions, now);
}

void admission_queue::reclassifyOverdue(time_point now)
{
    while (!m_shortEnds.empty() && m_shortEnds.begin()->first <= now) {
        auto& call = m_running.at(m_shortEnds.begin()->second);
        call.countedAs = call_length::long_call;
        ++m_runningLong;
        m_fairness.reclassifyAsLong(call.workspace);
        const auto id = m_shortEnds.begin()->second;
        m_shortEnds.erase(m_shortEnds.begin());
        if (m_hooks.onCountedAsLong)
            m_hooks.onCountedAsLong(id, now);
    }
}

void admission_queue::expireWaiting(admission_actions& actions, time_point now)
{
    for (const auto* next = m_waiting->nextToExpire(); next && next->expiresAt < now;
         next = m_waiting->nextToExpire()) {
        const auto id = next->id();
        auto reason = latestStart(next->request) < now
            ? notRun(error_code::deadline_exceeded, "the call can no longer finish by its deadline")
            : notRun(error_code::overloaded, "the call exceeded the maximum time in the admission queue");
        cancel(id);
        actions.push_back({ id, admission_step::expire, std::move(reason) });
    }
}

void admission_queue::startWaiting(admission_actions& actions, time_point now)
{
    for (auto length = nextClass(now); length; length = nextClass(now)) {
        const auto level = *m_waiting->highest(*length);
        const auto* first = m_waiting->first(level, *m_fairness.next(level));
        const auto call = m_waiting->remove(first->id());
        m_fairness.startWaiting(level, call->request.workspace, call->request.expected);
        run(call->request, actions, now);
    }
}

std::optional<call_length> admission_queue::nextClass(time_point now) const
{
    if (static_cast<int>(m_running.size()) >= m_settings.slots)
        return std::nullopt;
    const auto shortLevel = m_waiting->highest(call_length::short_call);
    const auto longLevel = m_waiting->highest(call_length::long_call);
    if (!longLevel || !mayStartLong(now))
        return shortLevel ? std::optional(call_length::short_call) : std::nullopt;
    if (!shortLevel || isLongDue() || longLevel->priority > shortLevel->priority)
        return call_length::long_call;
    return call_length::short_call;
}

bool admission_queue::mayStartLong(time_point now) const { return m_runningLong < longLimit(now); }

// Long calls get at least one slot. With a single slot the classes take turns.
bool admission_queue::isLongDue() const
{
    return m_runningLong == 0 && (m_settings.slots > 1 || m_lastStarted == call_length::short_call);
}

bool admission_queue::canStartAtOnce(admission_level level, time_point now) const
{
    if (static_cast<int>(m_running.size()) >= m_settings.slots || waiting(level.length) > 0)
        return false;
    return level.length == call_length::short_call || mayStartLong(now);
}

std::optional<failure> admission_queue::reasonToRefuse(const admission_request& request, time_point now) const
{
    if (canStartAtOnce(request.level, now)) {
        if (now + request.expected <= request.deadline)
            return std::nullopt;
        return notRun(error_code::deadline_exceeded, "the call cannot finish by its deadline");
    }
    const auto wait = m_hooks.expectedWait(factorsFor(request, now));
    if (now + wait > latestStart(request))
        return notRun(error_code::deadline_exceeded, "the call cannot finish by its deadline after the expected wait");
    if (wait > boundsFor(request.level.length).maxExpectedWait)
        return notRun(error_code::overloaded, "the expected wait in the admission queue exceeds the limit");
    return std::nullopt;
}

wait_factors admission_queue::factorsFor(const admission_request& request, time_point now) const
{
    const auto length = request.level.length;
    const auto serviceTime = fromSeconds(averageServiceTime(length, request.expected, now));
    if (length == call_length::short_call) {
        return { .ahead = countAhead(request),
            .slots = std::max(m_settings.slots - m_runningLong, 1) * 1.0,
            .demandAbove = m_admitted.demandAbove(request.level, now),
            .serviceTime = serviceTime };
    }
    // The demand of long calls would have to be averaged over many seconds and would cause refusals for as long after a
    // load peak, so only the calls already waiting are counted.
    const double left = m_settings.slots - m_admitted.demand(call_length::short_call, now);
    return { .ahead = countAhead(request),
        .slots = std::max(std::min<double>(longLimit(now), left), 1.0),
        .demandAbove = 0,
        .serviceTime = serviceTime };
}

// Round robin among workspaces: before call number n of this workspace starts, each other workspace starts at most n
// calls.
std::size_t admission_queue::countAhead(const admission_request& request) const
{
    const auto level = request.level;
    const auto own = m_fairness.waiting(level, request.workspace);
    const auto before = m_waiting->countBefore(level, request.workspace, request.deadline);
    const auto otherWorkspaces = m_fairness.workspaces(level) - (own > 0 ? 1 : 0);
    const auto otherCalls = m_waiting->count(level) - own;
    return m_waiting->countAbove(level) + before + std::min(otherCalls, (before + 1) * otherWorkspaces);
}

// Evicts from a full queue the call with the lowest priority and, within that priority, the latest deadline of the
// workspace that has the most waiting calls, unless the new call itself would be evicted.
bool admission_queue::makeRoom(const admission_request& request, admission_actions& actions)
{
    const auto length = request.level.length;
    if (m_waiting->count(length) < boundsFor(length).maxCalls)
        return true;
    const auto lowest = m_waiting->lowest(length);
    if (!lowest || lowest->priority > request.level.priority)
        return false;
    const std::string workspace = *m_fairness.longestQueue(*lowest);
    const bool samePriority = lowest->priority == request.level.priority;
    if (samePriority && m_fairness.waiting(*lowest, request.workspace) + 1 >= m_fairness.waiting(*lowest, workspace))
        return false;
    const auto id = m_waiting->last(*lowest, workspace)->id();
    cancel(id);
    actions.push_back({ id, admission_step::refuse,
        notRun(error_code::overloaded, "evicted from the full admission queue in favour of another call") });
    return true;
}

void admission_queue::run(const admission_request& request, admission_actions& actions, time_point now)
{
    const auto length = request.level.length;
    m_running[request.id] = { request.level, request.workspace, request.expected, now, length };
    if (length == call_length::long_call)
        ++m_runningLong;
    else
        m_shortEnds.emplace(now + m_settings.shortLimit, request.id);
    m_lastStarted = length;
    actions.push_back({ request.id, admission_step::run, std::nullopt });
}

const waiting_bounds& admission_queue::boundsFor(call_length length) const
{
    return length == call_length::long_call ? m_settings.longCalls : m_settings.shortCalls;
}

double admission_queue::averageServiceTime(call_length length, duration prior, time_point now) const
{
    return m_serviceTimes[indexOf(length)].value(inSeconds(prior), now);
}

} // namespace heatherdrift
