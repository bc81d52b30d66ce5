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
    , m_observingSince(now)
{
}

// A renewal counts as contact even if it is refused: a holder with an old configuration or an outdated witness set is
// alive and recovers by itself, and taking it over would turn one configuration fault into many takeovers.
renewal_answer witness::answer(const lease_renewal& renewal, time_point now)
{
    detectPause(now);
    auto& record = m_records[renewal.holder.id];
    if (renewal.holder.number < record.newestIncarnation)
        return refuse(renewal, refusal_reason::superseded);
    if (renewal.holder.number > record.newestIncarnation) {
        // The row of the older incarnation does not apply to this one, whose own row will arrive.
        record.newestIncarnation = renewal.holder.number;
        record.state = member_state::joining;
        record.stateSince = now;
    }
    record.lastContact = now;
    const bool isRefused = renewal.holder.number <= record.refusedUpTo;
    if (isRefused && !m_settings.mutations.grantAfterPromise)
        return refuse(renewal, refusal_reason::fenced);
    if (renewal.witness != m_self && !m_settings.mutations.ignoreWitnessIncarnation)
        return refuse(renewal, refusal_reason::wrong_witness);
    if (isConfigurationStale(renewal.configurationVersion, now))
        return refuse(renewal, refusal_reason::stale_configuration);
    record.grantEnd = std::max(record.grantEnd, now + m_settings.witnessGrantTime());
    return lease_grant { renewal.holder, renewal.witness, renewal.sequence };
}

renewal_answer witness::refuse(const lease_renewal& renewal, refusal_reason reason) const
{
    return lease_refusal { renewal.holder, m_self, renewal.sequence, reason };
}

promise_answer witness::answer(const promise_request& request, time_point now)
{
    detectPause(now);
    if (request.witness != m_self)
        return promise_refusal { request.holder, m_self };
    auto& record = m_records[request.holder.id];
    record.refusedUpTo = std::max(record.refusedUpTo, request.holder.number);
    const auto remaining = record.grantEnd > now ? record.grantEnd - now : duration(0);
    return lease_promise { request.holder, m_self, remaining };
}

silence_report witness::answer(const silence_inquiry& inquiry, time_point now)
{
    detectPause(now);
    const auto found = m_records.find(inquiry.holder.id);
    const auto silence = found == m_records.end() ? now - m_observingSince : silentFor(found->second, now);
    return { inquiry.holder, m_self, silence };
}

void witness::updateMember(const member_row& row, time_point now)
{
    detectPause(now);
    const auto position = std::find_if(
        row.witnesses.begin(), row.witnesses.end(), [&](const instance_ref& entry) { return entry.id == m_self.id; });
    const bool isWatched = position != row.witnesses.end();
    const auto found = m_records.find(row.self.id);
    if (found == m_records.end() && !isWatched && !isFencedState(row.state))
        return;
    auto& record = m_records[row.self.id];
    if (row.self.number < record.newestIncarnation)
        return;
    if (row.self.number > record.newestIncarnation || row.state != record.state || isWatched != record.isWatched)
        record.stateSince = now;
    record.newestIncarnation = row.self.number;
    record.state = row.state;
    record.isWatched = isWatched;
    record.rank = static_cast<std::size_t>(position - row.witnesses.begin());
    if (row.state == member_state::fenced || row.state == member_state::left)
        record.refusedUpTo = std::max(record.refusedUpTo, row.self.number);
}

void witness::updateConfigurationVersion(std::int64_t version, time_point now)
{
    detectPause(now);
    if (!m_versions.empty() && version <= m_versions.back().version)
        return;
    m_versions.push_back({ version, now });
    while (m_versions.size() > 1 && now - m_versions[1].since > m_settings.staleConfigurationLimit)
        m_versions.erase(m_versions.begin());
}

// The holder's configuration has been outdated since the first newer version came into force here.
bool witness::isConfigurationStale(std::int64_t version, time_point now) const
{
    const auto newer = std::find_if(m_versions.begin(), m_versions.end(),
        [version](const version_start& entry) { return entry.version > version; });
    return newer != m_versions.end() && now - newer->since > m_settings.staleConfigurationLimit;
}

void witness::onTakeoverFinished(const instance_ref& holder)
{
    const auto found = m_records.find(holder.id);
    if (found != m_records.end())
        found->second.finishedUpTo = std::max(found->second.finishedUpTo, holder.number);
}

std::vector<due_takeover> witness::takeoversDue(time_point now)
{
    detectPause(now);
    evictIdleRecords(now);
    std::vector<due_takeover> calls;
    for (const auto& [id, record] : m_records) {
        if (isDue(record, now))
            calls.push_back({ { id, record.newestIncarnation }, isFencedState(record.state) });
    }
    return calls;
}

// A promise must last as long as this process; otherwise a paused holder could still collect grants after its takeover.
// So a record with a promise is kept, at most one per instance; it also refuses all older incarnations. A record
// without a promise is only used to watch the holder and to refuse early.
void witness::evictIdleRecords(time_point now)
{
    std::erase_if(m_records, [now](const auto& entry) {
        const holder_record& record = entry.second;
        return !record.isWatched && record.refusedUpTo == 0 && record.grantEnd < now;
    });
}

// For a fencing or fenced row, the time since the change to that state decides, even if renewals arrive: the takeover
// cannot be undone, and the instance that started it should have completed it by now.
bool witness::isDue(const holder_record& record, time_point now) const
{
    if (!record.isWatched || record.state == member_state::left || record.finishedUpTo >= record.newestIncarnation)
        return false;
    const auto delay = m_settings.silenceLimit + m_settings.rankDelay * static_cast<duration::rep>(record.rank);
    if (isFencedState(record.state))
        return now - std::max(record.stateSince, m_observingSince) >= delay;
    return silentFor(record, now) >= delay;
}

duration witness::silentFor(const holder_record& record, time_point now) const
{
    return now - std::max({ record.lastContact, record.stateSince, m_observingSince });
}

void witness::detectPause(time_point now)
{
    if (now - m_lastCall > m_settings.pauseLimit())
        m_observingSince = now;
    m_lastCall = std::max(m_lastCall, now);
}

} // namespace heatherdrift
