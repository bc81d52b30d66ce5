#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <cstdint>

namespace heatherdrift {

/// Holder to witness: requests a grant. Contains the incarnation of the witness, since a restarted witness has lost its
/// promises.
struct lease_renewal {
    instance_ref holder;
    instance_ref witness;
    std::uint64_t sequence = 0; ///< Increases with each renewal of one holder.
    std::int64_t configurationVersion = 0; ///< In force at the holder.

    bool operator==(const lease_renewal&) const = default;
};

/// Witness to holder: the renewal with this sequence number is granted.
struct lease_grant {
    instance_ref holder;
    instance_ref witness;
    std::uint64_t sequence = 0;

    bool operator==(const lease_grant&) const = default;
};

enum class refusal_reason {
    fenced, ///< The witness has promised not to grant to this incarnation again. Final.
    superseded, ///< A newer incarnation of the holder has registered. Final.
    wrong_witness, ///< The renewal is addressed to another incarnation of the witness.
    stale_configuration, ///< The holder's configuration has been older than the witness's for too long.
};

/// Witness to holder: the renewal is refused. `witness` is the responding process.
struct lease_refusal {
    instance_ref holder;
    instance_ref witness;
    std::uint64_t sequence = 0;
    refusal_reason reason = refusal_reason::fenced;

    bool operator==(const lease_refusal&) const = default;
};

/// Takeover to witness: requests a promise never to grant to this incarnation of the holder again. Sent only once the
/// holder's row is in state fencing.
struct promise_request {
    instance_ref holder;
    instance_ref witness;

    bool operator==(const promise_request&) const = default;
};

/// Witness to takeover: the promise is given. `remaining` is the time until the last grant expires, 0 if it has
/// expired.
struct lease_promise {
    instance_ref holder;
    instance_ref witness;
    duration remaining {};

    bool operator==(const lease_promise&) const = default;
};

/// Witness to takeover: the request is addressed to another incarnation. `witness` is the responding process.
struct promise_refusal {
    instance_ref holder;
    instance_ref witness;

    bool operator==(const promise_refusal&) const = default;
};

/// Takeover to witness: asks how long ago the holder was last heard. Has no effect on the witness.
struct silence_inquiry {
    instance_ref holder;
    instance_ref witness;

    bool operator==(const silence_inquiry&) const = default;
};

/// Witness to takeover: time since the last renewal of the holder. `witness` is the responding process.
struct silence_report {
    instance_ref holder;
    instance_ref witness;
    duration silentFor {};

    bool operator==(const silence_report&) const = default;
};

} // namespace heatherdrift
