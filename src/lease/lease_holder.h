#pragma once

#include "lease/lease_messages.h"
#include "lease/lease_settings.h"
#include "lease/witness_planner.h"

#include <optional>
#include <vector>

namespace heatherdrift {

/// End of an unbounded lease, far enough from the largest time_point for arithmetic.
constexpr time_point unboundedLease { std::chrono::hours(24 * 365 * 1000) };
/// validUntil() of a lease that was never granted or has ended for good.
constexpr time_point neverValid = time_point::min();

/// Why a lease ended for good. The process must stop serving and register as a new incarnation.
enum class lease_end { fenced, superseded };

enum class change_outcome { applied, not_applied };

struct renewal_batch {
    std::vector<lease_renewal> renewals; ///< To send now.
    time_point nextAt; ///< When to call poll() again at the latest.

    bool operator==(const renewal_batch&) const = default;
};

/// Holder's side of the lease of one incarnation. Pure: `now` is the caller's reading of the boot clock, taken before
/// the renewals are sent in poll().
///
/// A change of the witness set: proposeWitnesses() names a set; beginWitnessChange(); the write, by a witness_change;
/// when its outcome is known, settleWitnessChange().
class lease_holder {
public:
    /// Starts with the witness set of the instance's row, which must have been registered.
    lease_holder(instance_ref self, std::vector<instance_ref> witnesses, const lease_settings&, time_point now);

    renewal_batch poll(time_point now, std::int64_t configurationVersion);
    void receive(const lease_grant&, time_point now);
    void receive(const lease_refusal&, time_point now);
    /// For news from the store: the row is fenced or has a newer incarnation.
    void end(lease_end);

    /// The lease is valid before this time on the holder's clock: the time at which the last majority of grants is
    /// complete, during a change of the witness set in both sets.
    time_point validUntil() const;
    std::optional<lease_end> ended() const { return m_end; }
    const instance_ref& self() const { return m_self; }
    /// The settled set.
    const std::vector<instance_ref>& witnesses() const { return m_current; }
    bool isChanging() const { return m_next.has_value(); }

    /// The set to change to now, or nothing. Call it after each poll(). A candidate set is tried with renewals first
    /// and returned once its witnesses grant, so that the change does not interrupt the lease. `members` must be a
    /// complete list: an instance that sees nobody else chooses the empty set.
    std::optional<std::vector<instance_ref>> proposeWitnesses(
        const member_row& self, const std::vector<member_row>& members, time_point now);
    /// Call before the write, with the row that the write is conditional on. False if the witness set must not be
    /// written: a change is under way, the lease has ended, the row has the set already, is fencing, or is of another
    /// incarnation.
    bool beginWitnessChange(const member_row& current, std::vector<instance_ref> next);
    void settleWitnessChange(change_outcome);

private:
    struct sent_renewal {
        std::uint64_t sequence = 0;
        time_point at;
    };

    struct contact {
        instance_ref witness;
        std::vector<sent_renewal> outstanding;
        time_point grantedUntil = neverValid;
        time_point nextSend = neverValid;
        time_point lastAnswer = neverValid; ///< Or the first renewal, if there was no answer yet.
        bool isGone = false;
    };

    contact* find(const instance_ref&);
    void noteCall(time_point now);
    void send(contact&, renewal_batch&, time_point now, std::int64_t configurationVersion);
    void retainContacts();
    bool mayChange(const member_row&) const;
    time_point majorityUntil(const std::vector<instance_ref>& witnesses) const;
    std::vector<witness_health> health(time_point now) const;
    bool isTried(const witness_plan&, time_point now) const;

    instance_ref m_self;
    lease_settings m_settings;
    std::vector<instance_ref> m_current;
    std::optional<std::vector<instance_ref>> m_next; ///< Written or being written, outcome unknown.
    std::vector<instance_ref> m_candidate; ///< Tried, not written.
    std::vector<contact> m_contacts;
    witness_planner m_planner;
    std::uint64_t m_sequence = 0;
    time_point m_lastCall;
    time_point m_listeningSince;
    std::optional<lease_end> m_end;
};

} // namespace heatherdrift
