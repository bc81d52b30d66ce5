#pragma once

#include "admission/adaptive_limit.h"
#include "admission/admission_queue.h"
#include "admission/quarantine.h"
#include "admission/request_classifier.h"
#include "admission/service_time_estimate.h"

#include <deque>
#include <unordered_map>

namespace heatherdrift {

/// A call to be admitted to the backend server.
struct admission_call {
    std::uint64_t id = 0; ///< Unique among the waiting and running calls.
    work_kind kind;
    call_length configured = call_length::short_call; ///< Class configured by the request selector.
    int priority = 5; ///< 0 to 9.
    std::string customer;
    time_point deadline {};
    request_fingerprint fingerprint = 0;

    bool operator==(const admission_call&) const = default;
};

/// How a running call ended.
enum class admission_end {
    answered,
    answered_with_failure, ///< With a status of 500 or above, which clears no suspect.
    shed, ///< The backend server refused it because of its load.
    cancelled, ///< By the caller or at the deadline.
    failed, ///< No response, for example because of a crash.
};

/// Settings of backend_admission.
struct backend_admission_settings {
    admission_settings queue;
    classifier_settings classes; ///< Its short limit replaces the queue's.
    service_time_defaults serviceTimes;
    quarantine_settings quarantineSettings;
    adaptive_limit_settings adaptive;
    bool adaptsLimit = false;
    std::size_t maxWaitingSuspects = 64;
};

/// Replacements for the default policies; an empty function means the default.
struct backend_admission_hooks {
    std::function<call_length(const work_kind&, call_length configured)> classify;
    std::function<service_quantiles(const work_kind&, call_length, time_point now)> estimate;
    admission_hooks queue;
};

/// Admission control of one backend server: combines classification, service time estimates, quarantine, queue and
/// concurrency limit. Each submitted call leaves exactly once: by an action or by cancel().
class backend_admission {
public:
    explicit backend_admission(const backend_admission_settings&, backend_admission_hooks = {});
    backend_admission(const backend_admission&) = delete;
    backend_admission& operator=(const backend_admission&) = delete;

    /// The call is queued if none of the returned actions has its id.
    admission_actions submit(const admission_call&, time_point now);
    /// A running call ended. Unknown ids are ignored.
    admission_actions finish(std::uint64_t id, admission_end, time_point now);
    /// Removes a waiting call; returns false if the call is not waiting.
    bool cancel(std::uint64_t id, time_point now);
    /// To be called at nextEvent().
    admission_actions advance(time_point now);
    time_point nextEvent(time_point now) const;
    /// The backend server announced its number of slots.
    admission_actions setSlots(int slots, time_point now);

    /// Records a crash of the backend server; returns the crash attributions of the running calls, to be sent to the
    /// other nodes. The calls must still be reported to finish().
    std::vector<crash_strike> crashed(std::string_view crashId, time_point now);
    void merge(const std::vector<crash_strike>& attributions) { m_quarantine.merge(attributions); }

    const admission_queue& queue() const { return m_queue; }

private:
    struct call_state {
        work_kind kind;
        call_length configured = call_length::short_call;
        call_length length = call_length::short_call;
        request_fingerprint fingerprint = 0;
        bool isIsolated = false;
        bool isRunning = false;
        bool isClassObserved = false;
        time_point startedAt {};
    };

    admission_hooks queueHooks(admission_hooks);
    void submitToQueue(const admission_call&, bool isIsolated, admission_actions&, time_point now);
    void addSuspect(const admission_call&, admission_actions&);
    void startSuspects(admission_actions&, time_point now);
    void expireSuspects(admission_actions&, time_point now);
    void recordActions(const admission_actions&, time_point now);
    void release(std::uint64_t id, std::optional<admission_end>, time_point now);
    void observe(call_state&, admission_end, time_point now);
    void observeClass(call_state&, duration used, time_point now);
    admission_actions applyPendingChanges(admission_actions, time_point now);

    backend_admission_settings m_settings;
    backend_admission_hooks m_hooks;
    request_classifier m_classifier;
    service_time_estimate m_estimate;
    quarantine m_quarantine;
    adaptive_limit m_limit;
    admission_queue m_queue;
    std::unordered_map<std::uint64_t, call_state> m_calls; // Queued and running calls.
    std::deque<admission_call> m_suspects; // Calls waiting for an isolated run, in order of arrival.
};

} // namespace heatherdrift
