#include "gate/call_graph.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// A call's deadline is later than its parent's by less than this: backend servers round the time that is left.
    constexpr auto deadlineTolerance = std::chrono::milliseconds(10);
    /// A call that uses all of its parent's time expires this much before it at most.
    constexpr auto sameDeadlineWindow = std::chrono::milliseconds(30);
    constexpr double sameDeadlineWeight = 20; ///< Few other requests have the same deadline by chance.
    constexpr double priorCalls = 0.5; ///< Expected calls of a kind of which nothing is known.
    constexpr double priorExecutions = 5; ///< Weight of that expectation.
    constexpr double minWeight = 0.005; ///< A kind may make more calls than it did until now.
    /// Counts are halved at this number, so that a changed kind is known after as many executions.
    constexpr double maxExecutions = 200;
    constexpr double minExecutions = 5;
    /// A call that is made less often than once in ten executions may be one of another kind that ran at the same time.
    constexpr double minCallsPerExecution = 0.1;
    constexpr auto refusalLifetime = std::chrono::seconds(2); ///< An execution ends sooner after it has lost a call.
    constexpr std::size_t maxRefusedCalls = 256;
    constexpr double timeLeftSmoothing = 0.05;
    constexpr auto refusalTimeConstant = std::chrono::seconds(2);
    /// Gates learn heights at different times. A lower one counts if no gate has reported the higher one for so long.
    constexpr auto heightLifetime = std::chrono::seconds(30);
    constexpr std::size_t maxKinds = 256; ///< Bounds the memory; kinds come from the configuration.

} // namespace

call_graph::learned_route::learned_route()
    : refused { decaying_average(refusalTimeConstant), decaying_average(refusalTimeConstant),
        decaying_average(refusalTimeConstant), decaying_average(refusalTimeConstant) }
{
    static_assert(urgencyLevels == 4);
}

call_graph::learned_route& call_graph::routeOf(const std::string& route)
{
    if (m_routes.size() >= maxKinds && !m_routes.contains(route))
        m_routes.clear();
    return m_routes[route];
}

void call_graph::onStarted(request_number id, const running_execution& execution) { m_running[id] = { execution, {} }; }

std::optional<ended_execution> call_graph::onEnded(request_number id, bool isAnswered, bool isGood, time_point now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return std::nullopt;
    const auto entry = std::move(found->second);
    m_running.erase(found);
    if (isAnswered) {
        if (m_kinds.size() >= maxKinds && !m_kinds.contains(entry.execution.kind))
            m_kinds.clear();
        auto& kind = m_kinds[entry.execution.kind];
        if (kind.executions >= maxExecutions) {
            kind.executions /= 2;
            for (auto& [route, calls] : kind.calls)
                calls /= 2;
        }
        ++kind.executions;
        for (const auto& [route, calls] : entry.calls)
            kind.calls[route] += calls;
        if (kind.calls.size() > maxKinds)
            kind.calls.clear();
    }
    return ended_execution { entry.execution, !isGood && takeRefusedCall(id, now) };
}

/// An execution that lost a call ends soon, so each refused call explains the first bad end among its parents.
bool call_graph::takeRefusedCall(request_number id, time_point now)
{
    while (!m_refusedCalls.empty() && now > m_refusedCalls.front().at + refusalLifetime)
        m_refusedCalls.pop_front();
    const auto found = std::ranges::find_if(m_refusedCalls, [&](const auto& call) {
        return std::ranges::any_of(call.parents, [&](const auto& parent) { return parent.id == id; });
    });
    if (found == m_refusedCalls.end())
        return false;
    m_refusedCalls.erase(found);
    return true;
}

double call_graph::expectedCalls(const std::string& kind, const std::string& route) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end())
        return priorCalls;
    const auto calls = found->second.calls.find(route);
    const double seen = calls == found->second.calls.end() ? 0 : calls->second;
    return (seen + priorCalls * priorExecutions) / (found->second.executions + priorExecutions);
}

double call_graph::weightOf(const running_entry& entry, const possible_parent& parent, const std::string& route) const
{
    // Squared, since kinds that only run at the same time would otherwise keep a share of the calls for minutes.
    const double expected = expectedCalls(entry.execution.kind, route);
    return std::max(expected * expected, minWeight) * parent.evidence;
}

std::optional<possible_call> call_graph::attribute(const outgoing_call& outgoing, time_point now) const
{
    const auto& [route, service, objective, deadline] = outgoing;
    possible_call call { route, service, {}, {}, std::min(objective, deadline.value_or(objective)) - now };
    std::map<int, double> weightByPriority;
    for (const auto& [id, entry] : m_running) {
        const auto parentDeadline = entry.execution.deadline;
        if (deadline && *deadline > parentDeadline + deadlineTolerance)
            continue;
        const bool isSame = deadline && *deadline >= parentDeadline - sameDeadlineWindow;
        call.parents.push_back({ id, isSame ? sameDeadlineWeight : 1 });
        weightByPriority[entry.execution.priority] += weightOf(entry, call.parents.back(), route);
    }
    if (call.parents.empty())
        return std::nullopt;
    // The likely priority matters, not the likely request: requests of one priority are served alike.
    const auto priority
        = std::ranges::max_element(weightByPriority, {}, [](const auto& entry) { return entry.second; });
    double largest = 0;
    for (const auto& parent : call.parents) {
        const auto& entry = m_running.at(parent.id);
        const double weight = weightOf(entry, parent, route);
        if (entry.execution.priority != priority->first || weight <= largest)
            continue;
        largest = weight;
        call.parent = entry.execution;
    }
    return call;
}

void call_graph::onCallEnded(const possible_call& call, call_outcome outcome, time_point now)
{
    auto& learned = routeOf(call.route);
    learned.service = call.service;
    if (learned.timeLeft == duration::zero())
        learned.timeLeft = call.timeLeft;
    learned.timeLeft += std::chrono::duration_cast<duration>((call.timeLeft - learned.timeLeft) * timeLeftSmoothing);
    if (outcome != call_outcome::unknown)
        learned.refused[urgencyLevel(call.parent.priority)].add(outcome == call_outcome::refused ? 1 : 0, now);
    // A parent runs until its call is answered, so those that have ended did not make it.
    std::vector<std::pair<running_entry*, double>> weights;
    double total = 0;
    for (const auto& parent : call.parents) {
        const auto found = m_running.find(parent.id);
        if (found == m_running.end())
            continue;
        weights.emplace_back(&found->second, weightOf(found->second, parent, call.route));
        total += weights.back().second;
    }
    for (const auto& [entry, weight] : weights)
        entry->calls[call.route] += weight / total;
    if (outcome != call_outcome::refused)
        return;
    m_refusedCalls.push_back({ call.parents, now });
    if (m_refusedCalls.size() > maxRefusedCalls)
        m_refusedCalls.pop_front();
}

void call_graph::onHeight(const std::string& route, int height, time_point now)
{
    auto& learned = routeOf(route);
    height = std::clamp(height, 0, maxCallHeight);
    if (height < learned.height && now < learned.heightAt + heightLifetime)
        return;
    learned.height = height;
    learned.heightAt = now;
}

std::vector<called_route> call_graph::callsOf(const std::string& kind, int priority, time_point now) const
{
    std::vector<called_route> out;
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.executions < minExecutions)
        return out;
    for (const auto& [route, calls] : found->second.calls) {
        const double perExecution = calls / found->second.executions;
        const auto learned = m_routes.find(route);
        if (perExecution < minCallsPerExecution || learned == m_routes.end())
            continue;
        out.push_back({ route, learned->second.service, perExecution, learned->second.timeLeft,
            learned->second.refused[urgencyLevel(priority)].value(0, now) });
    }
    return out;
}

int call_graph::height(const std::string& kind) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.executions < minExecutions)
        return 0;
    int height = 0;
    for (const auto& [route, calls] : found->second.calls) {
        const auto learned = m_routes.find(route);
        if (calls / found->second.executions >= minCallsPerExecution && learned != m_routes.end())
            height = std::max(height, learned->second.height + 1);
    }
    return std::min(height, maxCallHeight);
}

} // namespace heatherdrift
