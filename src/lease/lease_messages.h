#pragma once

#include "base/clock.h"
#include "base/identifiers.h"

#include <cstdint>

namespace heatherdrift {

/// Holder to witness: asks for a grant. Names the witness's incarnation, since a restarted witness has forgotten its
/// promises.
struct lease_renewal {
    instance_ref holder;
    instance_ref witness;
    std::uint64_t sequence = 0; ///< Grows with each renewal of one holder.
    std::int64_t configurationVersion = 0; ///< In force at the holder.

    bool operator==(const lease_renewal&) const = default;
};

/// Witness to holder: the renewal with this sequence counts.
struct lease_grant {
    instance_ref holder;
    instance_ref witness;
    std::uint64_t sequence = 0;

    bool operator==(const lease_grant&) const = default;
};

enum class refusal_reason {
    fenced, ///< The witness has promised to grant this incarnation nothing more. Final.
    superseded, ///< A newer incarnation of the holder has registered. Final.
    wrong_witness, ///< The renewal was meant for another incarnation of the witness.
    stale_configuration, ///< The holder's configuration has been older than the witness's for too long.
};

/// Witness to holder. `witness` is the process that answers.
struct lease_refusal {
    instance_ref holder;
    instance_ref witness;
    std::uint64_t sequence = 0;
    refusal_reason reason = refusal_reason::fenced;

    bool operator==(const lease_refusal&) const = default;
};

/// Takeover to witness: never grant this incarnation of the holder again. Sent only once the row is marked fencing.
struct promise_request {
    instance_ref holder;
    instance_ref witness;

    bool operator==(const promise_request&) const = default;
};

/// Witness to takeover: promised; the last grant ends after the remaining time, 0 if it has ended.
struct lease_promise {
    instance_ref holder;
    instance_ref witness;
    duration remaining {};

    bool operator==(const lease_promise&) const = default;
};

/// Witness to takeover: the request was meant for another incarnation of the witness; this one answers.
struct promise_refusal {
    instance_ref holder;
    instance_ref witness;

    bool operator==(const promise_refusal&) const = default;
};

/// Takeover to witness: for how long has the holder been silent? Binds nobody.
struct silence_inquiry {
    instance_ref holder;
    instance_ref witness;

    bool operator==(const silence_inquiry&) const = default;
};

/// Witness to takeover. `witness` is the process that answers.
struct silence_report {
    instance_ref holder;
    instance_ref witness;
    duration silentFor {};

    bool operator==(const silence_report&) const = default;
};

} // namespace heatherdrift
