#include "admission/request_classifier.h"

namespace heatherdrift {

request_classifier::request_classifier(const classifier_settings& settings)
    : m_settings(settings)
    , m_kinds(settings.maxKinds)
{
}

call_length request_classifier::classify(const work_kind& kind, call_length configured) const
{
    const auto* state = m_kinds.find(kind);
    return state && state->configured == configured ? state->current : configured;
}

// The two thresholds, the lower duration for the way back and the confirmation time are hysteresis: a kind near a
// threshold does not change its class again and again, and one pause of the backend server, which makes all running
// calls long at once, does not change any class.
void request_classifier::observe(const work_kind& kind, call_length configured, duration used, time_point now)
{
    auto& state = m_kinds.getOrInsert(kind, initialState(configured));
    if (state.configured != configured)
        state = initialState(configured);
    const bool isLong = state.current == call_length::long_call;
    const auto limit = isLong ? m_settings.shortLimit / 2 : m_settings.shortLimit;
    state.longShare += ((used >= limit ? 1 : 0) - state.longShare) / m_settings.window;
    const bool contradicts
        = isLong ? state.longShare < m_settings.shortThreshold : state.longShare >= m_settings.longThreshold;
    if (!contradicts) {
        state.contradictedSince.reset();
        return;
    }
    if (!state.contradictedSince)
        state.contradictedSince = now;
    if (now - *state.contradictedSince < m_settings.confirmationTime)
        return;
    state.current = isLong ? call_length::short_call : call_length::long_call;
    state.longShare = isLong ? 0 : 1;
    state.contradictedSince.reset();
}

request_classifier::kind_state request_classifier::initialState(call_length configured)
{
    return { configured, configured, configured == call_length::long_call ? 1.0 : 0.0, std::nullopt };
}

} // namespace heatherdrift
