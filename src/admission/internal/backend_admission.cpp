#include "admission/backend_admission.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    admission_settings queueSettings(const backend_admission_settings& settings)
    {
        auto queue = settings.queue;
        queue.shortLimit = settings.classes.shortLimit;
        return queue;
    }

    // A queued call must start early enough to finish with 99% probability: with a later start, an overloaded queue
    // ordered by deadline starts every call at the last possible time, and calls that miss their deadline waste their
    // slots. For kinds whose p99 takes more than half of the remaining time, half of that time is left for waiting.
    duration neededTime(const service_quantiles& estimate, duration remaining)
    {
        return std::max(estimate.mean, std::min(estimate.p99, remaining / 2));
    }

} // namespace

backend_admission::backend_admission(const backend_admission_settings& settings, backend_admission_hooks hooks)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_classifier(settings.classes)
    , m_estimate(settings.serviceTimes)
    , m_quarantine(settings.quarantineSettings)
    , m_limit(settings.queue.slots, settings.adaptive)
    , m_queue(queueSettings(settings), queueHooks(std::move(m_hooks.queue)))
{
    if (!m_hooks.classify)
        m_hooks.classify
            = [this](const work_kind& kind, call_length configured) { return m_classifier.classify(kind, configured); };
    if (!m_hooks.estimate)
        m_hooks.estimate = [this](const work_kind& kind, call_length length, time_point now) {
            return m_estimate.estimate(kind, length, now);
        };
}

admission_actions backend_admission::submit(const admission_call& call, time_point now)
{
    admission_actions actions;
    switch (m_quarantine.decide(call.fingerprint, now)) {
    case quarantine_decision::refuse:
        actions.push_back({ call.id, admission_step::refuse, m_quarantine.refusal() });
        break;
    case quarantine_decision::wait:
        addSuspect(call, actions);
        break;
    case quarantine_decision::run_isolated:
        submitToQueue(call, true, actions, now);
        break;
    case quarantine_decision::run:
        submitToQueue(call, false, actions, now);
        break;
    }
    return applyPendingChanges(std::move(actions), now);
}

admission_actions backend_admission::finish(std::uint64_t id, admission_end end, time_point now)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || !found->second.isRunning)
        return {};
    observe(found->second, end, now);
    auto actions = m_queue.finish(id, now);
    release(id, end, now);
    recordActions(actions, now);
    return applyPendingChanges(std::move(actions), now);
}

bool backend_admission::cancel(std::uint64_t id, time_point now)
{
    if (std::erase_if(m_suspects, [id](const admission_call& call) { return call.id == id; }) > 0)
        return true;
    if (!m_queue.cancel(id))
        return false;
    release(id, std::nullopt, now);
    return true;
}

admission_actions backend_admission::advance(time_point now)
{
    auto actions = m_queue.advance(now);
    recordActions(actions, now);
    return applyPendingChanges(std::move(actions), now);
}

time_point backend_admission::nextEvent(time_point now) const
{
    auto next = m_queue.nextEvent(now);
    if (m_suspects.empty())
        return next;
    // If the time has passed, the suspects wait for a running request with the same content, whose end triggers them.
    if (m_quarantine.nextIsolationAt() > now)
        next = std::min(next, m_quarantine.nextIsolationAt());
    for (const auto& call : m_suspects)
        next = std::min(next, call.deadline + duration(1));
    return next;
}

admission_actions backend_admission::setSlots(int slots, time_point now)
{
    m_limit.setSlots(slots);
    auto actions = m_queue.setSlots(m_settings.adaptsLimit ? m_limit.limit() : slots, now);
    recordActions(actions, now);
    return applyPendingChanges(std::move(actions), now);
}

std::vector<crash_strike> backend_admission::crashed(std::string_view crashId, time_point now)
{
    std::vector<request_fingerprint> inFlight;
    for (const auto& [id, call] : m_calls) {
        if (call.isRunning)
            inFlight.push_back(call.fingerprint);
    }
    return m_quarantine.recordCrash(crashId, inFlight, now);
}

admission_hooks backend_admission::queueHooks(admission_hooks hooks)
{
    hooks.onCountedAsLong = [this, next = std::move(hooks.onCountedAsLong)](std::uint64_t id, time_point now) {
        if (const auto found = m_calls.find(id); found != m_calls.end())
            observeClass(found->second, m_settings.classes.shortLimit, now);
        if (next)
            next(id, now);
    };
    return hooks;
}

void backend_admission::submitToQueue(
    const admission_call& call, bool isIsolated, admission_actions& actions, time_point now)
{
    const auto length = m_hooks.classify(call.kind, call.configured);
    const auto estimate = m_hooks.estimate(call.kind, length, now);
    m_calls[call.id] = { .kind = call.kind,
        .configured = call.configured,
        .length = length,
        .fingerprint = call.fingerprint,
        .isIsolated = isIsolated };
    const admission_request request { call.id, { length, std::clamp(call.priority, 0, priorityCount - 1) },
        call.customer, call.deadline, estimate.mean, neededTime(estimate, call.deadline - now) };
    const auto steps = m_queue.submit(request, now);
    recordActions(steps, now);
    actions.insert(actions.end(), steps.begin(), steps.end());
}

void backend_admission::addSuspect(const admission_call& call, admission_actions& actions)
{
    if (m_suspects.size() < m_settings.maxWaitingSuspects) {
        m_suspects.push_back(call);
        return;
    }
    actions.push_back({ call.id, admission_step::refuse,
        notRun(error_code::overloaded, "too many requests wait for an isolated run after a crash") });
}

// One pass in order of arrival; calls whose fingerprint was cleared in the meantime are queued normally.
void backend_admission::startSuspects(admission_actions& actions, time_point now)
{
    for (auto next = m_suspects.begin(); next != m_suspects.end();) {
        const auto decision = m_quarantine.decide(next->fingerprint, now);
        if (decision == quarantine_decision::wait) {
            ++next;
            continue;
        }
        const auto call = *next;
        next = m_suspects.erase(next);
        if (decision == quarantine_decision::refuse)
            actions.push_back({ call.id, admission_step::refuse, m_quarantine.refusal() });
        else
            submitToQueue(call, decision == quarantine_decision::run_isolated, actions, now);
    }
}

void backend_admission::expireSuspects(admission_actions& actions, time_point now)
{
    std::erase_if(m_suspects, [&](const admission_call& call) {
        if (call.deadline >= now)
            return false;
        actions.push_back({ call.id, admission_step::expire,
            notRun(error_code::deadline_exceeded, "the deadline passed during the wait for an isolated run") });
        return true;
    });
}

void backend_admission::recordActions(const admission_actions& actions, time_point now)
{
    for (const auto& action : actions) {
        if (action.step != admission_step::run) {
            release(action.id, std::nullopt, now);
            continue;
        }
        auto& call = m_calls.at(action.id);
        call.isRunning = true;
        call.startedAt = now;
    }
}

void backend_admission::release(std::uint64_t id, std::optional<admission_end> end, time_point now)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    if (found->second.isIsolated)
        m_quarantine.finishIsolatedRun(found->second.fingerprint, end == admission_end::answered, now);
    m_calls.erase(found);
}

void backend_admission::observe(call_state& call, admission_end end, time_point now)
{
    const auto used = now - call.startedAt;
    if (end == admission_end::shed)
        m_limit.observeShed(now);
    if (end == admission_end::cancelled)
        m_estimate.observeCancelled(call.kind, call.length, used, now);
    if (end != admission_end::answered && end != admission_end::answered_with_failure)
        return;
    m_estimate.observe(call.kind, call.length, used, now);
    observeClass(call, used, now);
    if (call.length == call_length::short_call)
        m_limit.observe(used, now);
}

void backend_admission::observeClass(call_state& call, duration used, time_point now)
{
    if (call.isClassObserved)
        return;
    call.isClassObserved = true;
    m_classifier.observe(call.kind, call.configured, used, now);
}

// Applies changes that follow from an event outside the queue: suspects that may start, and the adaptive limit.
admission_actions backend_admission::applyPendingChanges(admission_actions actions, time_point now)
{
    if (!m_suspects.empty()) {
        expireSuspects(actions, now);
        startSuspects(actions, now);
    }
    if (m_settings.adaptsLimit && m_limit.limit() != m_queue.slots()) {
        const auto steps = m_queue.setSlots(m_limit.limit(), now);
        recordActions(steps, now);
        actions.insert(actions.end(), steps.begin(), steps.end());
    }
    return actions;
}

} // namespace heatherdrift
