#pragma once

#include "admission/decaying_sum.h"
#include "admission/return_schedule.h"

#include <map>

namespace heatherdrift {

/// Return times for requests of one entry node that any backend server of their service can run. Each entry node
/// assigns them for its share of the capacity: the requests that the service has recently served for it. Designed for
/// some tens of services.
class service_returns {
public:
    /// The age is the estimated time since the first attempt of the caller, which another node may have refused.
    return_kind recognise(const std::string& service, const return_request&, duration age, time_point now);
    /// The service has run a request of this node.
    void recordServed(const std::string& service, duration serviceTime, time_point now);
    /// Time for the return of a refused request; empty if it has been refused before. The backlog is the least time
    /// after which a backend server expects to have a free slot.
    std::optional<return_time> refuse(
        const std::string& service, const return_request&, return_kind, duration backlog, time_point now);

    /// Of all services.
    return_counts counts() const;

private:
    struct service_state {
        service_state();

        return_schedule schedule;
        decaying_sum served;
        decaying_average serviceTime; ///< Seconds.
        decaying_sum others; ///< Returns that were taken for on-time ones of other nodes.
        time_point lastAt {};
    };

    static return_kind recogniseByAge(service_state&, const return_request&, duration age, time_point now);
    service_state* find(const std::string& service, time_point now);

    std::map<std::string, service_state> m_services;
    return_counts m_earlier; ///< Of services that were removed.
};

} // namespace heatherdrift
