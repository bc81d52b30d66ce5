#pragma once

#include "base/clock.h"

namespace heatherdrift {

/// Position of a node among the reachable nodes, in the order of their names.
struct fleet_place {
    std::size_t rank = 0; ///< Reachable nodes before this one.
    std::size_t nodes = 1; ///< Reachable nodes, including this one.

    /// Number of nodes at the beginning of the order that poll the store: two, since one may be lost, and more in a
    /// large fleet, where two could not serve the requests of all other nodes.
    std::size_t readers() const { return 2 + nodes / 64; }
    bool isReader() const { return rank < readers(); }

    bool operator==(const fleet_place&) const = default;
};

/// Timing of the requests for changes of a table. Shorter times cost more calls to the store.
struct watch_timing {
    /// How long the store waits for a change in a reader's request.
    duration readerWait = std::chrono::milliseconds(1000);
    duration batchTime {}; ///< Minimum time between requests, which batches successive changes.
    duration maxAge = std::chrono::milliseconds(1450); ///< Age of the copy at which any node asks the store.
    /// Age of the copy at which a node asks a reader, which costs less than a call to the store.
    duration readerMaxAge = std::chrono::milliseconds(1050);
    duration readTimeout = std::chrono::milliseconds(700); ///< For a request that does not wait for a change.

    bool operator==(const watch_timing&) const = default;
};

/// State of a node's copy of a table and of its requests to the store.
struct watch_state {
    fleet_place place;
    time_point currentAt {}; ///< Latest time at which the copy is known to have matched the store; zero if never.
    time_point answeredAt {}; ///< End of the node's own last request to the store.
    int failures = 0; ///< Failed requests since the last response of the store.
    bool hasChanges = false; ///< The last response of the store contained changes.
    /// Time at which the store was found to be of a later era than the copy; zero if it is not.
    time_point restoredAt {};
};

/// A request to the store for changes of a table.
struct watch_request {
    time_point at {}; ///< Time to send it, unless other nodes confirm the copy before.
    duration wait {}; ///< How long the store waits for a change before it responds.

    bool operator==(const watch_request&) const = default;
};

/// Next request of a node to the store. A few readers poll the store, and the other nodes get the changes through the
/// responses that nodes send each other anyway, so that the calls to the store do not grow with the number of nodes.
/// A node whose copy becomes too old asks the store itself and thus does not depend on any reader. random is uniform in
/// [0, 1).
watch_request nextRequest(const watch_timing&, const watch_state&, double random);

/// Whether a node should ask a reader now, before its own request to the store is due.
bool isReaderRequestDue(const watch_timing&, const watch_state&, time_point now);

} // namespace heatherdrift
