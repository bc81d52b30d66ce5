#include "gate/call_admission.h"

#include "admission/seconds.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace heatherdrift {

namespace {

    constexpr auto rateTimeConstant = std::chrono::seconds(2);
    constexpr auto unavoidableTimeConstant = std::chrono::seconds(30); ///< Longer than a wave of the load.
    /// Share of the requests that is always let through, to learn when there is capacity again.
    constexpr double minShare = 0.05;
    constexpr double minPerSecond = 0.2;
    /// Decrease by one loss. Smaller steps follow a loss of capacity too late; larger ones waste capacity.
    constexpr double lossStep = 0.1;
    constexpr double maxLossStep = 0.2;
    constexpr double minAvoidableShare = 0.1; ///< A loss that counts for less is taken to be unavoidable.
    /// Accepted losses per execution, by urgency level. Well below 0.03, as losses until the rate has settled add to
    /// it.
    constexpr std::array<double, urgencyLevels> acceptedLosses { 0.015, 0.01, 0.005, 0.004 };
    /// From this pressure on, the called backend servers have little reserve against variations of the load.
    constexpr double fullPressure = 0.5;
    /// Below this pressure, a call that is refused has met a single backend server that is slow, cold or restarting.
    constexpr double freePressure = 0.1;
    /// Reports are up to 1.5 s old, so that only after this time without pressure losses are known to have other
    /// causes.
    constexpr auto freeTime = std::chrono::seconds(2);
    /// From this pressure on, a lower rate is expected to avoid losses. Below fullPressure, as the reports are late.
    constexpr double busyPressure = 0.2;
    /// At this share of losses, a request has a better chance elsewhere or later.
    constexpr double futileLosses = 0.6;
    constexpr double knownExecutions = 30; ///< After so many, the usual losses are known.
    constexpr double deviations = 3; ///< By which recent losses may exceed the unavoidable ones by chance.
    /// At this pressure, calls miss their objective, and later ones overtake them until they expire.
    constexpr double excessPressure = 1;
    constexpr double pressureStep = 0.05;
    constexpr auto pressureInterval = std::chrono::seconds(1); ///< Until the reports show the effect of a step.
    /// Growth per second while there is free capacity, and without reports, as a share of the requests.
    constexpr double freeGrowth = 0.1;
    constexpr double unreportedGrowth = 0.02;
    constexpr double minConfidence = 0.25;
    /// Growth by time begins so long after the last loss; before that, the rate grows by executions only.
    constexpr auto quietTime = std::chrono::seconds(3);
    constexpr auto maxUpdateInterval = std::chrono::seconds(1);
    /// A limit that is so far above the requests is dropped.
    constexpr double unlimitedFactor = 1.5;
    constexpr double maxCreditTime = 0.1; ///< Seconds of the rate that may start at once.
    constexpr std::size_t maxClasses = 512; ///< Bounds the memory; kinds come from the configuration.

    double learningRate(double offered) { return std::max(minShare * offered, minPerSecond); }

} // namespace

call_admission::class_state::class_state()
    : offered(rateTimeConstant)
    , admitted(rateTimeConstant)
    , losses(rateTimeConstant)
    , unavoidable(unavoidableTimeConstant)
{
}

void call_admission::update(
    class_state& state, const std::optional<call_capacity>& capacity, double elapsed, double accepted, time_point now)
{
    const bool isPressed = capacity && !capacity->isExhausted && capacity->pressure > excessPressure;
    if (isPressed && now >= state.pressedAt + pressureInterval) {
        state.rate = std::min(state.rate, state.admitted.rate(now)) * (1 - pressureStep);
        state.pressedAt = now;
    }
    if (state.rate == unlimited)
        return;
    const double offered = state.offered.rate(now);
    if (now >= state.lossAt + quietTime) {
        // A node with few executions has to see more of them than fit in the quiet time, unless the reports are clear.
        const double confidence = std::min(state.endedSinceLoss * accepted, 1.0);
        const double free = capacity ? std::max(1 - capacity->pressure / fullPressure, 0.0) : 0;
        const double growth = capacity ? freeGrowth * free * std::max(confidence, free * free)
                                       : unreportedGrowth * std::max(confidence, minConfidence);
        state.rate += growth * offered * elapsed;
    }
    state.rate = std::max(state.rate, learningRate(offered));
    if (state.rate > unlimitedFactor * offered)
        state.rate = unlimited;
}

std::optional<double> call_admission::admit(
    const execution_class& key, const std::optional<call_capacity>& capacity, time_point now)
{
    if (m_classes.size() >= maxClasses && !m_classes.contains(key))
        m_classes.clear();
    auto& state = m_classes[key];
    state.offered.add(1, now);
    const double elapsed = inSeconds(std::min<duration>(now - std::exchange(state.updatedAt, now), maxUpdateInterval));
    update(state, capacity, elapsed, acceptedLosses[std::min(key.level, urgencyLevels - 1)], now);
    const bool isExhausted = capacity && capacity->isExhausted;
    const double rate = isExhausted ? learningRate(state.offered.rate(now)) : state.rate;
    if (rate != unlimited) {
        state.credit = std::min(state.credit + rate * elapsed, 1 + rate * maxCreditTime);
        if (state.credit < 1)
            return std::nullopt;
        state.credit -= 1;
    }
    state.admitted.add(1, now);
    return isExhausted ? 0 : rate;
}

double call_admission::avoidableShare(
    const class_state& state, const std::optional<call_capacity>& capacity, time_point now) const
{
    if (!capacity)
        return 1;
    const double recent = state.losses.value(0, now);
    // Most executions are lost whatever the called service reports.
    if (recent >= futileLosses)
        return 1;
    const double unavoidable = state.unavoidable.value(0, now);
    const double expected = unavoidable + deviations * std::sqrt(unavoidable / std::max(state.losses.weight(now), 1.0));
    const double excess = std::clamp((recent - expected) / recent, 0.0, 1.0);
    const double pressure = std::clamp((capacity->pressure - freePressure) / (busyPressure - freePressure), 0.0, 1.0);
    // The reports are late. Without them, losses tell a lack of capacity only if the usual ones are known.
    const double known = std::min(state.unavoidable.weight(now) / knownExecutions, 1.0);
    return std::max(pressure, known) * excess;
}

void call_admission::onEnded(const execution_class& key, double rate, bool isLost, double lossProbability,
    const std::optional<call_capacity>& capacity, time_point now)
{
    const auto found = m_classes.find(key);
    if (found == m_classes.end())
        return;
    auto& state = found->second;
    if (rate == 0)
        return;
    state.losses.add(isLost, now);
    if (!capacity || capacity->pressure > freePressure)
        state.busyAt = now;
    if (now >= state.busyAt + freeTime)
        state.unavoidable.add(isLost, now);
    const double avoidable = isLost ? avoidableShare(state, capacity, now) : 0;
    if (avoidable < minAvoidableShare) {
        state.endedSinceLoss += 1;
        const double accepted = acceptedLosses[std::min(key.level, urgencyLevels - 1)];
        state.rate *= 1 + lossStep * (accepted + state.unavoidable.value(0, now));
        return;
    }
    // Losses of executions that were let through at a higher rate say nothing about the present one. Otherwise, the
    // losses until a decrease takes effect would add up to a far too low rate.
    const double step = std::clamp(lossProbability, lossStep, maxLossStep) * avoidable;
    const double tooHigh = rate == unlimited ? state.admitted.rate(now) : rate;
    if (rate != unlimited || state.rate == unlimited)
        state.rate = std::max(minPerSecond, std::min(state.rate, tooHigh * (1 - step)));
    state.lossAt = now;
    state.endedSinceLoss = 0;
}

double call_admission::share(const execution_class& key, time_point now) const
{
    const auto found = m_classes.find(key);
    if (found == m_classes.end())
        return 1;
    const double offered = found->second.offered.rate(now);
    return offered > 0 ? std::clamp(found->second.rate / offered, minShare, 1.0) : 1;
}

} // namespace heatherdrift
