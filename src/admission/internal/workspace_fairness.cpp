#include "admission/workspace_fairness.h"

#include "admission/seconds.h"

#include <algorithm>

namespace heatherdrift {

// The tags are those of start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996): a
// workspace's tag grows by the service time charged, a workspace that returns starts at the virtual time, and the
// virtual time is the tag of the call started last. The tags alone charge a call only when it starts, at its expected
// time, so a workspace whose calls run longer than expected could collect all slots before it is charged. Hence the
// slots held come first.

void workspace_fairness::addWaiting(admission_level level, const std::string& workspace)
{
    auto& state = at(level);
    auto& entry = state.shares[workspace];
    const int slots = heldSlots(level.length, workspace);
    unlink(state, slots, workspace, entry);
    if (entry.waiting == 0)
        entry.tag = std::max(entry.tag, state.virtualTime);
    ++entry.waiting;
    link(state, slots, workspace, entry);
}

void workspace_fairness::removeWaiting(admission_level level, const std::string& workspace)
{
    auto& state = at(level);
    auto& entry = state.shares[workspace];
    const int slots = heldSlots(level.length, workspace);
    unlink(state, slots, workspace, entry);
    --entry.waiting;
    link(state, slots, workspace, entry);
    evictIdle(state);
}

const std::string* workspace_fairness::next(admission_level level) const
{
    const auto& order = at(level).order;
    return order.empty() ? nullptr : &std::get<2>(*order.begin());
}

const std::string* workspace_fairness::longestQueue(admission_level level) const
{
    const auto& queueLengths = at(level).queueLengths;
    return queueLengths.empty() ? nullptr : &queueLengths.rbegin()->second;
}

void workspace_fairness::startWaiting(admission_level level, const std::string& workspace, duration expected)
{
    auto& state = at(level);
    auto& entry = state.shares[workspace];
    unlink(state, heldSlots(level.length, workspace), workspace, entry);
    state.virtualTime = std::max(state.virtualTime, entry.tag);
    entry.tag += inSeconds(expected);
    --entry.waiting;
    link(state, heldSlots(level.length, workspace), workspace, entry);
    changeHeldSlots(level.length, workspace, 1);
    evictIdle(state);
}

void workspace_fairness::startAtOnce(call_length length, const std::string& workspace)
{
    changeHeldSlots(length, workspace, 1);
}

void workspace_fairness::finish(
    admission_level level, const std::string& workspace, call_length countedAs, duration expected, duration used)
{
    changeHeldSlots(countedAs, workspace, -1);
    auto& state = at(level);
    const auto found = state.shares.find(workspace);
    if (found == state.shares.end())
        return;
    const int slots = heldSlots(level.length, workspace);
    unlink(state, slots, workspace, found->second);
    found->second.tag += inSeconds(used - expected);
    link(state, slots, workspace, found->second);
    evictIdle(state);
}

void workspace_fairness::reclassifyAsLong(const std::string& workspace)
{
    changeHeldSlots(call_length::short_call, workspace, -1);
    changeHeldSlots(call_length::long_call, workspace, 1);
}

std::size_t workspace_fairness::workspaces(admission_level level) const { return at(level).order.size(); }

std::size_t workspace_fairness::waiting(admission_level level, const std::string& workspace) const
{
    const auto found = at(level).shares.find(workspace);
    return found == at(level).shares.end() ? 0 : found->second.waiting;
}

int workspace_fairness::heldSlots(call_length length, const std::string& workspace) const
{
    const auto& slots = m_heldSlots[static_cast<std::size_t>(length)];
    const auto found = slots.find(workspace);
    return found == slots.end() ? 0 : found->second;
}

void workspace_fairness::changeHeldSlots(call_length length, const std::string& workspace, int change)
{
    auto& slots = m_heldSlots[static_cast<std::size_t>(length)];
    const int before = heldSlots(length, workspace);
    const int after = before + change;
    for (int priority = 0; priority < priorityCount; ++priority) {
        auto& state = at({ length, priority });
        if (state.order.empty())
            continue;
        const auto found = state.shares.find(workspace);
        if (found == state.shares.end())
            continue;
        unlink(state, before, workspace, found->second);
        link(state, after, workspace, found->second);
    }
    if (after == 0)
        slots.erase(workspace);
    else
        slots[workspace] = after;
}

void workspace_fairness::link(level_state& state, int slots, const std::string& workspace, const workspace_state& entry)
{
    if (entry.waiting == 0) {
        state.idle.emplace(entry.tag, workspace);
        return;
    }
    state.order.emplace(slots, entry.tag, workspace);
    state.queueLengths.emplace(entry.waiting, workspace);
}

void workspace_fairness::unlink(
    level_state& state, int slots, const std::string& workspace, const workspace_state& entry)
{
    if (entry.waiting == 0) {
        state.idle.erase({ entry.tag, workspace });
        return;
    }
    state.order.erase({ slots, entry.tag, workspace });
    state.queueLengths.erase({ entry.waiting, workspace });
}

void workspace_fairness::evictIdle(level_state& state)
{
    // An idle workspace whose tag is not above the virtual time is equivalent to a new one. When no call waits, the
    // busy period is over and all tags can be dropped.
    while (!state.idle.empty() && (state.order.empty() || state.idle.begin()->first <= state.virtualTime)) {
        state.virtualTime = std::max(state.virtualTime, state.idle.begin()->first);
        state.shares.erase(state.idle.begin()->second);
        state.idle.erase(state.idle.begin());
    }
}

} // namespace heatherdrift
