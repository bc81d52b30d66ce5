#pragma once

#include "control/internal/cluster_view.h"
#include "control/internal/replica_sync.h"
#include "control/peer_transport.h"
#include "lease/lease_settings.h"
#include "store/resolving_store.h"
#include "store/table_store.h"

#include <functional>
#include <string>

namespace heatherdrift {

/// Deadline of one request to the table service.
constexpr duration storeTimeout = std::chrono::seconds(2);

/// State shared by the components of the control task: its ports and its copy of the stored rows.
struct control_context {
    clock_function now;
    table_store& store; ///< Commits may end with an unknown outcome.
    resolving_store& resolving; ///< Commits always end with a known outcome, possibly after the deadline.
    peer_transport& transport;
    replica_sync& replica;
    cluster_view& view;
    lease_settings lease;
    /// Returns an id that is unique over all processes.
    std::function<std::string()> newOperationId;
    /// Returns a random number from 0 to 1.
    std::function<double()> jitter;

    /// The member's address for control messages; empty if the row names another incarnation.
    std::optional<peer_address> addressOf(const instance_ref&) const;
    void send(const instance_ref&, const wire::Message&) const;
    time_point storeDeadline() const { return now() + storeTimeout; }
};

/// Exponential backoff: the delay doubles up to a maximum; jitter is applied to its upper half.
class retry_delay {
public:
    retry_delay(duration initial, duration max)
        : m_initial(initial)
        , m_max(max)
    {
    }

    duration next(double jitter);
    void reset() { m_failures = 0; }

private:
    duration m_initial;
    duration m_max;
    int m_failures = 0;
};

} // namespace heatherdrift
