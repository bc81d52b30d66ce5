#pragma once

#include "admission/load_view.h"
#include "base/event_handle.h"
#include "http/http_server.h"
#include "routing/call_runner.h"
#include "routing/peer_clients.h"
#include "routing/request_ledger.h"
#include "routing/routing_snapshot.h"
#include "telemetry/trace.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace heatherdrift {

class entry_call;

struct entry_limits {
    std::size_t streamBufferBytes = 256 * 1024; ///< Per answer, waiting for a slow caller.
    std::size_t calls = 5000; ///< In progress at once.
    int connectionsPerPeer = 256;
    duration firstBackoff = std::chrono::milliseconds(20);
    duration longestBackoff = std::chrono::milliseconds(500);
};

/// Chosen by the router for calls without key ownership, and told how each attempt went.
struct member_choice {
    /// Picks a member of the pool, none if there is none. `avoid` names the member that failed last, or is empty.
    std::function<std::optional<instance_ref>(
        const routing_snapshot&, const std::string& pool, const instance_id& avoid)>
        pick;
    std::function<void(const instance_ref&)> started;
    std::function<void(const instance_ref&, const call_observation&)> ended;
};

struct entry_hooks {
    clock_function now;
    member_choice choice;
    /// Counts a first attempt; a retry asks whether the budget allows it.
    std::function<void()> firstAttempt;
    std::function<bool()> mayRetryNow;
    /// Share of the backoff to wait, from 0 to 1.
    std::function<double()> jitter;
    /// One per answered call: selector, verdict, error name (empty if the backend server answered), latency.
    std::function<void(const std::string& selector, verdict, std::string_view error, duration latency)> finished;
    span_sink spans;
};

/// Takes callers' requests, finds the node that must run each, and passes the answer back. Retries what may be retried
/// within the deadline; a call whose owner is not known or not ready waits for a newer snapshot instead of asking again
/// and again.
class entry_router {
public:
    entry_router(event_base*, instance_ref self, entry_limits, entry_hooks, call_runner& executor);
    ~entry_router();

    /// Handler of the entry listener.
    void handle(http_exchange_ptr);

    /// Wakes the calls that wait for a change.
    void setSnapshot(routing_snapshot_ptr);

    std::size_t callsInProgress() const { return m_calls.size(); }
    peer_clients& peers() { return m_peers; }

private:
    friend class entry_call;

    void wakeWaiting();
    void forget(entry_call&);

    event_base* m_base;
    instance_ref m_self;
    entry_limits m_limits;
    entry_hooks m_hooks;
    call_runner& m_executor;
    peer_clients m_peers;
    routing_snapshot_ptr m_snapshot;
    std::uint64_t m_nextRequest = 1;
    std::set<std::shared_ptr<entry_call>> m_calls;
    timer m_wake;
};

} // namespace heatherdrift
