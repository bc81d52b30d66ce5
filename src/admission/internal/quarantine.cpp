#include "admission/quarantine.h"

#include "base/hash.h"

#include <algorithm>

namespace heatherdrift {

quarantine::quarantine(const quarantine_settings& settings)
    : m_settings(settings)
    , m_records(settings.maxFingerprints)
    , m_appliedIds(settings.maxAttributions)
{
}

quarantine_decision quarantine::decide(request_fingerprint fingerprint, time_point now)
{
    if (isRefused(fingerprint, now))
        return quarantine_decision::refuse;
    if (suspicion(fingerprint, now) < m_settings.minSuspicion)
        return quarantine_decision::run;
    // The same content may be sent many times concurrently; one run clears all copies.
    const bool isAnotherIsolated = !m_isolated.empty() && now < m_isolatedUntil;
    if (isAnotherIsolated || m_isolated.contains(fingerprint))
        return quarantine_decision::wait;
    m_isolated.insert(fingerprint);
    m_isolatedUntil = now + m_settings.isolationPeriod;
    return quarantine_decision::run_isolated;
}

failure quarantine::refusal() const
{
    return notRun(error_code::quarantined, "requests with this content crashed backend servers");
}

void quarantine::finishIsolatedRun(request_fingerprint fingerprint, bool hasSucceeded, time_point now)
{
    if (m_isolated.erase(fingerprint) == 0)
        return;
    // The ids of its attributions are kept, so that a late duplicate does not restore the suspicion.
    if (hasSucceeded && !isRefused(fingerprint, now))
        m_records.erase(fingerprint);
}

time_point quarantine::nextIsolationAt() const { return m_isolated.empty() ? time_point::min() : m_isolatedUntil; }

// If suspects were in flight, one of them is the likely cause; the others in flight still get the weight of a first
// crash, in case the actual cause ran concurrently with an innocent suspect. Requests with the same content count once.
std::vector<crash_strike> quarantine::recordCrash(
    std::string_view crashId, const std::vector<request_fingerprint>& inFlight, time_point now)
{
    const std::set<request_fingerprint> distinct(inFlight.begin(), inFlight.end());
    const auto suspects = static_cast<double>(
        std::ranges::count_if(distinct, [&](request_fingerprint one) { return m_isolated.contains(one); }));
    // Lower bound: with very many requests in flight each one still becomes a suspect, or none would ever be isolated.
    const double otherWeight
        = std::max(m_settings.crashWeight / static_cast<double>(distinct.size()), 2 * m_settings.minSuspicion);
    std::vector<crash_strike> attributions;
    for (const auto fingerprint : distinct) {
        const double weight
            = m_isolated.contains(fingerprint) ? m_settings.isolatedCrashWeight / suspects : otherWeight;
        attributions.push_back({ hashBytes(crashId, fingerprint), fingerprint, weight, now });
    }
    m_isolated.clear();
    merge(attributions);
    return attributions;
}

void quarantine::merge(const std::vector<crash_strike>& attributions)
{
    for (const auto& attribution : attributions) {
        if (m_appliedIds.find(attribution.id))
            continue;
        m_appliedIds.getOrInsert(attribution.id);
        apply(attribution);
    }
}

double quarantine::suspicion(request_fingerprint fingerprint, time_point now) const
{
    const auto* found = m_records.find(fingerprint);
    return found ? found->weight.value(now) : 0;
}

bool quarantine::isRefused(request_fingerprint fingerprint, time_point now) const
{
    const auto* found = m_records.find(fingerprint);
    return found && now < found->refusedUntil;
}

void quarantine::apply(const crash_strike& attribution)
{
    auto& record = m_records.getOrInsert(attribution.fingerprint, decaying_sum(m_settings.decayTimeConstant));
    record.weight.add(attribution.weight, attribution.at);
    if (record.weight.value(attribution.at) >= m_settings.refusalThreshold)
        record.refusedUntil = std::max(record.refusedUntil, attribution.at + m_settings.refusalPeriod);
}

} // namespace heatherdrift
