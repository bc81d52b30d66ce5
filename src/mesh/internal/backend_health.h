#pragma once

#include "base/event_handle.h"
#include "gate/cold_start_limit.h"
#include "gate/health_check_plan.h"
#include "http/http_client.h"
#include "mesh/platform_port.h"

namespace heatherdrift {

struct backend_health_hooks {
    std::function<void(const backend_answer&)> onAnswer; ///< The backend server has answered a health check.
    std::function<void()> onChanged; ///< Requests may be sent sooner or later than before.
};

/// Counts of one process.
struct backend_health_counts {
    std::uint64_t coldStarts = 0; ///< Requests sent while the backend server counted as cold.
    std::uint64_t checks = 0;
    std::uint64_t failedChecks = 0;
};

/// Follows whether the backend server beside this node is cold and limits the requests to it meanwhile. Takes effect
/// only if the service has a cold rate.
class backend_health {
public:
    backend_health(event_base*, http_client&, const platform_port&, const std::string& service, backend_health_hooks);
    ~backend_health();

    void configure(const service_definition&);
    /// Another process may run as the backend server; an empty id: none.
    void setBackend(const std::string& id);
    void recordHeartbeat(duration coldFor);
    /// The state of the backend server is not known from now on.
    void suspect();
    /// Slowdown that the backend server states. A rise causes a health check.
    void recordSlowdown(double);
    /// The same for the time in which it answered a request.
    void recordServiceTime(duration, duration expected);

    /// A request is being sent to the backend server.
    void recordStart(request_number, const http_call_ptr&);
    /// The request did not reach the backend server, or does not count.
    void withdrawStart(request_number);
    /// Must be called before requests are started: those that still wait for their connection count as sent now.
    void postponeUnwritten();

    duration startDelay(std::size_t ahead) const { return m_limit.startDelay(ahead, boot_clock::now()); }
    bool isLimiting() const { return m_limit.isLimiting(); }
    /// Whether the service of the backend server has a cold rate.
    bool hasLimit() const { return m_rate > 0; }
    std::optional<cold_status> status(time_point now) const { return m_limit.status(now); }
    const backend_health_counts& counts() const { return m_counts; }

private:
    struct unwritten_start {
        request_number id = 0;
        std::weak_ptr<http_call> call;
    };

    bool canCheck() const { return hasLimit() && !m_path.empty() && !m_backendId.empty(); }
    void scheduleCheck();
    void checkAfterRise();
    void handleSilence();
    void check();
    void handleAnswer(result<http_response>);
    void markUnknown(time_point now);
    /// The state may have changed.
    void update();
    void logState();

    http_client& m_client;
    const platform_port& m_port;
    const std::string& m_service;
    backend_health_hooks m_hooks;
    double m_rate = 0;
    std::string m_path;
    std::string m_backendId;
    cold_start_limit m_limit;
    health_check_plan m_plan;
    rise_detector m_slowdown;
    rise_detector m_serviceTime;
    std::vector<unwritten_start> m_unwritten;
    backend_health_counts m_counts;
    bool m_isLoggedAsCold = false;
    http_call_ptr m_call;
    timer m_checkTimer;
    timer m_silence; ///< Fires when several heartbeats are missing.
    bool m_isSilent = false;
};

} // namespace heatherdrift
