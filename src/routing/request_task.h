#pragma once

#include "admission/retry_budget.h"
#include "base/mailbox.h"
#include "http/http_server.h"
#include "routing/call_executor.h"
#include "routing/entry_router.h"
#include "routing/forward_service.h"
#include "routing/task_messages.h"
#include "telemetry/metrics.h"

#include <memory>
#include <random>
#include <vector>

namespace heatherdrift {

struct request_task_settings {
    endpoint entry;
    endpoint forward;
    http_server_limits listeners;
    entry_limits entryLimits;
    once_limits once;
    request_ledger_limits requests;
};

struct request_task_hooks {
    clock_function now;
    /// May be called from the request task at any time.
    std::function<void(to_control_task)> toControlTask;
    span_sink spans;
    metrics_registry* metrics = nullptr;
    std::uint64_t seed = 0; ///< For jitter and the token secret; differs between processes.
};

/// Serves callers and other nodes. Owns the listeners, all request connections and all request state; runs on one event
/// loop and is controlled by messages only.
class request_task {
public:
    /// Binds both listeners. Fails with invalid_settings.
    static result<std::unique_ptr<request_task>> create(event_base*, request_task_settings, request_task_hooks);
    ~request_task();

    /// May be called from any thread.
    void post(to_request_task);

    endpoint entryAddress() const;
    endpoint forwardAddress() const;
    /// On the request task only.
    void stopListening();
    int callsInProgress() const;

private:
    struct incarnation_parts;

    request_task(event_base*, request_task_settings, request_task_hooks);

    result<void> listen();
    void handleEntry(http_exchange_ptr);
    void handleForward(http_exchange_ptr);
    void on(const start_incarnation&);
    void on(const stop_serving&);
    void on(const use_snapshot&);
    void on(const lease_update&);
    void on(const backend_update&);
    void on(const stop_partition&);
    void on(const resume_partition&);
    void on(const start_draining&);
    void on(const add_strikes&);
    void on(const intent_inserted&);

    std::unique_ptr<incarnation_parts> makeParts(const instance_ref& self);
    entry_hooks makeEntryHooks();
    executor_hooks makeExecutorHooks();
    void connectBackend();
    void claimAtIssuer(const once_token&, std::uint64_t fingerprint, const std::string& claimant, time_point deadline,
        std::function<void(result<claim_answer>)>);
    void sample();
    void dropRetired();

    event_base* m_base;
    request_task_settings m_settings;
    request_task_hooks m_hooks;
    std::mt19937_64 m_random;
    mailbox<to_request_task> m_mailbox;
    std::unique_ptr<http_server> m_entry;
    std::unique_ptr<http_server> m_forward;
    routing_snapshot_ptr m_snapshot;
    std::optional<backend_description> m_backend;
    bool m_isDraining = false;
    retry_budget m_retries;
    std::unique_ptr<incarnation_parts> m_parts;
    std::vector<std::unique_ptr<incarnation_parts>> m_retired; ///< Kept until their calls have ended.
    std::uint64_t m_nextIntent = 1;
    std::map<std::uint64_t, std::function<void(result<void>)>> m_intents;
    timer m_sample;
};

} // namespace heatherdrift
