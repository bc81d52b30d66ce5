#include "admission/hedge_policy.h"

#include "admission/seconds.h"

#include <algorithm>
#include <numeric>

namespace heatherdrift {

namespace {

    constexpr std::size_t maxRoutes = 64; ///< Of one service; bounds the memory.
    /// The 95th percentile of fewer answers is hardly more than their maximum.
    constexpr std::size_t minAnswers = 20;
    constexpr double lateQuantile = 0.95;
    constexpr duration maxAnswerAge = std::chrono::minutes(10);
    /// The buckets of a count hold at most this share of the window each.
    constexpr int resolutionDivisor = 100;
    /// A refusal is evidence for about as long as a reported wait; see completion_estimate.
    constexpr duration overloadTime = std::chrono::seconds(1);
    /// The second server has to answer within this share of the first one's remaining time: both are estimates, and the
    /// hedge is extra work.
    constexpr double clearGain = 0.7;
    /// A decision that is later than this share of the objective says more about the own event loop than about the
    /// server.
    constexpr int latenessDivisor = 20;
    constexpr duration minLateness = std::chrono::milliseconds(20); ///< Two ticks of the event loop's clock.
    /// The quantile is determined again after this share of the values has changed, since it takes 1 us.
    constexpr std::size_t changeDivisor = 16;
    /// Fewer answers that took longer tell no mean.
    constexpr std::size_t minLongerAnswers = 4;

    /// The attempt has taken longer than nearly all recent ones, so the time that it took is the only evidence.
    duration assumedRemaining(duration age) { return age / 2; }

} // namespace

std::string_view toString(hedge_decision decision)
{
    switch (decision) {
    case hedge_decision::send:
        return "send";
    case hedge_decision::not_eligible:
        return "not_eligible";
    case hedge_decision::loop_late:
        return "loop_late";
    case hedge_decision::short_of_capacity:
        return "short_of_capacity";
    case hedge_decision::no_server:
        return "no_server";
    case hedge_decision::no_gain:
        return "no_gain";
    case hedge_decision::over_limit:
        return "over_limit";
    case hedge_decision::over_budget:
        return "over_budget";
    }
    return "unknown";
}

void hedge_policy::event_count::add(duration resolution, time_point now)
{
    if (buckets.empty() || now >= buckets.back().from + resolution)
        buckets.push_back({ now, 0 });
    ++buckets.back().count;
    ++total;
}

void hedge_policy::event_count::dropUntil(time_point limit)
{
    while (!buckets.empty() && buckets.front().from <= limit) {
        total -= buckets.front().count;
        buckets.pop_front();
    }
}

hedge_policy::hedge_policy(const hedge_settings& settings)
    : m_settings(settings)
    , m_answers(maxRoutes)
{
}

void hedge_policy::recordFirstAttempt(time_point now)
{
    m_firstAttempts.add(m_settings.window / resolutionDivisor, now);
    m_firstAttempts.dropUntil(now - m_settings.window);
}

void hedge_policy::recordAnswer(const std::string& route, duration time, time_point now)
{
    auto& answers = m_answers.getOrInsert(route);
    if (answers.values.size() < answer_times::capacity)
        answers.values.push_back(time);
    else
        answers.values[answers.next] = time;
    answers.next = (answers.next + 1) % answer_times::capacity;
    answers.newest = now;
    if (++answers.changed * changeDivisor < answers.values.size())
        return;
    auto sorted = answers.values;
    const auto late = sorted.begin() + static_cast<std::ptrdiff_t>(lateQuantile * static_cast<double>(sorted.size()));
    std::ranges::nth_element(sorted, late);
    answers.late = *late;
    answers.changed = 0;
}

void hedge_policy::recordOverload(time_point now) { m_overloadUntil = now + overloadTime; }

const hedge_policy::answer_times* hedge_policy::answersOf(const std::string& route, time_point now) const
{
    const auto* answers = m_answers.find(route);
    if (!answers || answers->values.size() < minAnswers || now - answers->newest > maxAnswerAge)
        return nullptr;
    return answers;
}

std::optional<time_point> hedge_policy::checkAt(
    const hedge_request& request, const std::optional<server_outlook>& first, time_point now) const
{
    const auto* answers = answersOf(request.route, now);
    if (!answers || !request.isEligible || request.attempts >= request.maxAttempts || m_settings.share <= 0)
        return std::nullopt;
    const auto expected = first ? first->wait + first->service : duration::zero();
    const auto at = request.sentAt + std::max(answers->late, expected);
    if (at >= request.deadline)
        return std::nullopt;
    return std::max(at, now);
}

double hedge_policy::allowance(time_point now)
{
    // A bucket of first attempts counts until its oldest one leaves the window, and one of hedges until its newest one
    // does, so that the resolution never raises the number of hedges.
    const auto limit = now - m_settings.window;
    m_firstAttempts.dropUntil(limit);
    m_hedges.dropUntil(limit - m_settings.window / resolutionDivisor);
    return m_settings.share * m_firstAttempts.total - m_hedges.total;
}

// The first server's remaining time is what its newest status tells, but not less than the mean of the recent answers
// that took longer than this one has taken so far: a status may be older than the slow period.
duration hedge_policy::remainingTime(
    const hedge_request& request, const std::optional<server_outlook>& first, time_point now) const
{
    const auto age = now - request.sentAt;
    auto byAnswers = assumedRemaining(age);
    if (const auto* answers = answersOf(request.route, now)) {
        std::vector<duration> longer;
        std::ranges::copy_if(answers->values, std::back_inserter(longer), [&](duration one) { return one > age; });
        if (longer.size() >= minLongerAnswers) {
            const auto sum = std::accumulate(longer.begin(), longer.end(), duration::zero());
            byAnswers = sum / static_cast<duration::rep>(longer.size()) - age;
        }
    }
    // The wait that the status states is that of a new request, and this one has been there for a while.
    const auto byStatus = first ? first->service - age : duration::zero();
    return std::max(byAnswers, byStatus);
}

bool hedge_policy::isShort(const hedge_request& request, const hedge_situation& situation, time_point now) const
{
    return now < m_overloadUntil || 2 * situation.usualWait > request.objectiveTime;
}

bool hedge_policy::isGain(const hedge_request& request, const hedge_situation& situation, time_point now) const
{
    const auto completion = situation.second->wait + situation.second->service;
    const auto usefulUntil = now < request.objective ? request.objective : request.deadline;
    if (now + completion >= usefulUntil)
        return false;
    return completion <= fromSeconds(clearGain * inSeconds(remainingTime(request, situation.first, now)));
}

// The limit and the budget come last, so that a hedge counts as refused by them only if it was useful.
hedge_decision hedge_policy::decide(
    const hedge_request& request, const hedge_situation& situation, retry_budget& budget, time_point now)
{
    if (!request.isEligible || request.attempts >= request.maxAttempts || now >= request.deadline)
        return hedge_decision::not_eligible;
    if (now - situation.dueAt > std::max<duration>(request.objectiveTime / latenessDivisor, minLateness))
        return hedge_decision::loop_late;
    if (isShort(request, situation, now))
        return hedge_decision::short_of_capacity;
    const auto& second = situation.second;
    if (!second || second->isCold || !second->isInService)
        return hedge_decision::no_server;
    if (!isGain(request, situation, now))
        return hedge_decision::no_gain;
    if (allowance(now) < 1)
        return hedge_decision::over_limit;
    if (!budget.tryRetry(now))
        return hedge_decision::over_budget;
    m_hedges.add(m_settings.window / resolutionDivisor, now);
    return hedge_decision::send;
}

// The longer the attempt takes, the clearer it is that its server is slow. Each interval is half of the time so far, so
// that a request causes few decisions.
std::optional<time_point> hedge_policy::checkAgainAt(
    const hedge_request& request, const hedge_situation& situation, hedge_decision decision, time_point now)
{
    if (decision == hedge_decision::send || decision == hedge_decision::not_eligible)
        return std::nullopt;
    // After as much time again a late loop has read what arrived meanwhile.
    const bool isLate = decision == hedge_decision::loop_late;
    const auto interval = isLate ? now - situation.dueAt : (now - request.sentAt) / 2;
    const auto at = now + std::max<duration>(interval, minLateness);
    return at < request.deadline ? std::optional(at) : std::nullopt;
}

} // namespace heatherdrift
