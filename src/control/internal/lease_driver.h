#pragma once

#include "control/internal/control_context.h"
#include "lease/lease_holder.h"
#include "lease/witness.h"

#include <functional>
#include <optional>

namespace heatherdrift {

/// Exchanges lease messages: those of this process's own lease and those of the leases that it witnesses.
class lease_driver {
public:
    struct hooks {
        /// The expiry of this process's lease changed.
        std::function<void(time_point end)> onExpiryChanged;
        /// The lease ended permanently: the process was fenced or superseded.
        std::function<void(lease_end)> onEnded;
        /// Starts to write the witness set into the own row; returns false if that is not possible now.
        std::function<bool(const std::vector<instance_ref>&)> writeWitnesses;
    };

    lease_driver(control_context&, const member_row& self, hooks);

    void tick(time_point now);
    /// Returns whether this class handles messages of this kind.
    bool onMessage(const instance_ref& sender, const wire::Message&);
    void onMember(const member_row&);
    void onConfiguration(std::int64_t version);
    /// Reports the outcome of writeWitnesses().
    void onWitnessesWritten(bool isApplied);
    void end(lease_end);

    bool isValid(time_point now) const { return now < m_holder.validUntil(); }
    time_point validUntil() const { return m_holder.validUntil(); }
    const instance_ref& self() const { return m_self; }
    witness& ownWitness() { return m_witness; }
    const std::vector<instance_ref>& witnesses() const { return m_holder.witnesses(); }

private:
    void poll(time_point now);
    void proposeChange(time_point now);
    void publish();
    void answerRenewal(const instance_ref& sender, const lease_renewal&);

    control_context& m_context;
    hooks m_hooks;
    instance_ref m_self;
    lease_holder m_holder;
    witness m_witness;
    std::int64_t m_configurationVersion = 0;
    time_point m_nextPoll;
    time_point m_nextProposal;
    time_point m_publishedExpiry = neverValid;
    bool m_hadLease = false;
    bool m_isWritingWitnesses = false;
};

} // namespace heatherdrift
