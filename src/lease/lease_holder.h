#pragma once

#include "lease/lease_messages.h"
#include "lease/lease_settings.h"
#include "lease/witness_planner.h"

#include <optional>
#include <vector>

namespace heatherdrift {

/// End of an unbounded lease, far enough from the largest time_point for arithmetic.
constexpr time_point unboundedLease { std::chrono::hours(24 * 365 * 1000) };
/// validUntil() of a lease that was never granted or has ended permanently.
constexpr time_point neverValid = time_point::min();

/// Why a lease ended permanently. The process must stop serving and register as a new incarnation.
enum class lease_end { fenced, superseded };

enum class change_outcome { applied, not_applied };

struct renewal_batch {
    std::vector<lease_renewal> renewals; ///< To be sent now.
    time_point nextAt; ///< Latest time of the next call of poll().

    bool operator==(const renewal_batch&) const = default;
};

/// Holder's side of the lease of one incarnation. Does no input or output: `now` is the caller's reading of the boot
/// clock; for poll() it must be taken before the renewals are sent.
///
/// Steps of a change of the witness set: proposeWitnesses() returns the new set, beginWitnessChange() is called, a
/// witness_change writes the set to the store, and settleWitnessChange() is called once the outcome is certain.
class lease_holder {
public:
    /// `witnesses` is the witness set in the instance's row, which must be registered already.
    lease_holder(instance_ref self, std::vector<instance_ref> witnesses, const lease_settings&, time_point now);

    renewal_batch poll(time_point now, std::int64_t configurationVersion);
    void receive(const lease_grant&, time_point now);
    void receive(const lease_refusal&, time_point now);
    /// Ends the lease because the row in the store is fenced or has a newer incarnation.
    void end(lease_end);

    /// End of the lease on the holder's clock: until then a majority of the witnesses has an unexpired grant. During a
    /// change of the witness set this must hold for the old and the new set.
    time_point validUntil() const;
    std::optional<lease_end> ended() const { return m_end; }
    const instance_ref& self() const { return m_self; }
    /// The witness set in force; during a change the old one.
    const std::vector<instance_ref>& witnesses() const { return m_current; }
    bool isChanging() const { return m_next.has_value(); }

    /// The witness set to change to now, if any. Call it after each poll(). Renewals are first sent to the witnesses of
    /// a candidate set, and the set is returned only once they grant, so that the change does not interrupt the lease.
    /// `members` must be complete: without any other member in it, the empty set is chosen.
    std::optional<std::vector<instance_ref>> proposeWitnesses(
        const member_row& self, const std::vector<member_row>& members, time_point now);
    /// Call before the write, with the row that the write is conditional on. Returns false if the witness set must not
    /// be written: a change is in progress, the lease has ended, or the row has this set already, is no longer joining,
    /// active or draining, or belongs to another incarnation.
    bool beginWitnessChange(const member_row& current, std::vector<instance_ref> next);
    void settleWitnessChange(change_outcome);

private:
    struct sent_renewal {
        std::uint64_t sequence = 0;
        time_point at;
    };

    /// State of the exchange with one witness.
    struct witness_contact {
        instance_ref witness;
        std::vector<sent_renewal> outstanding;
        time_point grantedUntil = neverValid;
        time_point nextSend = neverValid;
        time_point lastAnswer = neverValid; ///< Or time of the first renewal while there is no answer.
        bool isReplaced = false; ///< A newer incarnation of the witness has answered.
    };

    witness_contact* find(const instance_ref&);
    void detectPause(time_point now);
    void send(witness_contact&, renewal_batch&, time_point now, std::int64_t configurationVersion);
    void updateContacts();
    bool canChangeWitnesses(const member_row&) const;
    time_point majorityUntil(const std::vector<instance_ref>& witnesses) const;
    std::vector<witness_health> health(time_point now) const;
    bool isCandidateReady(const witness_plan&, time_point now) const;

    instance_ref m_self;
    lease_settings m_settings;
    std::vector<instance_ref> m_current;
    std::optional<std::vector<instance_ref>> m_next; ///< Being written; the outcome is unknown.
    std::vector<instance_ref> m_candidate; ///< Receives renewals, but has not been written.
    std::vector<witness_contact> m_contacts;
    witness_planner m_planner;
    std::uint64_t m_sequence = 0;
    time_point m_lastCall;
    time_point m_observingSince;
    std::optional<lease_end> m_end;
};

} // namespace heatherdrift
