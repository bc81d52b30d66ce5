#include "lease/witness_selection.h"

#include "base/hash.h"
#include "lease/lease_settings.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>

namespace heatherdrift {

namespace {

    struct candidate {
        std::uint64_t weight = 0;
        const member_row* row = nullptr;
    };

    using zone_counts = std::map<std::string_view, std::size_t>;

    struct shape {
        std::size_t size = 0;
        std::size_t perZone = 0;
    };

    // The weight uses the id without the incarnation, so that a restart does not change the selection.
    std::vector<candidate> rankCandidates(const member_row& self, const std::vector<member_row>& members,
        const std::function<bool(const member_row&)>& isUsable)
    {
        std::vector<candidate> ranked;
        for (const auto& row : members) {
            if (isWitnessCandidate(self, row) && (!isUsable || isUsable(row)))
                ranked.push_back({ rendezvousWeight(self.self.id, row.self.id), &row });
        }
        std::sort(ranked.begin(), ranked.end(), [](const candidate& left, const candidate& right) {
            return left.weight != right.weight ? left.weight > right.weight : left.row->self < right.row->self;
        });
        return ranked;
    }

    bool isFeasible(const zone_counts& zones, shape wanted)
    {
        std::size_t available = 0;
        for (const auto& [zone, count] : zones)
            available += std::min(count, wanted.perZone);
        return available >= wanted.size;
    }

    // Five witnesses with at most two per zone, or three with at most one, keep a majority after the loss of a zone. If
    // the members allow neither (two zones, or fewer than three candidates), the largest odd set with the most even
    // spread is used.
    shape chooseShape(const zone_counts& zones, std::size_t candidates)
    {
        for (const shape wanted : { shape { 5, 2 }, shape { 3, 1 } }) {
            if (isFeasible(zones, wanted))
                return wanted;
        }
        const auto maxSize = std::min(candidates, maxWitnesses);
        shape wanted { maxSize % 2 == 1 ? maxSize : maxSize - 1, 1 };
        while (!isFeasible(zones, wanted))
            ++wanted.perZone;
        return wanted;
    }

} // namespace

bool isWitnessCandidate(const member_row& self, const member_row& other)
{
    return other.self.id != self.self.id && other.region == self.region
        && (other.state == member_state::joining || other.state == member_state::active);
}

// Selecting candidates by weight up to the limit per zone is the greedy algorithm on a truncated partition matroid:
// adding or removing one candidate changes at most one witness as long as the shape stays the same.
std::vector<instance_ref> chooseWitnesses(const member_row& self, const std::vector<member_row>& members,
    const std::function<bool(const member_row&)>& isUsable)
{
    const auto ranked = rankCandidates(self, members, isUsable);
    if (ranked.empty())
        return {};
    zone_counts zones;
    for (const auto& entry : ranked)
        ++zones[entry.row->availabilityZone];
    const auto wanted = chooseShape(zones, ranked.size());
    std::vector<instance_ref> chosen;
    zone_counts taken;
    for (const auto& entry : ranked) {
        if (chosen.size() == wanted.size)
            break;
        if (taken[entry.row->availabilityZone]++ < wanted.perZone)
            chosen.push_back(entry.row->self);
    }
    return chosen;
}

bool survivesZoneLoss(const std::vector<instance_ref>& witnesses, const std::vector<member_row>& members)
{
    zone_counts zones;
    std::size_t found = 0;
    for (const auto& row : members) {
        if (std::find(witnesses.begin(), witnesses.end(), row.self) == witnesses.end())
            continue;
        ++found;
        ++zones[row.availabilityZone];
    }
    if (found != witnesses.size())
        return false;
    return std::all_of(zones.begin(), zones.end(),
        [&](const auto& zone) { return witnesses.size() - zone.second >= majorityOf(witnesses.size()); });
}

} // namespace heatherdrift
