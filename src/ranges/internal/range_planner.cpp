#include "ranges/range_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace heatherdrift {

namespace {

    /// Even a busy candidate takes a small share, so that one report cannot send everything to one server.
    constexpr double leastWeight = 0.1;

    std::vector<double> spareShares(const std::vector<range_candidate>& candidates)
    {
        std::vector<double> shares;
        for (const auto& candidate : candidates)
            shares.push_back(std::max(leastWeight, 1 - candidate.load));
        const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
        for (auto& share : shares)
            share /= sum;
        return shares;
    }

    /// Divides the keys of some ranges among the candidates by their shares, in order.
    range_map divide(const range_map& map, const std::vector<key_range>& ranges,
        const std::vector<range_candidate>& candidates, fencing_token fence)
    {
        const double total = std::accumulate(ranges.begin(), ranges.end(), 0.0,
            [](double sum, const key_range& range) { return sum + range.size(); });
        const auto shares = spareShares(candidates);
        range_map out = map;
        std::size_t target = 0;
        double room = shares[0] * total;
        for (const auto& range : ranges) {
            key_number first = range.first;
            while (first <= range.last) {
                const bool isLast = target + 1 == candidates.size();
                const double size = isLast ? range.last - first + 1.0 : std::max(1.0, std::round(room));
                const auto last = static_cast<key_number>(std::min<double>(range.last, first + size - 1));
                out = out.assign({ first, last }, candidates[target].life, fence);
                room -= last - first + 1.0;
                first = last + 1;
                if (room < 0.5 && !isLast)
                    room += shares[++target] * total;
            }
        }
        return out;
    }

    bool isCandidate(const std::vector<range_candidate>& candidates, const life_name& life)
    {
        return std::ranges::any_of(candidates, [&](const auto& candidate) { return candidate.life == life; });
    }

} // namespace

range_map assignUnowned(
    const range_map& map, const std::vector<range_candidate>& candidates, fencing_token fence)
{
    std::vector<key_range> ranges;
    for (const auto& range : map.ranges()) {
        if (!isCandidate(candidates, range.owner))
            ranges.push_back(range.keys);
    }
    if (ranges.empty() || candidates.empty())
        return map;
    return divide(map, ranges, candidates, fence);
}

range_map assignFrom(const range_map& map, const life_name& leaving, const std::vector<range_candidate>& candidates,
    fencing_token fence)
{
    std::vector<range_candidate> others = candidates;
    std::erase_if(others, [&](const auto& candidate) { return candidate.life == leaving; });
    std::vector<key_range> ranges;
    for (const auto& range : map.ranges()) {
        if (range.owner == leaving)
            ranges.push_back(range.keys);
    }
    if (ranges.empty() || others.empty())
        return map;
    return divide(map, ranges, others, fence);
}

range_map shedLoad(const range_map& map, const range_candidate& self, const key_load& loads,
    const std::vector<range_candidate>& others, const shed_terms& terms, fencing_token fence, time_point now)
{
    const auto target = std::ranges::min_element(others, {}, &range_candidate::load);
    if (target == others.end() || self.load < terms.leastLoad)
        return map;
    const double gap = self.load - target->load;
    if (gap < (self.load > 1 ? terms.hardGap : terms.leastGap))
        return map;
    const double total = loads.total(now);
    if (total <= 0)
        return map;
    // Half of the difference evens the two out; the loads per key say how it is spread, not how high it is.
    const double amount = total * std::min(0.5, gap / 2 / self.load);
    const owned_range* source = nullptr;
    key_range window;
    for (const auto& range : map.ranges()) {
        if (range.owner != self.life || !range.releasing.empty() || loads.of(range.keys, now) < amount / 2)
            continue;
        const auto found = loads.densest(range.keys, std::min(amount, loads.of(range.keys, now) / 2), now);
        if (!source || found.size() < window.size()) {
            source = &range;
            window = found;
        }
    }
    if (!source || window == source->keys)
        return map;
    return map.assign(window, target->life, fence);
}

} // namespace heatherdrift
