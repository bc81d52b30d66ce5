#include "lease/witness.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    bool isFencedState(member_state state) { return state == member_state::fencing || state == member_state::fenced; }

} // namespace

witness::witness(instance_ref self, const lease_settings& settings, time_point now)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_lastCall(now)
    , m_listeningSince(now)
{
}

// A renewal counts as a sign of life whatever the answer is: a holder with an old configuration or an outdated witness
// set is alive and will mend itself, and taking it over would turn a fault of the configuration into many takeovers.
renewal_answer witness::answer(const lease_renewal& renewal, time_point now)
{
    noteCall(now);
    auto& known = m_records[renewal.holder.id];
    if (renewal.holder.number < known.newest)
        return refuse(renewal, refusal_reason::superseded);
    if (renewal.holder.number > known.newest) {
        // What the row said of the older incarnation does not hold for this one; its own row will arrive.
        known.newest = renewal.holder.number;
        known.state = member_state::joining;
        known.stateSince = now;
    }
    known.lastContact = now;
    const bool isRefused = renewal.holder.number <= known.refusedUpTo;
    if (isRefused && !m_settings.mutations.grantAfterPromise)
        return refuse(renewal, refusal_reason::fenced);
    if (renewal.witness != m_self && !m_settings.mutations.ignoreWitnessIncarnation)
        return refuse(renewal, refusal_reason::wrong_witness);
    if (isConfigurationStale(renewal.configurationVersion, now))
        return refuse(renewal, refusal_reason::stale_configuration);
    known.grantEnd = std::max(known.grantEnd, now + m_settings.witnessGrantTime());
    return lease_grant { renewal.holder, renewal.witness, renewal.sequence };
}

renewal_answer witness::refuse(const lease_renewal& renewal, refusal_reason reason) const
{
    return lease_refusal { renewal.holder, m_self, renewal.sequence, reason };
}

promise_answer witness::answer(const promise_request& request, time_point now)
{
    noteCall(now);
    if (request.witness != m_self)
        return promise_refusal { request.holder, m_self };
    auto& known = m_records[request.holder.id];
    known.refusedUpTo = std::max(known.refusedUpTo, request.holder.number);
    const auto remaining = known.grantEnd > now ? known.grantEnd - now : duration(0);
    return lease_promise { request.holder, m_self, remaining };
}

silence_report witness::answer(const silence_inquiry& inquiry, time_point now)
{
    noteCall(now);
    const auto found = m_records.find(inquiry.holder.id);
    const auto silence = found == m_records.end() ? now - m_listeningSince : silentFor(found->second, now);
    return { inquiry.holder, m_self, silence };
}

void witness::learnMember(const member_row& row, time_point now)
{
    noteCall(now);
    const auto position = std::find_if(
        row.witnesses.begin(), row.witnesses.end(), [&](const instance_ref& entry) { return entry.id == m_self.id; });
    const bool isWatched = position != row.witnesses.end();
    const auto found = m_records.find(row.self.id);
    if (found == m_records.end() && !isWatched && !isFencedState(row.state))
        return;
    auto& known = m_records[row.self.id];
    if (row.self.number < known.newest)
        return;
    if (row.self.number > known.newest || row.state != known.state || isWatched != known.isWatched)
        known.stateSince = now;
    known.newest = row.self.number;
    known.state = row.state;
    known.isWatched = isWatched;
    known.rank = static_cast<std::size_t>(position - row.witnesses.begin());
    if (row.state == member_state::fenced || row.state == member_state::left)
        known.refusedUpTo = std::max(known.refusedUpTo, row.self.number);
}

void witness::learnConfiguration(std::int64_t version, time_point now)
{
    noteCall(now);
    if (!m_versions.empty() && version <= m_versions.back().version)
        return;
    m_versions.push_back({ version, now });
    while (m_versions.size() > 1 && now - m_versions[1].since > m_settings.staleConfigurationLimit)
        m_versions.erase(m_versions.begin());
}

// The holder has been behind since the first newer version came into force here.
bool witness::isConfigurationStale(std::int64_t version, time_point now) const
{
    const auto newer = std::find_if(m_versions.begin(), m_versions.end(),
        [version](const version_start& entry) { return entry.version > version; });
    return newer != m_versions.end() && now - newer->since > m_settings.staleConfigurationLimit;
}

void witness::takeoverFinished(const instance_ref& holder)
{
    const auto found = m_records.find(holder.id);
    if (found != m_records.end())
        found->second.finished = std::max(found->second.finished, holder.number);
}

std::vector<takeover_call> witness::takeoversDue(time_point now)
{
    noteCall(now);
    forgetIdle(now);
    std::vector<takeover_call> calls;
    for (const auto& [id, known] : m_records) {
        if (isDue(known, now))
            calls.push_back({ { id, known.newest }, isFencedState(known.state) });
    }
    return calls;
}

// A promise must last as long as this process: without it a paused holder could still collect grants after its
// takeover. So a record with a promise is kept, at most one per instance; it also refuses all older incarnations. A
// record without a promise serves only to watch and to refuse early.
void witness::forgetIdle(time_point now)
{
    std::erase_if(m_records, [now](const auto& entry) {
        const record& known = entry.second;
        return !known.isWatched && known.refusedUpTo == 0 && known.grantEnd < now;
    });
}

// A row that is fencing or fenced is due by the time since then, heard or not: its takeover cannot be undone, and the
// instance that began it should have completed it by now.
bool witness::isDue(const record& known, time_point now) const
{
    if (!known.isWatched || known.state == member_state::left || known.finished >= known.newest)
        return false;
    const auto delay = m_settings.silenceLimit + m_settings.rankDelay * static_cast<duration::rep>(known.rank);
    if (isFencedState(known.state))
        return now - std::max(known.stateSince, m_listeningSince) >= delay;
    return silentFor(known, now) >= delay;
}

duration witness::silentFor(const record& known, time_point now) const
{
    return now - std::max({ known.lastContact, known.stateSince, m_listeningSince });
}

void witness::noteCall(time_point now)
{
    if (now - m_lastCall > m_settings.pauseLimit())
        m_listeningSince = now;
    m_lastCall = std::max(m_lastCall, now);
}

} // namespace heatherdrift
