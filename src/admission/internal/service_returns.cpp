#include "admission/service_returns.h"

#include "admission/seconds.h"

namespace heatherdrift {

namespace {

    /// Long enough for some tens of requests at 10 to 20 per second.
    constexpr auto timeConstant = std::chrono::seconds(3);
    constexpr std::size_t maxServices = 64; ///< Those of the configuration; bounds the memory.
    constexpr auto forgottenAfter = std::chrono::minutes(1); ///< A service without requests.

    /// Part of the requests that are served for this node which may be returns that other nodes have told a time: what
    /// those assign, and some more for the variation of short times.
    constexpr double othersShare = 0.2;
    /// A caller that was told no time it can keep returns after a third of its remaining time. Those that return
    /// clearly earlier were told a time.
    constexpr double waitShare = 0.32;

    void add(return_counts& sum, const return_counts& counts)
    {
        sum.assigned += counts.assigned;
        sum.onTime += counts.onTime;
        sum.refusedTwice += counts.refusedTwice;
    }

} // namespace

service_returns::service_state::service_state()
    : served(timeConstant)
    , serviceTime(timeConstant)
    , others(timeConstant)
{
}

service_returns::service_state* service_returns::find(const std::string& service, time_point now)
{
    if (!m_services.contains(service) && m_services.size() >= maxServices) {
        std::erase_if(m_services, [&](const auto& entry) {
            if (now - entry.second.lastAt <= forgottenAfter)
                return false;
            add(m_earlier, entry.second.schedule.counts());
            return true;
        });
        if (m_services.size() >= maxServices)
            return nullptr;
    }
    auto& state = m_services[service];
    state.lastAt = now;
    return &state;
}

return_kind service_returns::recognise(
    const std::string& service, const return_request& request, duration age, time_point now)
{
    auto* state = find(service, now);
    if (!state)
        return return_kind::none;
    const auto kind = state->schedule.recognise(request, now);
    // The deadline may be that of another caller, which this node has told no time.
    const bool isDecided = kind == return_kind::on_time || age <= duration::zero();
    return isDecided ? kind : recogniseByAge(*state, request, age, now);
}

// The limit keeps callers whose timeouts are always short from going before all others.
return_kind service_returns::recogniseByAge(
    service_state& state, const return_request& request, duration age, time_point now)
{
    const double remaining = inSeconds(request.deadline - now);
    const bool isEarly = inSeconds(age) < waitShare * (remaining + inSeconds(age));
    if (!isEarly || state.others.rate(now) >= othersShare * state.served.rate(now))
        return return_kind::untimely;
    state.others.add(1, now);
    return return_kind::on_time;
}

void service_returns::recordServed(const std::string& service, duration serviceTime, time_point now)
{
    if (auto* state = find(service, now)) {
        state->served.add(1, now);
        state->serviceTime.add(inSeconds(serviceTime), now);
    }
}

std::optional<return_time> service_returns::refuse(
    const std::string& service, const return_request& request, return_kind kind, duration backlog, time_point now)
{
    auto* state = find(service, now);
    if (!state)
        return std::nullopt;
    if (kind != return_kind::none) {
        state->schedule.recordSecondRefusal();
        return std::nullopt;
    }
    const return_capacity capacity { state->served.rate(now), backlog, fromSeconds(state->serviceTime.value(0, now)) };
    return state->schedule.refuse(request, capacity, now);
}

return_counts service_returns::counts() const
{
    auto sum = m_earlier;
    for (const auto& [service, state] : m_services)
        add(sum, state.schedule.counts());
    return sum;
}

} // namespace heatherdrift
