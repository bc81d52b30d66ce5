#include "ranges/range_planner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <optional>
#include <utility>

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
        const std::vector<range_candidate>& candidates, fencing_token fence, std::int64_t silenceMs = 0)
    {
        const double total = std::accumulate(
            ranges.begin(), ranges.end(), 0.0, [](double sum, const key_range& range) { return sum + range.size(); });
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
                out = out.assign({ first, last }, candidates[target].life, fence, silenceMs);
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
    const range_map& map, const std::vector<range_candidate>& candidates, fencing_token fence, std::int64_t silenceMs)
{
    std::vector<key_range> ranges;
    for (const auto& range : map.ranges()) {
        if (!isCandidate(candidates, range.owner))
            ranges.push_back(range.keys);
    }
    if (ranges.empty() || candidates.empty())
        return map;
    return divide(map, ranges, candidates, fence, silenceMs);
}

range_map assignFrom(
    const range_map& map, const life_name& leaving, const std::vector<range_candidate>& candidates, fencing_token fence)
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

namespace {

    /// Densest part of the owner's settled ranges with about the given load; empty if there is none that is a part.
    std::optional<key_range> partWithLoad(
        const range_map& map, const life_name& owner, const key_load& loads, double amount, time_point now)
    {
        std::optional<key_range> best;
        for (const auto& range : map.ranges()) {
            const double available = loads.of(range.keys, now);
            if (range.owner != owner || !range.releasing.empty() || available < amount / 2)
                continue;
            const auto found = loads.densest(range.keys, std::min(amount, available / 2), now);
            if (found != range.keys && (!best || found.size() < best->size()))
                best = found;
        }
        return best;
    }

    /// Moves keys of the owner until it has no more than its share, and counts their demand at the receivers.
    range_map shed(const range_map& map, range_candidate& self, const key_load& loads,
        const std::vector<range_candidate*>& others, const shed_terms& terms, fencing_token fence, time_point now)
    {
        const double total = loads.total(now);
        if (self.load < terms.leastLoad || total <= 0 || others.empty())
            return map;
        const double sum = std::accumulate(others.begin(), others.end(), self.load,
            [](double before, const range_candidate* other) { return before + other->load; });
        const double mean = sum / static_cast<double>(others.size() + 1);
        const double ownLoad = self.load;
        range_map out = map;
        for (int moves = 0; moves < terms.mostMoves && out.ranges().size() < range_map::mostRanges; ++moves) {
            auto& target = **std::ranges::min_element(others, {}, &range_candidate::load);
            const double gap = self.load - target.load;
            if (self.load < terms.leastLoad || gap < terms.leastGap)
                break;
            // No more than fills the receiver up to the mean, or it would be the next one to give keys away.
            const double moved = std::min(gap / 2, std::max(mean - target.load, terms.leastGap / 2));
            const auto part = partWithLoad(out, self.life, loads, total * moved / ownLoad, now);
            if (!part)
                break;
            const double partLoad = ownLoad * loads.of(*part, now) / total;
            out = out.assign(*part, target.life, fence);
            self.load -= partLoad;
            target.load += partLoad;
        }
        return out;
    }

} // namespace

range_map balanceLoad(const range_map& map, std::vector<owner_demand> owners, const shed_terms& terms,
    fencing_token fence, time_point now)
{
    std::ranges::sort(owners, std::greater<>(), [](const owner_demand& one) { return one.owner.load; });
    const bool isCrowded = map.ranges().size() > range_map::mostRanges / 2;
    range_map out = isCrowded ? map.mergeSettled() : map;
    std::size_t givers = 0;
    for (auto& giver : owners) {
        if (!giver.keys || givers == terms.mostGivers)
            continue;
        std::vector<range_candidate*> targets;
        for (auto& other : owners) {
            if (&other != &giver)
                targets.push_back(&other.owner);
        }
        const auto before = std::exchange(out, shed(out, giver.owner, *giver.keys, targets, terms, fence, now));
        givers += out != before;
    }
    return out;
}

} // namespace heatherdrift
