#include "control/internal/lease_driver.h"

#include "control/internal/wire_convert.h"
#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    constexpr duration proposalInterval = std::chrono::milliseconds(100);

} // namespace

lease_driver::lease_driver(control_context& context, const member_row& self, hooks callbacks)
    : m_context(context)
    , m_hooks(std::move(callbacks))
    , m_self(self.self)
    , m_holder(self.self, self.witnesses, context.lease, context.now())
    , m_witness(self.self, context.lease, context.now())
{
    for (const auto& [id, member] : context.view.members())
        m_witness.updateMember(member.row, context.now());
    m_witness.updateMember(self, context.now());
    onConfiguration(context.view.current() ? context.view.current()->version : 0);
}

void lease_driver::tick(time_point now)
{
    if (now >= m_nextPoll)
        poll(now);
    if (now >= m_nextProposal)
        proposeChange(now);
    publish();
}

void lease_driver::poll(time_point now)
{
    const auto batch = m_holder.poll(now, m_configurationVersion);
    const auto digest = m_context.replica.digest();
    for (const auto& renewal : batch.renewals)
        m_context.send(renewal.witness, toMessage(renewal, digest));
    m_nextPoll = batch.nextAt;
}

void lease_driver::proposeChange(time_point now)
{
    m_nextProposal = now + proposalInterval;
    const auto* self = m_context.view.findMember(m_self.id);
    if (m_isWritingWitnesses || !self || self->row.self != m_self)
        return;
    const auto proposed = m_holder.proposeWitnesses(self->row, m_context.view.memberRows(), now);
    if (!proposed)
        return;
    // The holder must be in the changing state before the write can take effect.
    if (!m_holder.beginWitnessChange(self->row, *proposed))
        return;
    m_isWritingWitnesses = m_hooks.writeWitnesses(*proposed);
    if (!m_isWritingWitnesses)
        m_holder.settleWitnessChange(change_outcome::not_applied);
}

void lease_driver::onWitnessesWritten(bool isApplied)
{
    if (!std::exchange(m_isWritingWitnesses, false))
        return;
    m_holder.settleWitnessChange(isApplied ? change_outcome::applied : change_outcome::not_applied);
    if (isApplied)
        logEvent(log_event::witness_set_changed, { { "witnesses", std::to_string(m_holder.witnesses().size()) } });
    m_nextPoll = {};
}

void lease_driver::publish()
{
    const auto now = m_context.now();
    const auto until = m_holder.validUntil();
    const bool hasLease = now < until;
    if (hasLease != m_hadLease) {
        logEvent(hasLease ? log_event::lease_acquired : log_event::lease_lost, { { "holder", toString(m_self) } });
        m_hadLease = hasLease;
    }
    if (until != m_publishedExpiry) {
        m_publishedExpiry = until;
        m_hooks.onExpiryChanged(until);
    }
    if (const auto ended = m_holder.ended())
        m_hooks.onEnded(*ended);
}

bool lease_driver::onMessage(const instance_ref& sender, const wire::Message& message)
{
    const auto now = m_context.now();
    if (message.__isset.renewal) {
        answerRenewal(sender, fromWire(message.renewal));
    } else if (message.__isset.grant) {
        m_holder.receive(fromWire(message.grant), now);
        publish();
    } else if (message.__isset.refusal) {
        m_holder.receive(fromWire(message.refusal), now);
        publish();
    } else if (message.__isset.promiseRequest) {
        std::visit([&](const auto& answer) { m_context.send(sender, toMessage(answer)); },
            m_witness.answer(fromWire(message.promiseRequest), now));
    } else if (message.__isset.silenceInquiry) {
        m_context.send(sender, toMessage(m_witness.answer(fromWire(message.silenceInquiry), now)));
    } else {
        return false;
    }
    return true;
}

void lease_driver::answerRenewal(const instance_ref& sender, const lease_renewal& renewal)
{
    const auto digest = m_context.replica.digest();
    std::visit([&](const auto& answer) { m_context.send(sender, toMessage(answer, digest)); },
        m_witness.answer(renewal, m_context.now()));
}

void lease_driver::onMember(const member_row& row) { m_witness.updateMember(row, m_context.now()); }

void lease_driver::onConfiguration(std::int64_t version)
{
    m_configurationVersion = version;
    m_witness.updateConfigurationVersion(version, m_context.now());
}

void lease_driver::end(lease_end reason) { m_holder.end(reason); }

} // namespace heatherdrift
