#pragma once

#include "admission/return_schedule.h"
#include "gate/demand_shares.h"
#include "gate/slot_queue.h"

namespace heatherdrift {

/// Decides at a gate which requests are refused for the sake of others, and when refused callers return. Without it, a
/// gate refuses by its queue only.
class return_plan {
public:
    /// A request arrived that needs about this much work. Returns whether it was refused before.
    return_kind recordArrival(const return_request&, duration work, time_point now);
    /// The same for a request whose return the entry node recognises.
    void recordArrival(const return_request&, return_kind, duration work, time_point now);
    /// Whether the request is to be refused, since its group has got more than its share and others wait.
    bool isHeldBack(const return_request&, return_kind, const slot_queue&, time_point now) const;
    /// The request was sent to the backend server.
    void recordStart(const return_request&, duration work, time_point now);
    /// Time for the return of a refused request; empty if it has been refused before. The rate is the one at which
    /// requests start, per second, if it is limited.
    std::optional<return_time> refuse(
        const return_request&, return_kind, const slot_queue&, std::optional<double> limitedRate, time_point now);

    const return_schedule& schedule() const { return m_schedule; }

private:
    return_schedule m_schedule;
    demand_shares m_shares;
};

} // namespace heatherdrift
