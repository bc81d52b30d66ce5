#include "admission/load_view.h"

namespace heatherdrift {

std::optional<server_assessment> load_view::assess(
    const instance_id& id, const pick_options& options, time_point now) const
{
    const auto* one = find(id);
    if (!one)
        return std::nullopt;
    server_assessment out;
    out.condition = condition(id, now);
    out.isReportedUnhealthy = isReportedUnhealthy(*one, now);
    out.isCold = one->completion.isCold(now);
    out.isInTime = isInTime(*one, options, now);
    out.status = one->completion.last();
    out.expectedWait = one->completion.wait(options.urgency, now, usualWait(options.urgency, now));
    out.expectedCompletion = expectedCompletion(*one, options.urgency, now);
    out.serviceTime = one->completion.serviceTime(now);
    out.cost = usesStatuses(now) ? completionCost(*one, options.urgency, now) : costOf(*one, now);
    out.callsInProgress = one->inFlight;
    out.slowStartShare = one->warmUp.share(now);
    return out;
}

// Copies of a random function share its state, so the copy of the view gets another one. A pick changes nothing else.
std::map<instance_id, double> load_view::pickShares(const pick_options& options, int samples, time_point now) const
{
    constexpr std::uint64_t seed = 1;
    auto copy = *this;
    copy.m_random = seededRandom(seed);
    std::map<instance_id, double> out;
    for (int count = 0; count < samples; ++count) {
        const auto picked = copy.pick(options, now);
        if (!picked)
            return {};
        out[*picked] += 1.0 / samples;
    }
    return out;
}

} // namespace heatherdrift
