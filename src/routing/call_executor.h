#pragma once

#include "admission/backend_admission.h"
#include "base/event_handle.h"
#include "routing/backend_link.h"
#include "routing/call_runner.h"
#include "routing/internal/load_meter.h"
#include "routing/once_ledger.h"
#include "routing/request_ledger.h"
#include "routing/routing_snapshot.h"
#include "routing/task_messages.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace heatherdrift {

class executed_call;

struct executor_settings {
    instance_ref self;
    std::uint64_t tokenSecret = 0;
    once_limits once;
    request_ledger_limits requests;
};

/// Callbacks of the executor, each called on the request task.
struct executor_hooks {
    clock_function now;
    /// Claims a token at the process that issued it.
    std::function<void(const once_token&, std::uint64_t fingerprint, const std::string& claimant, time_point deadline,
        std::function<void(result<claim_answer>)>)>
        claimAtIssuer;
    /// Inserts the row that allows the one run of a call. Success: inserted for this request id. Failures:
    /// `token_spent` (may_have_run) if the row exists, store_unavailable.
    std::function<void(
        const std::string& key, const std::string& requestId, time_point deadline, std::function<void(result<void>)>)>
        insertIntent;
    /// The backend server closed or refused a connection and must be checked immediately.
    std::function<void()> onBackendFailure;
    /// Reports strikes against the requests that were running when the backend server crashed.
    std::function<void(std::vector<crash_strike>)> onStrikes;
};

/// Runs calls at this instance's backend server, after checking that this process owns the key, its lease is valid, the
/// call was not refused before and, for a once call, that it has not run. Ownership and lease are checked again
/// immediately before the request is written to the backend server.
class call_executor : public call_runner {
public:
    call_executor(event_base*, executor_settings, executor_hooks);
    ~call_executor() override;

    http_call_ptr run(call, call_target, http_call_handlers) override;

    void setSnapshot(routing_snapshot_ptr);
    /// Calls are started only before this time; calls that need ownership for their whole run are cancelled at it.
    void setLeaseEnd(time_point);
    /// Replaces the connections to the backend server.
    void setBackend(std::unique_ptr<backend_link>, const backend_description&);
    void removeBackend();

    /// Refuses new calls of the partition as `not_owner` and calls back when no call that needs ownership for its
    /// whole run is left.
    void stopPartition(const partition_id&, std::function<void()> onIdle);
    void resumePartition(const partition_id&);
    /// Refuses all new calls as `draining`.
    void startDraining();

    request_state inquire(const std::string& requestId, time_point sentAt);
    result<claim_answer> claim(const once_token&, std::uint64_t fingerprint, const std::string& claimant);

    int callsInProgress() const { return static_cast<int>(m_calls.size()); }
    /// A health check ended; `isCrashed` if the backend server refused the connection or closed it.
    void onBackendChecked(bool isCrashed);
    void mergeStrikes(const std::vector<crash_strike>&);

    /// Starts no more calls and cancels those that need ownership for their whole run.
    void stopServing();
    /// Load since the previous call of this function.
    load_sample takeLoad();

private:
    friend class executed_call;

    /// Grant under which a call may start now, none if it needs no ownership. Fails if the call may not start.
    result<std::optional<backend_grant>> authorize(const call&, const call_target&) const;
    void submit(executed_call&);
    void apply(const admission_actions&);
    void onCallEnded(executed_call&, std::optional<admission_end>);
    void advance();
    void scheduleAdvance();
    void cancelOnLeaseEnd();
    void notifyIdlePartitions();
    backend_admission_settings admissionSettings() const;

    event_base* m_base;
    executor_settings m_settings;
    executor_hooks m_hooks;
    routing_snapshot_ptr m_snapshot;
    time_point m_leaseEnd;
    std::unique_ptr<backend_link> m_backend;
    backend_description m_description;
    once_ledger m_once;
    request_ledger m_requests;
    std::unique_ptr<backend_admission> m_admission;
    std::uint64_t m_nextCall = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<executed_call>> m_calls;
    std::map<partition_id, std::vector<std::function<void()>>> m_stopped;
    bool m_isDraining = false;
    bool m_isStopped = false;
    std::uint64_t m_crashes = 0;
    /// Calls whose connection was lost, until a health check shows whether the backend server crashed.
    std::vector<std::uint64_t> m_lostCalls;
    load_meter m_load;
    timer m_advance;
    timer m_leaseTimer;
};

} // namespace heatherdrift
