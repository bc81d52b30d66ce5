#include "ranges/range_planner.h"

#include "ranges/range_edit.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <optional>
#include <utility>

namespace heatherdrift {

namespace {

    /// Minimum weight of a loaded candidate, so that a single load report cannot assign everything to one server.
    constexpr double minWeight = 0.1;

    std::vector<double> spareCapacityShares(const std::vector<range_candidate>& candidates)
    {
        std::vector<double> shares;
        for (const auto& candidate : candidates)
            shares.push_back(std::max(minWeight, 1 - candidate.load));
        const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
        for (auto& share : shares)
            share /= sum;
        return shares;
    }

    /// Keys of a lost owner go to so many others even if they are few, since few keys may have much of the load.
    constexpr std::size_t minReceivers = 8;
    /// A receiver gets at least this part of an owner's mean share, if there are more than minReceivers.
    constexpr double minPartOfShare = 0.25;
    constexpr double maxAbsorbingLoad = 0.75; ///< Of a neighbour that takes small ranges.

    double countKeys(const std::vector<key_range>& ranges)
    {
        return std::accumulate(
            ranges.begin(), ranges.end(), 0.0, [](double sum, const key_range& range) { return sum + range.size(); });
    }

    double minPart(std::size_t candidateCount)
    {
        return minPartOfShare * (lastKey + 1) / static_cast<double>(candidateCount);
    }

    /// The candidates with the lowest loads, as many as the keys need. If all candidates got a part of each lost owner,
    /// the map would soon not fit into a row of the store.
    std::vector<range_candidate> receiversOf(double keyCount, const std::vector<range_candidate>& candidates)
    {
        const auto wanted = static_cast<std::size_t>(keyCount / minPart(candidates.size()));
        const auto count = std::clamp(wanted, std::min(minReceivers, candidates.size()), candidates.size());
        std::vector<std::size_t> order(candidates.size());
        std::iota(order.begin(), order.end(), 0);
        std::ranges::stable_sort(order, {}, [&](std::size_t index) { return candidates[index].load; });
        order.resize(count);
        std::ranges::sort(order);
        std::vector<range_candidate> out;
        for (const auto index : order)
            out.push_back(candidates[index]);
        return out;
    }

    /// Divides the keys of the ranges among the receivers in proportion to their spare capacity, in key order. Splits
    /// no range of a map that has enough of them.
    void divide(range_edit& edit, std::size_t rangeCount, const std::vector<key_range>& ranges,
        const std::vector<range_candidate>& receivers, fencing_token fence, std::int64_t silenceMs)
    {
        const double total = countKeys(ranges);
        const auto shares = spareCapacityShares(receivers);
        const bool maySplit = rangeCount + receivers.size() <= range_map::maxRanges;
        std::size_t target = 0;
        double room = shares[0] * total;
        for (const auto& range : ranges) {
            key_number first = range.first;
            while (first <= range.last) {
                const bool isLast = target + 1 == receivers.size();
                const bool isWhole = isLast || !maySplit;
                const double size = isWhole ? range.last - first + 1.0 : std::max(1.0, std::round(room));
                const auto last = static_cast<key_number>(std::min<double>(range.last, first + size - 1));
                edit.assign({ first, last }, receivers[target].life, fence, silenceMs);
                room -= last - first + 1.0;
                first = last + 1;
                while (room < 0.5 && target + 1 < receivers.size())
                    room += shares[++target] * total;
            }
        }
    }

    /// Gives small ranges of a map with many of them to the owners of the ranges beside them, so that they merge.
    class neighbour_absorption {
    public:
        neighbour_absorption(const range_map& map, const std::vector<range_candidate>& candidates)
            : m_map(map)
        {
            for (const auto& candidate : candidates) {
                if (candidate.load < maxAbsorbingLoad)
                    m_rooms.emplace(candidate.life, minPart(candidates.size()));
            }
        }

        /// The neighbour that takes the keys; empty if neither does.
        life_name takerOf(key_range keys)
        {
            life_name taker;
            double most = keys.size();
            const auto consider = [&](const life_name& life) {
                const auto found = m_rooms.find(life);
                if (found == m_rooms.end() || found->second < most)
                    return;
                taker = life;
                most = found->second;
            };
            if (keys.first > 0)
                consider(m_map.find(keys.first - 1).owner);
            if (keys.last < lastKey)
                consider(m_map.find(keys.last + 1).owner);
            if (!taker.empty())
                m_rooms.at(taker) -= keys.size();
            return taker;
        }

    private:
        const range_map& m_map;
        std::map<life_name, double> m_rooms; ///< Keys that each candidate may still take.
    };

    range_map assignRanges(const range_map& map, std::vector<key_range> ranges,
        const std::vector<range_candidate>& candidates, fencing_token fence, std::int64_t silenceMs)
    {
        range_edit edit(map);
        if (map.ranges().size() > range_map::maxRanges / 2) {
            neighbour_absorption absorption(map, candidates);
            std::erase_if(ranges, [&](const key_range& keys) {
                const auto taker = absorption.takerOf(keys);
                if (!taker.empty())
                    edit.assign(keys, taker, fence, silenceMs);
                return !taker.empty();
            });
        }
        if (!ranges.empty())
            divide(edit, map.ranges().size(), ranges, receiversOf(countKeys(ranges), candidates), fence, silenceMs);
        const auto out = edit.finish();
        return out.ranges().size() > range_map::maxRanges / 2 ? out.mergeSettled() : out;
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
    return assignRanges(map, std::move(ranges), candidates, fence, silenceMs);
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
    return assignRanges(map, std::move(ranges), others, fence, 0);
}

namespace {

    /// Smallest proper part of one of the owner's ranges with about the given load, among those without earlier owners
    /// that may hold keys; empty if there is none.
    std::optional<key_range> smallestPartWithLoad(
        const range_map& map, const life_name& owner, const key_load& loads, double amount, time_point now)
    {
        std::optional<key_range> best;
        for (const auto& range : map.ranges()) {
            if (range.owner != owner || !range.releasing.empty())
                continue;
            const double available = loads.of(range.keys, now);
            if (available < amount / 2)
                continue;
            const auto found = loads.densest(range.keys, std::min(amount, available / 2), now);
            if (found != range.keys && (!best || found.size() < best->size()))
                best = found;
        }
        return best;
    }

    /// Moves keys of the donor until its load is close to that of the receivers, and updates the loads of both.
    range_map moveExcess(const range_map& map, range_candidate& donor, const key_load& loads,
        const std::vector<range_candidate*>& others, const rebalance_settings& settings, fencing_token fence,
        time_point now)
    {
        const double total = loads.total(now);
        if (donor.load < settings.minLoad || total <= 0 || others.empty())
            return map;
        const double sum = std::accumulate(others.begin(), others.end(), donor.load,
            [](double before, const range_candidate* other) { return before + other->load; });
        const double mean = sum / static_cast<double>(others.size() + 1);
        const double initialLoad = donor.load;
        range_map out = map;
        for (int moves = 0; moves < settings.maxMovesPerDonor && out.ranges().size() < range_map::maxRanges; ++moves) {
            auto& target = **std::ranges::min_element(others, {}, &range_candidate::load);
            const double gap = donor.load - target.load;
            if (donor.load < settings.minLoad || gap < settings.minLoadGap)
                break;
            // Fills the receiver at most up to the mean; otherwise it would be the next donor.
            const double movedLoad = std::min(gap / 2, std::max(mean - target.load, settings.minLoadGap / 2));
            const auto part = smallestPartWithLoad(out, donor.life, loads, total * movedLoad / initialLoad, now);
            if (!part)
                break;
            const double partLoad = initialLoad * loads.of(*part, now) / total;
            out = out.assign(*part, target.life, fence);
            donor.load -= partLoad;
            target.load += partLoad;
        }
        return out;
    }

} // namespace

range_map balanceLoad(const range_map& map, std::vector<owner_demand> owners, const rebalance_settings& settings,
    fencing_token fence, time_point now)
{
    std::ranges::sort(owners, std::greater<>(), [](const owner_demand& one) { return one.owner.load; });
    const bool isNearlyFull = map.ranges().size() > range_map::maxRanges / 2;
    range_map out = isNearlyFull ? map.mergeSettled() : map;
    std::size_t donorCount = 0;
    for (auto& donor : owners) {
        if (!donor.keys || donorCount == settings.maxDonors)
            continue;
        std::vector<range_candidate*> targets;
        for (auto& other : owners) {
            if (&other != &donor)
                targets.push_back(&other.owner);
        }
        const auto before
            = std::exchange(out, moveExcess(out, donor.owner, *donor.keys, targets, settings, fence, now));
        donorCount += out != before;
    }
    return out;
}

} // namespace heatherdrift
