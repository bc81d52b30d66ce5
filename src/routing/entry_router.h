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
    std::size_t streamBufferBytes = 256 * 1024; ///< Buffered per response for a slow caller.
    std::size_t calls = 5000; ///< In progress at once.
    int connectionsPerPeer = 256;
    duration initialBackoff = std::chrono::milliseconds(20);
    duration maxBackoff = std::chrono::milliseconds(500);
    /// The owner's node answers at the deadline at the latest; this much later it counts as silent.
    duration ownerSlack = std::chrono::milliseconds(100);
};

/// Callbacks that select members for calls without key ownership and observe each attempt.
struct member_selection_hooks {
    /// Picks a member of the pool, if it has one. `avoid` is the member that failed last, or empty.
    std::function<std::optional<instance_ref>(
        const routing_snapshot&, const std::string& pool, const instance_id& avoid)>
        pick;
    std::function<void(const instance_ref&)> onStarted;
    std::function<void(const instance_ref&, const call_observation&)> onEnded;
};

struct entry_hooks {
    clock_function now;
    member_selection_hooks memberSelection;
    /// Records a first attempt in the retry budget.
    std::function<void()> onFirstAttempt;
    /// Spends one retry of the budget; false if the budget is used up.
    std::function<bool()> tryRetry;
    /// Random number from 0 to 1.
    std::function<double()> jitter;
    /// Called once per call at its end. `error` is empty if the backend server answered.
    std::function<void(const std::string& selector, verdict, std::string_view error, duration latency)> onFinished;
    span_sink spans;
};

/// Accepts callers' requests, forwards each to the node that must run it, and relays the response. Failed calls are
/// retried within the deadline where that is safe. A call whose owner is unknown or not ready waits for a newer
/// snapshot instead of polling.
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
    void removeCall(entry_call&);

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
