#include "load/arrival_schedule.h"

#include <algorithm>
#include <cmath>

namespace heatherdrift {

namespace {

    double toSeconds(duration value) { return std::chrono::duration<double>(value).count(); }

} // namespace

std::uint64_t seeded_random::below(std::uint64_t bound)
{
    return std::min(static_cast<std::uint64_t>(unit() * static_cast<double>(bound)), bound - 1);
}

arrival_schedule::arrival_schedule(arrival_kind kind, std::vector<rate_step> steps, duration end, std::uint64_t seed)
    : m_kind(kind)
    , m_steps(std::move(steps))
    , m_end(toSeconds(end))
    , m_random(seed)
{
    // The first regular arrival has a random phase, so that several kinds do not arrive together.
    if (m_kind == arrival_kind::regular && !m_steps.empty() && m_steps.front().perSecond > 0)
        m_now = toSeconds(m_steps.front().at) + (m_random.unit() - 1) / m_steps.front().perSecond;
}

std::optional<duration> arrival_schedule::next()
{
    // The distance is drawn for rate 1 and used up at the rates of the steps that it crosses.
    double left = m_kind == arrival_kind::poisson ? -std::log(1 - m_random.unit()) : 1;
    for (; m_step < m_steps.size(); ++m_step) {
        const bool isLast = m_step + 1 == m_steps.size();
        const double until = isLast ? m_end : std::min(m_end, toSeconds(m_steps[m_step + 1].at));
        if (m_step > 0 || m_kind == arrival_kind::poisson)
            m_now = std::max(m_now, toSeconds(m_steps[m_step].at));
        const double room = std::max(until - m_now, 0.0) * m_steps[m_step].perSecond;
        if (left < room) {
            m_now += left / m_steps[m_step].perSecond;
            return duration(static_cast<duration::rep>(std::llround(m_now * 1e6)));
        }
        left -= room;
        m_now = std::max(m_now, until);
    }
    return std::nullopt;
}

} // namespace heatherdrift
