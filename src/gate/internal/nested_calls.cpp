#include "gate/nested_calls.h"

#include <algorithm>
#include <cmath>

namespace heatherdrift {

namespace {

    constexpr auto statusLifetime = std::chrono::milliseconds(50); ///< Far less than the age of the statuses.
    constexpr auto minRetryAfter = std::chrono::milliseconds(100);
    constexpr auto maxRetryAfter = std::chrono::seconds(5); ///< Capacity may have returned by then.
    /// A service that an execution calls less often than this does not decide alone that it is hopeless.
    constexpr double minCallsToExhaust = 0.5;
    constexpr std::size_t maxServices = 64;

} // namespace

nested_calls::nested_calls(bool isEnabled, status_function statuses)
    : m_isEnabled(isEnabled)
    , m_statuses(std::move(statuses))
{
}

const std::vector<reported_status>& nested_calls::statusesOf(const std::string& service, time_point now)
{
    if (m_known.size() >= maxServices && !m_known.contains(service))
        m_known.clear();
    const auto [entry, isNew] = m_known.try_emplace(service);
    auto& known = entry->second;
    if (m_statuses && (isNew || now >= known.at + statusLifetime))
        known = { m_statuses(service, now), now };
    return known.statuses;
}

double nested_calls::lossProbability(const std::string& kind, int priority, time_point now) const
{
    double success = 1;
    for (const auto& call : m_graph.callsOf(kind, priority, now))
        success *= std::pow(1 - call.refusedShare, call.perExecution);
    return 1 - success;
}

nested_calls::service_capacity nested_calls::leastCapacity(
    const std::vector<called_route>& calls, int priority, time_point now)
{
    service_capacity least;
    for (const auto& call : calls) {
        auto capacity = assessCapacity(statusesOf(call.service, now), priority, call.timeLeft);
        if (!capacity)
            continue;
        capacity->pressure *= std::min(call.perExecution, 1.0);
        capacity->isExhausted = capacity->isExhausted && call.perExecution >= minCallsToExhaust;
        const auto& known = least.capacity;
        if (known && !capacity->isExhausted && (known->isExhausted || known->pressure >= capacity->pressure))
            continue;
        least = { capacity, call.service };
    }
    return least;
}

call_decision nested_calls::admit(const std::string& kind, int priority, time_point now)
{
    call_decision decision;
    if (!m_isEnabled)
        return decision;
    const auto calls = m_graph.callsOf(kind, priority, now);
    if (calls.empty())
        return decision;
    const auto [least, service] = leastCapacity(calls, priority, now);
    decision.service = service.empty() ? calls.front().service : service;
    const execution_class key { kind, urgencyLevel(priority) };
    if (const auto rate = m_admission.admit(key, least, now)) {
        decision.rate = *rate;
        return decision;
    }
    decision.isAdmitted = false;
    ++m_refusedExecutions;
    // While only a share is let through, those that return compete with new ones.
    const auto wait
        = std::max<duration>(least ? least->shortestWait : duration(), minRetryAfter) / m_admission.share(key, now);
    decision.retryAfter = std::min<duration>(std::chrono::duration_cast<duration>(wait), maxRetryAfter);
    return decision;
}

int nested_calls::callHeight(const std::string& kind, int depth) const
{
    // The second bound tells the calls of a cycle apart, whose heights are all the same.
    return m_isEnabled ? std::clamp(maxCallHeight - depth, 0, m_graph.height(kind)) : 0;
}

void nested_calls::onStarted(request_number id, const running_execution& execution)
{
    if (m_isEnabled)
        m_graph.onStarted(id, execution);
}

bool nested_calls::onEnded(request_number id, bool isAnswered, bool isGood, time_point now)
{
    const auto ended = m_graph.onEnded(id, isAnswered, isGood, now);
    if (!ended)
        return false;
    const auto& execution = ended->execution;
    const bool isLost = ended->hasLostCall;
    m_lostExecutions += isLost;
    if (!isGood && !isLost)
        return false;
    const auto calls = m_graph.callsOf(execution.kind, execution.priority, now);
    m_admission.onEnded({ execution.kind, urgencyLevel(execution.priority) }, execution.admittedAt, isLost,
        isLost ? lossProbability(execution.kind, execution.priority, now) : 0,
        leastCapacity(calls, execution.priority, now).capacity, now);
    return isLost;
}

void nested_calls::onCancelled(request_number id) { m_graph.onCancelled(id); }

std::optional<possible_call> nested_calls::attribute(const outgoing_call& call, time_point now) const
{
    return m_isEnabled ? m_graph.attribute(call, now) : std::nullopt;
}

void nested_calls::onCallEnded(
    const possible_call& call, call_outcome outcome, std::optional<int> height, time_point now)
{
    // Callers on the same instance send from the same address; the called gate knows which routes are nested.
    if (!height)
        return;
    m_graph.onHeight(call.route, *height, now);
    m_graph.onCallEnded(call, outcome, now);
}

} // namespace heatherdrift
