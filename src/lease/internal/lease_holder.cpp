#include "lease/lease_holder.h"

#include "lease/witness_selection.h"

#include <algorithm>
#include <functional>

namespace heatherdrift {

lease_holder::lease_holder(
    instance_ref self, std::vector<instance_ref> witnesses, const lease_settings& settings, time_point now)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_current(std::move(witnesses))
    , m_planner(settings)
    , m_lastCall(now)
    , m_observingSince(now)
{
    updateContacts();
}

renewal_batch lease_holder::poll(time_point now, std::int64_t configurationVersion)
{
    detectPause(now);
    renewal_batch batch { {}, now + m_settings.renewalInterval };
    if (m_end)
        return batch;
    for (auto& entry : m_contacts) {
        if (entry.nextSend <= now)
            send(entry, batch, now, configurationVersion);
        batch.nextAt = std::min(batch.nextAt, entry.nextSend);
    }
    return batch;
}

void lease_holder::send(witness_contact& to, renewal_batch& batch, time_point now, std::int64_t configurationVersion)
{
    if (to.lastAnswer == neverValid)
        to.lastAnswer = now;
    // A grant for an older renewal would have expired already.
    std::erase_if(
        to.outstanding, [&](const sent_renewal& sent) { return sent.at + m_settings.holderGrantTime() <= now; });
    to.outstanding.push_back({ ++m_sequence, now });
    to.nextSend = now + m_settings.renewalInterval;
    batch.renewals.push_back({ m_self, to.witness, m_sequence, configurationVersion });
}

// The grant starts when the renewal was sent, not when the grant arrives: the witness started its grant at some time
// after the sending, however late the grant arrives. A duplicate of the grant has no outstanding renewal any more.
void lease_holder::receive(const lease_grant& grant, time_point now)
{
    detectPause(now);
    auto* from = find(grant.witness);
    if (!from || grant.holder != m_self)
        return;
    const auto sent = std::find_if(from->outstanding.begin(), from->outstanding.end(),
        [&](const sent_renewal& entry) { return entry.sequence == grant.sequence; });
    if (sent == from->outstanding.end())
        return;
    const auto start = m_settings.mutations.countFromReceipt ? now : sent->at;
    from->grantedUntil = std::max(from->grantedUntil, start + m_settings.holderGrantTime());
    from->lastAnswer = now;
    from->outstanding.erase(sent);
}

void lease_holder::receive(const lease_refusal& refusal, time_point now)
{
    detectPause(now);
    if (refusal.holder != m_self)
        return;
    if (refusal.reason == refusal_reason::fenced)
        return end(lease_end::fenced);
    if (refusal.reason == refusal_reason::superseded)
        return end(lease_end::superseded);
    if (auto* from = find(refusal.witness))
        from->lastAnswer = now;
    if (refusal.reason != refusal_reason::wrong_witness)
        return;
    for (auto& entry : m_contacts) {
        // A delayed refusal from an older incarnation does not apply to a newer one.
        if (entry.witness.id == refusal.witness.id && entry.witness.number < refusal.witness.number)
            entry.isReplaced = true;
    }
}

void lease_holder::end(lease_end reason)
{
    if (!m_end)
        m_end = reason;
}

time_point lease_holder::validUntil() const
{
    if (m_end)
        return neverValid;
    if (!m_next)
        return majorityUntil(m_current);
    if (m_settings.mutations.newSetOnlyDuringChange)
        return majorityUntil(*m_next);
    return std::min(majorityUntil(m_current), majorityUntil(*m_next));
}

// With a majority of m, the lease ends with the m-th latest grant: after it fewer than m are left.
time_point lease_holder::majorityUntil(const std::vector<instance_ref>& witnesses) const
{
    if (witnesses.empty())
        return unboundedLease;
    std::vector<time_point> ends;
    for (const auto& entry : m_contacts) {
        if (std::find(witnesses.begin(), witnesses.end(), entry.witness) != witnesses.end())
            ends.push_back(entry.grantedUntil);
    }
    const auto majority = majorityOf(witnesses.size());
    if (ends.size() < majority)
        return neverValid;
    std::sort(ends.begin(), ends.end(), std::greater<>());
    return ends[majority - 1];
}

std::optional<std::vector<instance_ref>> lease_holder::proposeWitnesses(
    const member_row& self, const std::vector<member_row>& members, time_point now)
{
    detectPause(now);
    if (m_end || m_next || !canChangeWitnesses(self))
        return std::nullopt;
    const auto planned = m_planner.plan(self, members, m_current, health(now), now);
    const bool isNewCandidate = planned.witnesses != m_candidate;
    m_candidate = planned.witnesses;
    if (isNewCandidate)
        updateContacts();
    if (planned.urgency == change_urgency::none || !isCandidateReady(planned, now))
        return std::nullopt;
    return m_candidate;
}

// All witnesses must grant, so that the new set does not have to be changed again soon. If a majority of the current
// set does not answer, a majority of the new one is enough.
bool lease_holder::isCandidateReady(const witness_plan& planned, time_point now) const
{
    const auto isGranting = [&](const instance_ref& witness) {
        return std::any_of(m_contacts.begin(), m_contacts.end(),
            [&](const witness_contact& entry) { return entry.witness == witness && entry.grantedUntil > now; });
    };
    const auto granting
        = static_cast<std::size_t>(std::count_if(planned.witnesses.begin(), planned.witnesses.end(), isGranting));
    const auto size = planned.witnesses.size();
    return granting >= (planned.urgency == change_urgency::urgent ? majorityOf(size) : size);
}

bool lease_holder::beginWitnessChange(const member_row& current, std::vector<instance_ref> next)
{
    if (m_end || m_next || !canChangeWitnesses(current) || next == current.witnesses)
        return false;
    m_next = std::move(next);
    m_candidate.clear();
    updateContacts();
    return true;
}

void lease_holder::settleWitnessChange(change_outcome outcome)
{
    if (!m_next)
        return;
    if (outcome == change_outcome::applied)
        m_current = std::move(*m_next);
    m_next.reset();
    updateContacts();
}

// The conditional write alone does not protect the witness set of a fencing row: a holder that has read the row in that
// state has its current version.
bool lease_holder::canChangeWitnesses(const member_row& row) const
{
    const bool isFree = row.state == member_state::joining || row.state == member_state::active
        || row.state == member_state::draining;
    return isFree && row.self == m_self;
}

lease_holder::witness_contact* lease_holder::find(const instance_ref& witness)
{
    const auto found = std::find_if(
        m_contacts.begin(), m_contacts.end(), [&](const witness_contact& entry) { return entry.witness == witness; });
    return found == m_contacts.end() ? nullptr : &*found;
}

// After a pause of this process, every witness appears silent until its answers have been read.
void lease_holder::detectPause(time_point now)
{
    if (now - m_lastCall > m_settings.renewalInterval + m_settings.pauseLimit())
        m_observingSince = now;
    m_lastCall = std::max(m_lastCall, now);
}

// A grant is for the holder's incarnation, whichever set the witness is in, so the state of a witness that is in both
// sets is kept.
void lease_holder::updateContacts()
{
    std::vector<witness_contact> kept;
    const auto keep = [&](const std::vector<instance_ref>& witnesses) {
        for (const auto& witness : witnesses) {
            if (std::any_of(
                    kept.begin(), kept.end(), [&](const witness_contact& entry) { return entry.witness == witness; }))
                continue;
            auto* existing = find(witness);
            kept.push_back(
                existing ? *existing : witness_contact { witness, {}, neverValid, neverValid, neverValid, false });
        }
    };
    keep(m_current);
    if (m_next)
        keep(*m_next);
    keep(m_candidate);
    m_contacts = std::move(kept);
}

std::vector<witness_health> lease_holder::health(time_point now) const
{
    std::vector<witness_health> states;
    for (const auto& entry : m_contacts) {
        const auto since = std::max(entry.lastAnswer, m_observingSince);
        const bool isAsked = entry.lastAnswer != neverValid;
        states.push_back({ entry.witness, isAsked && now - since >= m_settings.silenceLimit, entry.isReplaced });
    }
    return states;
}

} // namespace heatherdrift
