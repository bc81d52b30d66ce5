#include "admission/customer_fairness.h"

#include "admission/seconds.h"

#include <algorithm>

namespace heatherdrift {

// The tags are those of start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996): a
// customer's tag grows by the service time charged, a customer that returns starts at the virtual time, and the virtual
// time is the tag of the call started last. The tags alone charge a call only when it starts, at its expected time, so
// a customer whose calls run longer than expected could collect all slots before it is charged. Hence the slots held
// come first.

void customer_fairness::addWaiting(admission_level level, const std::string& customer)
{
    auto& state = at(level);
    auto& entry = state.shares[customer];
    const int slots = held(level.length, customer);
    unlink(state, slots, customer, entry);
    if (entry.waiting == 0)
        entry.tag = std::max(entry.tag, state.virtualTime);
    ++entry.waiting;
    link(state, slots, customer, entry);
}

void customer_fairness::removeWaiting(admission_level level, const std::string& customer)
{
    auto& state = at(level);
    auto& entry = state.shares[customer];
    const int slots = held(level.length, customer);
    unlink(state, slots, customer, entry);
    --entry.waiting;
    link(state, slots, customer, entry);
    forgetIdle(state);
}

const std::string* customer_fairness::next(admission_level level) const
{
    const auto& order = at(level).order;
    return order.empty() ? nullptr : &std::get<2>(*order.begin());
}

const std::string* customer_fairness::longest(admission_level level) const
{
    const auto& lengths = at(level).lengths;
    return lengths.empty() ? nullptr : &lengths.rbegin()->second;
}

void customer_fairness::startWaiting(admission_level level, const std::string& customer, duration expected)
{
    auto& state = at(level);
    auto& entry = state.shares[customer];
    unlink(state, held(level.length, customer), customer, entry);
    state.virtualTime = std::max(state.virtualTime, entry.tag);
    entry.tag += inSeconds(expected);
    --entry.waiting;
    link(state, held(level.length, customer), customer, entry);
    changeHeld(level.length, customer, 1);
    forgetIdle(state);
}

void customer_fairness::startAtOnce(call_length length, const std::string& customer)
{
    changeHeld(length, customer, 1);
}

void customer_fairness::finish(
    admission_level level, const std::string& customer, call_length countedAs, duration expected, duration used)
{
    changeHeld(countedAs, customer, -1);
    auto& state = at(level);
    const auto found = state.shares.find(customer);
    if (found == state.shares.end())
        return;
    const int slots = held(level.length, customer);
    unlink(state, slots, customer, found->second);
    found->second.tag += inSeconds(used - expected);
    link(state, slots, customer, found->second);
    forgetIdle(state);
}

void customer_fairness::moveToLong(const std::string& customer)
{
    changeHeld(call_length::short_call, customer, -1);
    changeHeld(call_length::long_call, customer, 1);
}

std::size_t customer_fairness::customers(admission_level level) const { return at(level).order.size(); }

std::size_t customer_fairness::waiting(admission_level level, const std::string& customer) const
{
    const auto found = at(level).shares.find(customer);
    return found == at(level).shares.end() ? 0 : found->second.waiting;
}

int customer_fairness::held(call_length length, const std::string& customer) const
{
    const auto& slots = m_held[static_cast<std::size_t>(length)];
    const auto found = slots.find(customer);
    return found == slots.end() ? 0 : found->second;
}

void customer_fairness::changeHeld(call_length length, const std::string& customer, int change)
{
    auto& slots = m_held[static_cast<std::size_t>(length)];
    const int before = held(length, customer);
    const int after = before + change;
    for (int priority = 0; priority < priorityCount; ++priority) {
        auto& state = at({ length, priority });
        if (state.order.empty())
            continue;
        const auto found = state.shares.find(customer);
        if (found == state.shares.end())
            continue;
        unlink(state, before, customer, found->second);
        link(state, after, customer, found->second);
    }
    if (after == 0)
        slots.erase(customer);
    else
        slots[customer] = after;
}

void customer_fairness::link(level_state& state, int held, const std::string& customer, const share& entry)
{
    if (entry.waiting == 0) {
        state.idle.emplace(entry.tag, customer);
        return;
    }
    state.order.emplace(held, entry.tag, customer);
    state.lengths.emplace(entry.waiting, customer);
}

void customer_fairness::unlink(level_state& state, int held, const std::string& customer, const share& entry)
{
    if (entry.waiting == 0) {
        state.idle.erase({ entry.tag, customer });
        return;
    }
    state.order.erase({ held, entry.tag, customer });
    state.lengths.erase({ entry.waiting, customer });
}

void customer_fairness::forgetIdle(level_state& state)
{
    // An idle customer whose tag the virtual time has passed is no different from a new one. When nobody waits, the
    // busy period is over and nobody is ahead of anybody.
    while (!state.idle.empty() && (state.order.empty() || state.idle.begin()->first <= state.virtualTime)) {
        state.virtualTime = std::max(state.virtualTime, state.idle.begin()->first);
        state.shares.erase(state.idle.begin()->second);
        state.idle.erase(state.idle.begin());
    }
}

} // namespace heatherdrift
