#pragma once

#include "admission/crash_suspects.h"
#include "base/event_handle.h"
#include "gate/crash_detector.h"
#include "gate/evacuation_gate.h"
#include "gate/nested_calls.h"
#include "gate/request_origins.h"
#include "gate/return_plan.h"
#include "gate/slot_queue.h"
#include "gate/stated_load.h"
#include "http/http_client.h"
#include "mesh/forward_protocol.h"
#include "mesh/internal/backend_health.h"
#include "mesh/internal/life_evidence.h"
#include "mesh/platform_port.h"
#include "ranges/key_load.h"
#include "settings/mesh_settings.h"

#include <map>

namespace heatherdrift {

/// Whether the backend server beside this node may get a request for a key.
enum class key_access {
    serve,
    wait, ///< The backend server owns the key and is about to be granted it.
    refuse, ///< Another backend server owns the key, or the grant is not imminent.
};

struct gate_hooks {
    std::function<key_access(key_number)> keyAccess;
    std::function<std::int64_t()> mapVersion; ///< 0 if the service is not partitioned.
    /// State of this node's copies of the store tables.
    std::function<std::optional<table_statements>()> tableStatements;
    /// The backend server's address refused a connection for a request to this life, started at this time.
    std::function<void(const backend_question&)> onConnectionRefused;
    /// End of the refusal of a request that crashes backend servers; empty if it may run.
    std::function<std::optional<time_point>(request_fingerprint, time_point now)> refusedUntil {};
    /// The request is about to be sent to the backend server.
    std::function<void(request_fingerprint, const life_name&)> onRun {};
    std::function<void(request_fingerprint)> onAnswered {}; ///< The backend server has run a request to its answer.
    std::function<void(backend_crash)> onCrashed {}; ///< The backend server ended without a drain, at work on requests.
    nested_calls::status_function statuses {}; ///< Statuses of the backend servers of a service.
    /// The zone is about to get requests again; what was known of the backend server's warmth may be outdated.
    std::function<void()> onEvacuationEnded {};
};

/// The backend server beside this node, from its announcements.
struct gate_backend {
    life_name life;
    std::string id;
    int slots = 1;

    bool operator==(const gate_backend&) const = default;
};

/// Sends requests to the backend server beside this node. All requests to it pass through here, so that limits on slots
/// and connections, key ownership and draining are enforced in one place.
class gate_service {
public:
    using answer_function = std::function<void(gate_answer)>;
    /// Whether the caller of a request has closed its connection, which the event loop may not have reported yet.
    using caller_check = std::function<bool()>;

    gate_service(event_base*, const mesh_settings&, const platform_port&, gate_hooks);
    ~gate_service();

    /// Invokes the callback exactly once unless the request is cancelled, possibly before execute() returns.
    /// The delivery time is the expected time to transmit the response to the requesting node.
    request_number execute(
        routed_request, answer_function, duration deliveryTime = {}, caller_check hasCallerLeft = nullptr);
    /// Removes the request from the queue or closes its connection to the backend server, because the caller is gone.
    void cancel(request_number);

    void setBackend(const gate_backend&);
    const gate_backend& backend() const { return m_backend; }
    void setMaximumConnections(int);
    /// Applies the limits of the service of the backend server.
    void configure(const service_definition&);
    /// The backend server stated in a heartbeat how much longer it is cold; zero: it is warm.
    void recordHeartbeat(duration coldFor) { m_health.recordHeartbeat(coldFor); }
    /// The backend server counts as cold until it states otherwise; its health is checked at once.
    void suspectCold() { m_health.suspect(); }
    /// Sends no request to the draining backend server after this time.
    void closeAt(time_point);
    /// Refuses requests until then unless the state of the evacuation becomes known before.
    void awaitEvacuations(time_point until) { m_evacuation.awaitTable(until); }
    /// Sends no request to the backend server while its zone is evacuated, but keyed ones until the given time. Running
    /// requests continue.
    void startEvacuation(time_point keysUntil);
    void endEvacuation();
    /// Refuses new requests as not run from now on; queued and running ones continue.
    void stopAccepting() { m_isStopping = true; }
    /// The process ends at this time: requests that may last longer are refused, since they would be cut.
    void endAt(time_point at) { m_endsAt = at; }
    bool isDraining() const { return m_isStopping || m_closesAt != time_point::max(); }
    /// Called when results of keyAccess may have changed.
    void onKeysChanged();

    gate_load load() const;
    /// Bounds the requests and answers that this node holds, as gate and as entry node.
    const std::shared_ptr<byte_budget>& memory() const { return m_memory; }
    const key_load& keyLoad() const { return m_keyLoad; }
    /// Calls that the backend server beside this node makes.
    nested_calls& nestedCalls() { return m_nested; }
    const nested_calls& nestedCalls() const { return m_nested; }
    std::size_t inProgress() const { return m_requests.size(); }
    /// Returns of requests with a key.
    const return_counts& returnCounts() const { return m_returns.schedule().counts(); }
    const backend_health& health() const { return m_health; }
    /// Whether a connection to the backend server is open.
    bool isConnected() const;
    /// Bytes of the bodies of the requests that the backend server has been given and has not answered.
    std::size_t bytesAtBackend() const;
    /// The most of them at the same time, since the start of the process.
    std::size_t mostBytesAtBackend() const { return m_mostBytesAtBackend; }

private:
    struct gate_request {
        routed_request request;
        answer_function answer;
        bool isAwaitingKey = false;
        duration deliveryTime {};
        caller_check hasCallerLeft;
        time_point receivedAt {};
        time_point startedAt {};
        http_call_ptr call;
        request_fingerprint fingerprint = 0;
        bool isNested = false;
        std::optional<call_decision> calls; ///< Once it has been made.
        std::optional<return_kind> returnKind; ///< Once it has arrived, if returns are planned.
        life_name life {}; ///< That it was sent to.
    };

    void submit(request_number);
    return_request returnOf(const gate_request&) const;
    bool plansReturnOf(const gate_request&) const;
    void recordArrival(gate_request&, time_point now);
    /// The refusal of a request that finds no capacity, with the time at which its caller should return.
    gate_answer overloadRefusal(const gate_request&, time_point now);
    int priorityOf(const gate_request&) const;
    int depthOf(const gate_request&) const;
    /// The refusal of a request whose calls would find no capacity; empty if it may run.
    std::optional<gate_answer> refusalForCalls(gate_request&, time_point now);
    void recordEnd(request_number, const gate_request&, const gate_answer&, time_point now);
    std::optional<time_point> refusedUntil(request_fingerprint, time_point now) const;
    gate_answer crashRefusal(time_point until, time_point now) const;
    void recordOutcome(request_fingerprint, const gate_answer&, time_point now);
    /// What the end of a request says about the state of the backend server.
    void recordState(request_number, const result<http_response>&);
    void recordEndOfLife();
    void recordLoad(const backend_answer&, time_point now);
    void recordServiceTime(const gate_request&, time_point now);
    std::optional<server_status> status(time_point now) const;
    /// Time by which the response would miss its latency objective because of the instance's link; zero if it would
    /// not.
    duration deliveryLateness(const gate_request&, time_point now) const;
    void run(request_number);
    bool hasCallerLeft(request_number) const;
    void runNext();
    void handleResponse(request_number, result<http_response>);
    gate_answer classify(result<http_response>);
    gate_answer refusal(error_code) const;
    void answer(request_number, gate_answer);
    bool isEvacuated(const gate_request&, time_point now) const;
    gate_answer evacuationRefusal() const;
    /// Refuses the requests that wait for a slot or a key and may no longer be sent.
    void refuseEvacuated();
    void sweep();
    void scheduleSweep();
    void scheduleStart();

    const mesh_settings& m_settings;
    const platform_port& m_port;
    std::shared_ptr<byte_budget> m_memory; ///< For the bodies of all messages that this node holds.
    gate_hooks m_hooks;
    gate_backend m_backend;
    time_point m_closesAt = time_point::max();
    time_point m_endsAt = time_point::max();
    bool m_isStopping = false;
    evacuation_gate m_evacuation;
    timer m_evacuationTimer; ///< Runs until keyed requests are refused, too.
    std::unique_ptr<http_client> m_client;
    backend_health m_health;
    slot_queue m_queue;
    request_origins m_origins;
    nested_calls m_nested;
    return_plan m_returns;
    crash_detector m_crashes;
    key_load m_keyLoad;
    stated_load m_statedLoad;
    std::map<request_number, gate_request> m_requests;
    request_number m_lastNumber = 0;
    std::size_t m_mostBytesAtBackend = 0;
    timer m_sweep;
    timer m_nextStart; ///< Fires when another request may be sent to the cold backend server.
    std::size_t m_awaitingKeys = 0;
};

} // namespace heatherdrift
