#pragma once

#include "base/event_handle.h"
#include "gate/request_origins.h"
#include "gate/slot_queue.h"
#include "http/http_client.h"
#include "mesh/forward_protocol.h"
#include "mesh/platform_port.h"
#include "ranges/key_load.h"
#include "settings/mesh_settings.h"

#include <map>

namespace heatherdrift {

/// Whether the backend server beside this node may get a request for a key.
enum class key_access {
    serve,
    wait, ///< The backend server owns the key and will hold it soon.
    refuse, ///< Another one owns it.
};

struct gate_hooks {
    std::function<key_access(key_number)> keyAccess;
    std::function<std::int64_t()> mapVersion; ///< 0 if the service is not partitioned.
    std::function<std::optional<known_tables>()> knownTables; ///< What this node tells of the store's tables.
    std::function<void()> onConnectionRefused; ///< Nothing listens at the backend server's address.
};

/// The backend server beside this node, as it announced itself.
struct gate_backend {
    life_name life;
    std::string id;
    int slots = 1;

    bool operator==(const gate_backend&) const = default;
};

/// Sends requests to the backend server beside this node. Every request that reaches it comes through here, so that its
/// slots, its connections, its keys and its leaving are decided in one place.
class gate_service {
public:
    using answer_function = std::function<void(gate_answer)>;

    gate_service(event_base*, const mesh_settings&, const platform_port&, gate_hooks);
    ~gate_service();

    /// Calls back exactly once unless the request is cancelled; possibly before it returns. The delivery time is what
    /// the answer will need from here to whoever asked.
    request_number execute(routed_request, answer_function, duration deliveryTime = {});
    /// The caller is gone: the request leaves the queue, or its connection to the backend server is closed.
    void cancel(request_number);

    void setBackend(const gate_backend&);
    const gate_backend& backend() const { return m_backend; }
    void setMaximumConnections(int);
    /// The backend server leaves: it gets no request after this time.
    void closeAt(time_point);
    /// Refuses requests of other nodes from now on, as not run; those that wait or run go on.
    void stopAccepting() { m_isStopping = true; }
    bool isDraining() const { return m_isStopping || m_closesAt != time_point::max(); }
    /// Answers of keyAccess may have changed.
    void keysChanged();

    gate_load load() const;
    const key_load& keyLoad() const { return m_keyLoad; }
    std::size_t inProgress() const { return m_requests.size(); }

private:
    struct gate_request {
        routed_request request;
        answer_function answer;
        bool isAwaitingKey = false;
        duration deliveryTime {};
        time_point startedAt {};
        http_call_ptr call;
    };

    void submit(request_number);
    /// How much later than its objective the answer would come because of the instance's link; zero if it would not.
    duration lateByDelivery(const gate_request&, time_point now) const;
    void run(request_number);
    void runNext();
    void finished(request_number, result<http_response>);
    gate_answer judge(result<http_response>);
    gate_answer refusal(error_code) const;
    void answer(request_number, gate_answer);
    void sweep();
    void watchWaiting();

    const mesh_settings& m_settings;
    const platform_port& m_port;
    gate_hooks m_hooks;
    gate_backend m_backend;
    time_point m_closesAt = time_point::max();
    bool m_isStopping = false;
    std::unique_ptr<http_client> m_client;
    slot_queue m_queue;
    request_origins m_origins;
    key_load m_keyLoad;
    std::map<request_number, gate_request> m_requests;
    request_number m_lastNumber = 0;
    timer m_sweep;
    std::size_t m_awaitingKeys = 0;
};

} // namespace heatherdrift
