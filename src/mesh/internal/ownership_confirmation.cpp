#include "mesh/internal/ownership.h"
#include "mesh/internal/ownership_timing.h"

namespace heatherdrift {

using namespace ownership_timing;

void ownership::confirmIfDue(time_point now)
{
    const bool isOwner = !m_holdManager.life().empty() && m_map.hasOwner(m_holdManager.life());
    if (!isOwner)
        return;
    // A write of this node that may still take effect would invalidate the promises of the others. One of an earlier
    // era only changes a row that is no longer in use.
    // A new owner has no confirmation yet and asks for one like the others.
    const auto age = now - std::max(m_holdManager.confirmedAt(), m_ownerSince);
    const bool mayAsk = isMapOutdated() || m_unresolvedVersion != m_version;
    if (now >= m_extensionDueAt && mayAsk && age > extensionAge) {
        m_extensionDueAt = now + extensionInterval;
        m_hooks.askOtherOwners();
    }
    if (now < m_confirmDueAt)
        return;
    m_confirmDueAt = now + confirmInterval;
    const bool isAsked = (isMapOutdated() || age < ownCheckAge) && m_hooks.askConfirmingOwner();
    if (!isAsked)
        checkMap([](bool) {});
}

void ownership::checkMap(std::function<void(bool isCurrent)> done)
{
    m_awaitingCheck.push_back(std::move(done));
    if (m_awaitingCheck.size() > 1)
        return;
    const auto now = m_hooks.now();
    conditional_write check;
    check.checks.push_back({ currentRow(), expectedVersion() });
    m_store.write(check, now + confirmTimeout, [this, version = m_version, now](const result<write_outcome>& outcome) {
        handleCheckResult(version, now, outcome);
    });
}

void ownership::handleCheckResult(row_version version, time_point sentAt, const result<write_outcome>& outcome)
{
    const auto waiting = std::exchange(m_awaitingCheck, {});
    m_storeAnswered = outcome.has_value() || outcome.error().code == error_code::store_restored;
    const bool isApplied = outcome.has_value() && outcome.value().isApplied;
    if (outcome.has_value() && !isApplied)
        adoptCurrent(outcome.value(), sentAt);
    const bool isCurrent = isApplied && version == m_version && !isMapOutdated();
    if (isCurrent) {
        recordCheck(version, sentAt);
        m_confirmedBy = "own check";
        m_holdManager.confirm(m_map, sentAt);
    }
    for (const auto& done : waiting)
        done(isCurrent);
    propose();
}

void ownership::recordCheck(row_version version, time_point at)
{
    m_checkedAt = version == m_checkedVersion ? std::max(m_checkedAt, at) : at;
    m_checkedVersion = version;
}

std::vector<life_name> ownership::otherOwners() const
{
    std::set<life_name> lives;
    for (const auto& range : m_map.ranges())
        lives.insert(range.owner);
    lives.erase(m_holdManager.life());
    lives.erase(life_name());
    return { lives.begin(), lives.end() };
}

void ownership::onConfirmed(time_point at)
{
    if (isMapOutdated())
        return;
    recordCheck(m_version, at);
    m_confirmedBy = "other owner";
    m_holdManager.confirm(m_map, at);
}

/// The owners that promise do not include one that gets keys by such a write and does not wait for a promise to end.
bool ownership::mayEarlierProcessWrite(time_point at) const
{
    const bool isNamedByEarlier = !m_isTableRead || m_version == m_versionAtStart;
    return isNamedByEarlier && !isMapOutdated() && at < m_startedAt + lateWriteTime;
}

void ownership::onPromised(time_point askedAt)
{
    if (mayEarlierProcessWrite(askedAt))
        return;
    m_confirmedBy = "promises";
    m_holdManager.extend(askedAt);
    m_hooks.onChanged();
}

std::optional<duration> ownership::recentlyChecked() const
{
    if (m_checkedAt == time_point::min() || m_checkedVersion != m_version || isMapOutdated())
        return std::nullopt;
    // Only an owner that has missed its own confirmation asks others than the first one. Their last confirmation is new
    // enough for it; a check by each of them would cost one call to the store per owner.
    const duration maxAge = isFirstOwner() ? duration(maxSharedCheckAge) : duration(ownCheckAge);
    const auto age = m_hooks.now() - m_checkedAt;
    return age <= maxAge ? std::optional<duration>(age) : std::nullopt;
}

void ownership::handleConfirmation(const map_question& question, statement_function done)
{
    noteEra(question.era);
    const auto version = question.version;
    const auto state = [this, version](map_statement ofSame) {
        if (version == m_version)
            return ofSame;
        return version < m_version ? map_statement::outdated : map_statement::unknown;
    };
    if (const auto age = recentlyChecked(); age && version <= m_version)
        return done(state(map_statement::current), age);
    if (!m_storeAnswered || isMapOutdated() || m_era == noEra)
        return done(version == m_version ? promise(question) : state(map_statement::unknown), {});
    checkMap([this, question, version, state, done = std::move(done)](bool) {
        if (const auto age = recentlyChecked())
            return done(state(map_statement::current), age);
        const bool isPromise = version == m_version && !m_storeAnswered;
        done(isPromise ? promise(question) : state(map_statement::unknown), {});
    });
}

map_statement ownership::promise(const map_question& question)
{
    const auto now = m_hooks.now();
    const bool isOwner = m_map.hasOwner(m_holdManager.life());
    // In a later era nobody takes keys over before all holds of the earlier one have ended. A holder that does not know
    // of that era could take up again what it no longer holds, by a map that the store has lost the successors of.
    if (isMapOutdated())
        return question.era == m_era ? map_statement::promised : map_statement::unknown;
    if (!isOwner || isMapUnreadable() || m_isWriting || m_unresolvedVersion == m_version
        || now < m_startedAt + lateWriteTime)
        return map_statement::unknown;
    m_promisedUntil[question.holder] = now + std::chrono::duration_cast<duration>(promiseTime * leaseSafety);
    return map_statement::promised;
}

} // namespace heatherdrift
