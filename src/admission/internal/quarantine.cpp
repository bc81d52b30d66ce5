#include "admission/quarantine.h"

#include "base/hash.h"

#include <algorithm>

namespace heatherdrift {

quarantine::quarantine(const quarantine_settings& settings)
    : m_settings(settings)
    , m_records(settings.mostFingerprints)
    , m_known(settings.mostStrikes)
{
}

quarantine_decision quarantine::decide(request_fingerprint fingerprint, time_point now)
{
    if (isRefused(fingerprint, now))
        return quarantine_decision::refuse;
    if (suspicion(fingerprint, now) < m_settings.leastSuspicion)
        return quarantine_decision::run;
    // The same content may be sent many times at once; one run of it is enough to clear all of them.
    const bool isTaken = !m_isolated.empty() && now < m_isolatedUntil;
    if (isTaken || m_isolated.contains(fingerprint))
        return quarantine_decision::wait;
    m_isolated.insert(fingerprint);
    m_isolatedUntil = now + m_settings.isolation;
    return quarantine_decision::run_isolated;
}

failure quarantine::refusal() const
{
    return notRun(error_code::quarantined, "requests with this content crashed backend servers");
}

void quarantine::finished(request_fingerprint fingerprint, bool answered, time_point now)
{
    if (m_isolated.erase(fingerprint) == 0)
        return;
    // The ids of its strikes stay known, so that a late copy of an old strike does not bring the suspicion back.
    if (answered && !isRefused(fingerprint, now))
        m_records.erase(fingerprint);
}

time_point quarantine::nextIsolationAt() const { return m_isolated.empty() ? time_point::min() : m_isolatedUntil; }

// If suspects were in flight, one of them is the likely cause; the others in flight still get the weight of a first
// crash, in case that a new cause ran beside an innocent suspect. Copies of one content count once.
std::vector<crash_strike> quarantine::crashed(
    std::string_view crashId, const std::vector<request_fingerprint>& inFlight, time_point now)
{
    const std::set<request_fingerprint> distinct(inFlight.begin(), inFlight.end());
    const auto suspects = static_cast<double>(
        std::ranges::count_if(distinct, [&](request_fingerprint one) { return m_isolated.contains(one); }));
    // With very many in flight each one still becomes a suspect, or none would ever be isolated.
    const double otherWeight
        = std::max(m_settings.aloneWeight / static_cast<double>(distinct.size()), 2 * m_settings.leastSuspicion);
    std::vector<crash_strike> strikes;
    for (const auto fingerprint : distinct) {
        const double weight = m_isolated.contains(fingerprint) ? m_settings.isolatedWeight / suspects : otherWeight;
        strikes.push_back({ hashBytes(crashId, fingerprint), fingerprint, weight, now });
    }
    m_isolated.clear();
    merge(strikes);
    return strikes;
}

void quarantine::merge(const std::vector<crash_strike>& strikes)
{
    for (const auto& strike : strikes) {
        if (m_known.find(strike.id))
            continue;
        m_known.use(strike.id);
        apply(strike);
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

void quarantine::apply(const crash_strike& strike)
{
    auto& record = m_records.use(strike.fingerprint, decaying_sum(m_settings.memory));
    record.weight.add(strike.weight, strike.at);
    if (record.weight.value(strike.at) >= m_settings.limit)
        record.refusedUntil = std::max(record.refusedUntil, strike.at + m_settings.refusal);
}

} // namespace heatherdrift
