#include "admission/crash_suspects.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr std::size_t maxLives = 8; ///< Per suspect; many backend servers may end at once.

} // namespace

crash_suspects::crash_suspects(const crash_suspect_settings& settings)
    : m_settings(settings)
    , m_suspects(settings.maxSuspects)
{
}

// Below that number of crashes the other nodes ask for answers when they report the next one. A popular request is
// answered by many nodes after each crash, and would cost a message from each of them to all others.
bool crash_suspects::recordAnswer(request_fingerprint request)
{
    auto* record = m_suspects.find(request);
    if (!record)
        return false;
    record->isAnswered = true;
    if (record->lives.size() + 1 < m_settings.refusedCrashes)
        return false;
    clear(request);
    return true;
}

std::vector<request_fingerprint> crash_suspects::recordCrash(const backend_crash& crash, time_point now)
{
    std::vector<request_fingerprint> answered;
    if (crash.suspects.empty())
        return answered;
    auto& known = findOrAdd(crash.life);
    for (const auto request : crash.suspects) {
        if (known.cleared.contains(request) || !known.suspects.insert(request).second)
            continue;
        auto& record = m_suspects.getOrInsert(request);
        if (std::exchange(record.isAnswered, false)) {
            answered.push_back(request);
            for (const auto& life : record.lives)
                markCleared(request, life);
            record = {};
        }
        addCrash(record, crash.life, now);
    }
    return answered;
}

void crash_suspects::addCrash(suspect& record, const std::string& life, time_point now)
{
    if (isForgotten(record, now))
        record = {};
    // Crashes soon after the last one belong to runs that had begun before the refusal.
    if (record.lives.size() >= m_settings.refusedCrashes && now - record.lastCrashAt > trialDelay(record) / 2)
        ++record.failedTrials;
    record.lastCrashAt = now;
    if (std::ranges::find(record.lives, life) == record.lives.end())
        record.lives.push_back(life);
    if (record.lives.size() > maxLives)
        record.lives.erase(record.lives.begin());
}

bool crash_suspects::dropCrashesBefore(request_fingerprint request, const std::string& life)
{
    auto* record = m_suspects.find(request);
    if (!record)
        return false;
    const auto found = std::ranges::find(record->lives, life);
    if (found == record->lives.end() || found == record->lives.begin())
        return false;
    for (auto one = record->lives.begin(); one != found; ++one)
        markCleared(request, *one);
    record->lives.erase(record->lives.begin(), found);
    record->failedTrials = 0;
    return true;
}

void crash_suspects::clear(request_fingerprint request)
{
    m_suspects.erase(request);
    for (auto& crash : m_crashes) {
        if (crash.suspects.erase(request) > 0)
            crash.cleared.insert(request);
    }
}

void crash_suspects::markCleared(request_fingerprint request, const std::string& life)
{
    const auto crash = std::ranges::find(m_crashes, life, &known_crash::life);
    if (crash != m_crashes.end() && crash->suspects.erase(request) > 0)
        crash->cleared.insert(request);
}

crash_suspects::known_crash& crash_suspects::findOrAdd(const std::string& life)
{
    const auto found = std::ranges::find(m_crashes, life, &known_crash::life);
    if (found != m_crashes.end())
        return *found;
    if (m_crashes.size() >= m_settings.maxCrashes)
        m_crashes.pop_front();
    return m_crashes.emplace_back(known_crash { life, {}, {} });
}

bool crash_suspects::isForgotten(const suspect& record, time_point now) const
{
    return record.lastCrashAt != time_point::min() && now - record.lastCrashAt >= m_settings.memory;
}

duration crash_suspects::trialDelay(const suspect& record) const
{
    auto delay = m_settings.firstTrialDelay;
    for (int i = 0; i < record.failedTrials && delay < m_settings.memory; ++i)
        delay *= m_settings.trialDelayFactor;
    return std::min(delay, m_settings.memory);
}

std::size_t crash_suspects::crashCount(request_fingerprint request) const
{
    const auto* record = m_suspects.find(request);
    return record ? record->lives.size() : 0;
}

std::optional<time_point> crash_suspects::refusedUntil(request_fingerprint request, time_point now)
{
    const auto* record = m_suspects.find(request);
    if (!record || record->lives.size() < m_settings.refusedCrashes)
        return std::nullopt;
    const auto delay = trialDelay(*record);
    const auto later = std::chrono::duration_cast<duration>(delay / 2 * m_settings.trialPosition);
    const auto until = record->lastCrashAt + std::min(delay + later, m_settings.memory);
    if (now >= until)
        return std::nullopt;
    // Other suspects do not take the place of a request that is still refused.
    m_suspects.touch(request);
    return until;
}

bool crash_suspects::isTrial(request_fingerprint request, time_point now) const
{
    const auto* record = m_suspects.find(request);
    return record && record->lives.size() >= m_settings.refusedCrashes && !isForgotten(*record, now);
}

std::vector<backend_crash> crash_suspects::crashes() const
{
    std::vector<backend_crash> out;
    for (const auto& crash : m_crashes) {
        if (!crash.suspects.empty())
            out.push_back({ crash.life, { crash.suspects.begin(), crash.suspects.end() } });
    }
    return out;
}

} // namespace heatherdrift
