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
    , m_listeningSince(now)
{
    retainContacts();
}

renewal_batch lease_holder::poll(time_point now, std::int64_t configurationVersion)
{
    noteCall(now);
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

void lease_holder::send(contact& to, renewal_batch& batch, time_point now, std::int64_t configurationVersion)
{
    if (to.lastAnswer == neverValid)
        to.lastAnswer = now;
    // A grant for an older renewal would be worth nothing.
    std::erase_if(
        to.outstanding, [&](const sent_renewal& sent) { return sent.at + m_settings.holderGrantTime() <= now; });
    to.outstanding.push_back({ ++m_sequence, now });
    to.nextSend = now + m_settings.renewalInterval;
    batch.renewals.push_back({ m_self, to.witness, m_sequence, configurationVersion });
}

// The time of sending counts, not that of receipt: the witness counted its grant from some moment after the sending,
// however late the grant arrives. A second copy finds its renewal answered already.
void lease_holder::receive(const lease_grant& grant, time_point now)
{
    noteCall(now);
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
    noteCall(now);
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
        // Late refusals of an older incarnation say nothing about a newer one.
        if (entry.witness.id == refusal.witness.id && entry.witness.number < refusal.witness.number)
            entry.isGone = true;
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

// With m the majority, the m-th newest grant is the first whose end leaves fewer than m.
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
    noteCall(now);
    if (m_end || m_next || !mayChange(self))
        return std::nullopt;
    const auto planned = m_planner.plan(self, members, m_current, health(now), now);
    const bool isNewCandidate = planned.witnesses != m_candidate;
    m_candidate = planned.witnesses;
    if (isNewCandidate)
        retainContacts();
    if (planned.need == witness_need::none || !isTried(planned, now))
        return std::nullopt;
    return m_candidate;
}

// A set in which every witness has granted does not have to be changed again soon. When the lease is at stake, a
// majority is enough.
bool lease_holder::isTried(const witness_plan& planned, time_point now) const
{
    const auto isGranting = [&](const instance_ref& witness) {
        return std::any_of(m_contacts.begin(), m_contacts.end(),
            [&](const contact& entry) { return entry.witness == witness && entry.grantedUntil > now; });
    };
    const auto granting
        = static_cast<std::size_t>(std::count_if(planned.witnesses.begin(), planned.witnesses.end(), isGranting));
    const auto size = planned.witnesses.size();
    return granting >= (planned.need == witness_need::urgent ? majorityOf(size) : size);
}

bool lease_holder::beginWitnessChange(const member_row& current, std::vector<instance_ref> next)
{
    if (m_end || m_next || !mayChange(current) || next == current.witnesses)
        return false;
    m_next = std::move(next);
    m_candidate.clear();
    retainContacts();
    return true;
}

void lease_holder::settleWitnessChange(change_outcome outcome)
{
    if (!m_next)
        return;
    if (outcome == change_outcome::applied)
        m_current = std::move(*m_next);
    m_next.reset();
    retainContacts();
}

// The conditional write alone does not keep a fencing row's witness set as it is: a holder that has read the marked row
// knows its version.
bool lease_holder::mayChange(const member_row& row) const
{
    const bool isFree = row.state == member_state::joining || row.state == member_state::active
        || row.state == member_state::draining;
    return isFree && row.self == m_self;
}

lease_holder::contact* lease_holder::find(const instance_ref& witness)
{
    const auto found = std::find_if(
        m_contacts.begin(), m_contacts.end(), [&](const contact& entry) { return entry.witness == witness; });
    return found == m_contacts.end() ? nullptr : &*found;
}

// After a pause of this process every witness looks silent until its answers have been read.
void lease_holder::noteCall(time_point now)
{
    if (now - m_lastCall > m_settings.renewalInterval + m_settings.pauseLimit())
        m_listeningSince = now;
    m_lastCall = std::max(m_lastCall, now);
}

// Grants are for the holder's incarnation, whichever set the witness is in, so contacts survive a change.
void lease_holder::retainContacts()
{
    std::vector<contact> kept;
    const auto keep = [&](const std::vector<instance_ref>& witnesses) {
        for (const auto& witness : witnesses) {
            if (std::any_of(kept.begin(), kept.end(), [&](const contact& entry) { return entry.witness == witness; }))
                continue;
            auto* known = find(witness);
            kept.push_back(known ? *known : contact { witness, {}, neverValid, neverValid, neverValid, false });
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
        const auto since = std::max(entry.lastAnswer, m_listeningSince);
        const bool isAsked = entry.lastAnswer != neverValid;
        states.push_back({ entry.witness, isAsked && now - since >= m_settings.silenceLimit, entry.isGone });
    }
    return states;
}

} // namespace heatherdrift
