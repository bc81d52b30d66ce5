#include "lease/takeover.h"

#include "lease/witness_selection.h"

#include <algorithm>

namespace heatherdrift {

takeover::takeover(takeover_start start, const lease_settings& settings)
    : m_start(std::move(start))
    , m_settings(settings)
    , m_backoff(settings, m_start.seed)
{
}

std::vector<takeover_action> takeover::start()
{
    beginReading();
    return std::exchange(m_actions, {});
}

std::vector<takeover_action> takeover::handle(const takeover_input& input, time_point now)
{
    if (m_stage != takeover_stage::finished)
        std::visit([&](const auto& value) { on(value, now); }, input);
    return std::exchange(m_actions, {});
}

// A delayed answer to an earlier read is harmless: older versions are ignored, and every write is conditional on the
// version on which it was decided.
void takeover::on(const row_read& answer, time_point now)
{
    if (answer.row)
        updateRow(*answer.row, now);
    if (m_stage != takeover_stage::reading)
        return;
    m_isHolderRead |= answer.id == m_start.holder.id;
    m_isOwnRead |= answer.id == m_start.self.id;
    if (m_isHolderRead && m_isOwnRead)
        decide(now);
}

void takeover::on(const read_failed& answer, time_point now)
{
    const bool isNeeded = answer.id == m_start.holder.id || answer.id == m_start.self.id;
    if (m_stage == takeover_stage::reading && isNeeded && m_retryAt <= now)
        retryLater(now);
}

// An inconclusive answer is never treated as an outcome; the rows are read again.
void takeover::on(const commit_done& answer, time_point now)
{
    const bool isAwaited = m_stage == takeover_stage::marking || m_stage == takeover_stage::confirming;
    if (!isAwaited || answer.operationId != m_written.operationId)
        return;
    if (answer.status == commit_status::applied)
        return onApplied(answer.version, now);
    if (answer.status == commit_status::unknown && m_settings.mutations.assumeApplied)
        return onApplied(m_holderRow->version + 1, now);
    if (answer.status == commit_status::conflict)
        return beginReading();
    m_stage = takeover_stage::reading;
    retryLater(now);
}

void takeover::onApplied(row_version version, time_point now)
{
    m_backoff.reset();
    clearBlocked();
    updateRow({ version, m_written }, now);
    if (m_holderRow->version > version)
        return beginReading();
    return m_stage == takeover_stage::marking ? beginCollecting(now) : beginReassigning();
}

void takeover::on(const lease_promise& promise, time_point now)
{
    if (promise.holder != m_start.holder)
        return;
    m_quorum.add(promise.witness, now + (m_settings.mutations.noWait ? duration(0) : promise.remaining));
    checkQuorum(now);
}

void takeover::on(const promise_refusal& refusal, time_point)
{
    if (refusal.holder == m_start.holder)
        emit(read_row { refusal.witness.id });
}

void takeover::on(const silence_report& report, time_point now)
{
    if (report.holder != m_start.holder)
        return;
    m_answered.insert(report.witness);
    // Reports may be late and out of order, and only one of contact shows that the holder runs.
    if (report.silentFor < m_settings.confirmedSilence()) {
        m_heard.insert(report.witness);
        m_silent.erase(report.witness);
    } else if (!m_heard.contains(report.witness))
        m_silent.insert(report.witness);
    checkInquiry(now);
}

void takeover::on(const member_updated& seen, time_point now) { updateRow(seen.row, now); }

void takeover::on(const timer_due&, time_point now)
{
    const bool isRetryDue = now >= m_retryAt;
    if (m_stage == takeover_stage::collecting)
        return onCollectingTimer(now);
    const bool isRetried = m_stage == takeover_stage::reading || m_stage == takeover_stage::inquiring;
    if (!isRetried)
        return;
    if (!isRetryDue)
        return emit(start_timer { m_retryAt });
    if (m_stage == takeover_stage::inquiring) {
        for (const auto& witness : witnesses()) {
            if (!m_silent.contains(witness))
                emit(read_row { witness.id });
        }
    }
    beginReading();
}

void takeover::onCollectingTimer(time_point now)
{
    if (!releaseTime() && now >= m_retryAt) {
        requestPromises();
        // The rows may show a restart of the holder or a witness that was missed due to a lost answer or slow
        // replication.
        emit(read_row { m_start.holder.id });
        for (const auto& witness : m_quorum.missing())
            emit(read_row { witness.id });
        reportIfBlocked(m_quorum.missing(), now);
        retryLater(now);
    }
    checkQuorum(now);
}

// Once the row is fencing, or may be, the takeover cannot be abandoned: any instance that reads this state completes
// it.
void takeover::on(const renewal_received&, time_point)
{
    const bool isUnmarked = m_stage == takeover_stage::reading || m_stage == takeover_stage::inquiring;
    const bool isMarkSeen = m_holderRow && m_holderRow->row.state == member_state::fencing;
    if (isUnmarked && !isMarkSeen && !m_start.isResumed && !m_declaredLostAt)
        finish(takeover_outcome::abandoned);
}

void takeover::on(const declared_lost&, time_point now)
{
    if (!m_declaredLostAt)
        m_declaredLostAt = now;
    if (m_stage == takeover_stage::inquiring)
        beginReading();
    else if (m_stage == takeover_stage::collecting)
        checkQuorum(now);
}

void takeover::on(const pages_reassigned&, time_point)
{
    if (m_stage == takeover_stage::reassigning)
        finish(takeover_outcome::completed);
}

void takeover::beginReading()
{
    m_stage = takeover_stage::reading;
    m_isHolderRead = m_isOwnRead = false;
    emit(read_row { m_start.holder.id });
    emit(read_row { m_start.self.id });
}

void takeover::updateRow(const versioned_member& seen, time_point now)
{
    m_terminations.update(seen.row, now);
    const bool isOwnRowNewer = seen.row.self.id == m_start.self.id && (!m_ownRow || seen.version > m_ownRow->version);
    const bool isHolderRowNewer
        = seen.row.self.id == m_start.holder.id && (!m_holderRow || seen.version > m_holderRow->version);
    if (isOwnRowNewer)
        m_ownRow = seen;
    if (isHolderRowNewer)
        m_holderRow = seen;
    const bool isSame = seen.row.self == m_start.holder;
    m_hasLeaseEnded |= isHolderRowNewer && isSame && seen.row.state == member_state::fenced;
    // A decision is valid only for the rows on which it was made. The change to fencing does not affect it.
    const bool isMark = isSame && seen.row.state == member_state::fencing;
    if (m_stage == takeover_stage::inquiring && (isOwnRowNewer || isHolderRowNewer))
        return decide(now);
    if (m_stage == takeover_stage::collecting && isHolderRowNewer && !isMark)
        return decide(now);
    countTerminatedWitnesses();
    checkInquiry(now);
    checkQuorum(now);
}

void takeover::decide(time_point now)
{
    const bool isOwnMissing = !m_ownRow || !isOwnRowUsable();
    if (isOwnMissing || !m_holderRow || m_holderRow->row.self.number < m_start.holder.number)
        return finish(takeover_outcome::abandoned);
    const auto& row = m_holderRow->row;
    if (row.self.number > m_start.holder.number)
        return decideOnNewerIncarnation(now);
    if (m_firstWitnesses.empty())
        m_firstWitnesses = row.witnesses;
    const bool isMarked = row.state == member_state::fencing || row.state == member_state::fenced;
    const bool isMarkedByOther = isMarked && row.fencedBy != m_start.self.id;
    if (isMarkedByOther && !m_start.isResumed && !m_declaredLostAt)
        return finish(takeover_outcome::handled_by_other);
    if (row.state == member_state::fenced)
        return beginReassigning();
    if (row.state == member_state::fencing)
        return beginCollecting(now);
    const bool isWitness = std::any_of(row.witnesses.begin(), row.witnesses.end(),
        [this](const instance_ref& witness) { return witness.id == m_start.self.id; });
    // Only the change to fencing requires an active instance: a draining one still completes takeovers of others.
    if (row.state == member_state::left || m_ownRow->row.state != member_state::active)
        return finish(takeover_outcome::abandoned);
    if (m_declaredLostAt)
        return commit(takeover_stage::marking, member_state::fencing);
    if (!isWitness)
        return finish(takeover_outcome::abandoned);
    beginInquiry(now);
}

// A newer process at another address does not prove that the older one has terminated, unless that was fenced before.
void takeover::decideOnNewerIncarnation(time_point now)
{
    const bool isDeclared = m_declaredLostAt && now >= *m_declaredLostAt + m_settings.witnessGrantTime();
    if (m_hasLeaseEnded || isDeclared || m_terminations.terminatedSince(m_start.holder))
        return beginReassigning();
    m_stage = takeover_stage::reading;
    reportIfBlocked({}, now);
    retryLater(now);
}

bool takeover::isOwnRowUsable() const
{
    const auto& row = m_ownRow->row;
    return row.self == m_start.self && (row.state == member_state::active || row.state == member_state::draining);
}

// If the holder is silent for one witness only, the fault is in that witness or in one link. The change to fencing
// cannot be undone, so the holder must be silent for a majority first. Without this step, an instance that is cut off
// from all others but not from the store would fence every instance of which it is a witness.
void takeover::beginInquiry(time_point now)
{
    m_stage = takeover_stage::inquiring;
    m_silent.clear();
    m_heard.clear();
    m_answered.clear();
    countTerminatedWitnesses();
    for (const auto& witness : witnesses()) {
        if (witness.id == m_start.self.id)
            m_silent.insert(witness);
        else if (!m_silent.contains(witness))
            emit(silence_inquiry { m_start.holder, witness });
    }
    checkInquiry(now);
    if (m_stage == takeover_stage::inquiring)
        retryLater(now);
}

void takeover::checkInquiry(time_point now)
{
    if (m_stage != takeover_stage::inquiring)
        return;
    const auto listed = witnesses();
    const auto count = [&listed](const std::set<instance_ref>& among) {
        return static_cast<std::size_t>(std::count_if(
            listed.begin(), listed.end(), [&among](const instance_ref& witness) { return among.contains(witness); }));
    };
    const auto majority = majorityOf(listed.size());
    if (majority != 0 && count(m_silent) >= majority)
        return commit(takeover_stage::marking, member_state::fencing);
    std::vector<instance_ref> missing;
    std::copy_if(listed.begin(), listed.end(), std::back_inserter(missing),
        [this](const instance_ref& witness) { return !m_silent.contains(witness) && !m_answered.contains(witness); });
    if (listed.size() - missing.size() < majority)
        return reportIfBlocked(missing, now);
    clearBlocked();
}

// The witness set in the fencing row is final.
void takeover::beginCollecting(time_point now)
{
    m_stage = takeover_stage::collecting;
    const bool isStale = m_settings.mutations.staleWitnessSet;
    m_quorum.collectFor(m_start.holder, isStale ? m_firstWitnesses : m_holderRow->row.witnesses);
    countTerminatedWitnesses();
    if (!releaseTime()) {
        requestPromises();
        retryLater(now);
    }
    checkQuorum(now);
}

void takeover::requestPromises()
{
    for (const auto& witness : m_quorum.missing())
        emit(promise_request { m_start.holder, witness });
}

// A terminated process gave its last grant before its successor registered. When the successor's row arrived, the full
// duration of that grant may still have been left.
void takeover::countTerminatedWitnesses()
{
    const auto wait = m_settings.mutations.substituteWithoutWait ? duration(0) : m_settings.witnessGrantTime();
    for (const auto& witness : witnesses()) {
        const auto terminated = m_terminations.terminatedSince(witness);
        if (terminated && m_stage == takeover_stage::inquiring)
            m_silent.insert(witness);
        if (terminated && m_stage == takeover_stage::collecting)
            m_quorum.add(witness, *terminated + wait);
    }
}

void takeover::checkQuorum(time_point now)
{
    if (m_stage != takeover_stage::collecting)
        return;
    const auto release = releaseTime();
    if (!release)
        return emit(start_timer { m_retryAt });
    if (now < *release)
        return emit(start_timer { *release });
    m_hasLeaseEnded = true;
    commit(takeover_stage::confirming, member_state::fenced);
}

// The operator's declaration replaces the promises but not the wait, since it also covers a process that was cut off
// from its witnesses a moment ago and still relies on its last grants.
std::optional<time_point> takeover::releaseTime() const
{
    const auto release = m_quorum.releaseTime();
    if (!m_declaredLostAt)
        return release;
    const auto declared = *m_declaredLostAt + m_settings.witnessGrantTime();
    return release ? std::min(*release, declared) : declared;
}

// The version makes the write conditional on the incarnation and the witness set that were read. Due to the check of
// this instance's own row, only one of two instances that suspect each other succeeds.
void takeover::commit(takeover_stage stage, member_state state)
{
    m_stage = stage;
    m_written = m_holderRow->row;
    m_written.state = state;
    m_written.operationId = m_start.operationPrefix + "/" + std::to_string(++m_operations);
    commit_row action { m_written.operationId, {}, m_holderRow->version, {} };
    if (state == member_state::fencing) {
        m_written.fencedBy = m_start.self.id;
        action.checks.push_back({ { memberTable, m_start.self.id }, m_ownRow->version });
    }
    action.row = m_written;
    emit(std::move(action));
}

void takeover::beginReassigning()
{
    m_stage = takeover_stage::reassigning;
    clearBlocked();
    emit(reassign_pages { m_start.holder });
}

void takeover::finish(takeover_outcome outcome)
{
    m_stage = takeover_stage::finished;
    clearBlocked();
    emit(finished { m_start.holder, outcome });
}

void takeover::retryLater(time_point now)
{
    m_retryAt = now + m_backoff.next();
    emit(start_timer { m_retryAt });
}

void takeover::clearBlocked()
{
    m_noProgressSince.reset();
    m_isBlocked = false;
}

void takeover::reportIfBlocked(const std::vector<instance_ref>& missing, time_point now)
{
    if (!m_noProgressSince)
        m_noProgressSince = now;
    if (m_isBlocked || now - *m_noProgressSince < m_settings.blockedAfter)
        return;
    m_isBlocked = true;
    emit(report_blocked { m_start.holder, missing });
}

void takeover::emit(takeover_action action) { m_actions.push_back(std::move(action)); }

std::vector<instance_ref> takeover::witnesses() const
{
    return m_holderRow ? m_holderRow->row.witnesses : std::vector<instance_ref>();
}

} // namespace heatherdrift
