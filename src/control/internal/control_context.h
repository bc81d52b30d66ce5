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

/// What the parts of the control task share: its ports and its copy of the stored rows.
struct control_context {
    clock_function now;
    table_store& store; ///< Commits may end with an unknown outcome.
    resolving_store& resolving; ///< Commits end with a known outcome, however late.
    peer_transport& transport;
    replica_sync& replica;
    cluster_view& view;
    lease_settings lease;
    /// Unique over all processes.
    std::function<std::string()> newOperationId;
    /// From 0 to 1.
    std::function<double()> jitter;

    /// The member's address for control messages; empty if the row names another incarnation.
    std::optional<peer_address> addressOf(const instance_ref&) const;
    void send(const instance_ref&, const wire::Message&) const;
    time_point storeDeadline() const { return now() + storeTimeout; }
};

/// Delays that double up to a longest one, jittered over their upper half.
class retry_delay {
public:
    retry_delay(duration first, duration longest)
        : m_first(first)
        , m_longest(longest)
    {
    }

    duration next(double jitter);
    void reset() { m_failures = 0; }

private:
    duration m_first;
    duration m_longest;
    int m_failures = 0;
};

} // namespace heatherdrift
