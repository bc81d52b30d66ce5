#include "assignment/placement.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace heatherdrift {

namespace {

    // Half of a partition's weight is its share of the count, half its share of the load. The count represents memory
    // and future load, and keeps the placement balanced while loads are unknown.
    constexpr double countWeight = 0.5;

    // Approximate number of pages that hold a member's partitions of one pool. More pages distribute a lost member's
    // partitions over more successors, fewer pages need fewer writes: 8 pages with 4 successors each take 8 writes and
    // add 3% to each successor.
    constexpr std::size_t pagesPerMember = 8;

    struct candidate {
        const pool_member* member = nullptr;
        double share = 0; ///< Fraction of the pool's weight that it should own.
        double assigned = 0; ///< Fraction of the pool's weight that it owns.
        std::uint64_t tieBreak = 0;

        double deficit() const { return share - assigned; }
    };

    struct orphan {
        partition_index index = 0;
        double weight = 0;
    };

    using orphan_predicate = std::function<bool(const partition_view&)>;

    class planner {
    public:
        planner(const pool_configuration&, const partition_map&, const std::vector<pool_member>& eligible,
            const load_function&);

        std::vector<placement_step> plan(const orphan_predicate&);

    private:
        double weightOf(partition_index) const;
        candidate* findCandidate(const instance_id&);
        void collect(const partition_view&, const orphan_predicate&);
        void collectAbsentPages();
        void planPage(std::uint32_t page, std::vector<orphan> orphans);
        std::vector<candidate*> chooseSuccessors(std::uint32_t page, std::size_t orphans);
        void addSteps(std::uint32_t page, const std::map<instance_id, std::vector<partition_index>>&);

        const pool_configuration& m_pool;
        const partition_map& m_map;
        const load_function& m_load;
        double m_totalLoad = 0;
        std::vector<candidate> m_candidates;
        std::map<std::uint32_t, std::vector<orphan>> m_orphans;
        std::map<partition_index, instance_id> m_reassigned; ///< Partitions whose owner has a new incarnation.
        std::vector<placement_step> m_steps;
    };

    planner::planner(const pool_configuration& pool, const partition_map& map, const std::vector<pool_member>& eligible,
        const load_function& load)
        : m_pool(pool)
        , m_map(map)
        , m_load(load)
    {
        double capacity = 0;
        for (const auto& member : eligible)
            capacity += member.capacity * member.ramp;
        for (const auto& member : eligible)
            m_candidates.push_back({ &member, member.capacity * member.ramp / std::max(capacity, 1e-9) });
        if (m_load)
            m_map.forEach(pool.name, [this](const partition_view& view) { m_totalLoad += m_load(view.index); });
    }

    double planner::weightOf(partition_index index) const
    {
        const double count = 1.0 / m_pool.partitions;
        if (m_totalLoad <= 0)
            return count;
        return countWeight * count + (1 - countWeight) * m_load(index) / m_totalLoad;
    }

    candidate* planner::findCandidate(const instance_id& id)
    {
        const auto found = std::ranges::lower_bound(
            m_candidates, id, {}, [](const candidate& entry) -> const instance_id& { return entry.member->self.id; });
        return found != m_candidates.end() && found->member->self.id == id ? &*found : nullptr;
    }

    void planner::collect(const partition_view& view, const orphan_predicate& isOrphan)
    {
        const double weight = weightOf(view.index);
        auto* owner = view.owner ? findCandidate(view.owner->id) : nullptr;
        if (!isOrphan(view)) {
            if (owner && owner->member->self == *view.owner)
                owner->assigned += weight;
            return;
        }
        m_orphans[pageOf(view.index)].push_back({ view.index, weight });
        if (!owner)
            return;
        m_reassigned[view.index] = view.owner->id;
        owner->assigned += weight;
    }

    void planner::collectAbsentPages()
    {
        for (std::uint32_t page = 0; page < pageCount(m_pool.partitions); ++page) {
            const auto first = page * partitionsPerPage;
            if (m_map.find(m_pool.name, first))
                continue;
            for (std::uint32_t i = 0; i < pageSize(m_pool.partitions, page); ++i)
                m_orphans[page].push_back({ first + i, weightOf(first + i) });
        }
    }

    std::vector<placement_step> planner::plan(const orphan_predicate& isOrphan)
    {
        if (m_candidates.empty())
            return {};
        m_map.forEach(m_pool.name, [&](const partition_view& view) { collect(view, isOrphan); });
        collectAbsentPages();
        for (auto& [page, orphans] : m_orphans)
            planPage(page, std::move(orphans));
        return std::move(m_steps);
    }

    std::vector<candidate*> planner::chooseSuccessors(std::uint32_t page, std::size_t orphans)
    {
        const auto perMember = m_pool.partitions / m_candidates.size();
        const auto perSuccessor = std::max<std::size_t>(1, perMember / pagesPerMember);
        const auto perStep = perSuccessor * maximumSuccessors;
        const auto steps = std::max<std::size_t>(1, (orphans + perStep / 2) / perStep);
        const auto count = std::min(steps * maximumSuccessors, m_candidates.size());
        std::vector<candidate*> chosen;
        const auto subject = m_pool.name + "/" + std::to_string(page);
        for (auto& entry : m_candidates) {
            entry.tieBreak = rendezvousWeight(subject, entry.member->self.id);
            chosen.push_back(&entry);
        }
        // Deficits are compared in whole partitions; equal ones are ordered by the page's rendezvous weights, so that
        // different pages choose different successors.
        const auto rank = [this](const candidate* entry) { return std::floor(entry->deficit() * m_pool.partitions); };
        std::ranges::partial_sort(
            chosen, chosen.begin() + static_cast<std::ptrdiff_t>(count), [&](const auto* one, const auto* other) {
                return std::tuple(-rank(one), one->tieBreak) < std::tuple(-rank(other), other->tieBreak);
            });
        chosen.resize(count);
        return chosen;
    }

    void planner::planPage(std::uint32_t page, std::vector<orphan> orphans)
    {
        std::map<instance_id, std::vector<partition_index>> chosen;
        std::erase_if(orphans, [&](const orphan& entry) {
            const auto reassigned = m_reassigned.find(entry.index);
            if (reassigned == m_reassigned.end())
                return false;
            chosen[reassigned->second].push_back(entry.index);
            return true;
        });
        // Greedy, heaviest partition first, each to the successor with the largest deficit. For this LPT heuristic the
        // maximum is at most 4/3 of the optimum.
        std::ranges::stable_sort(orphans, std::greater(), &orphan::weight);
        const auto successors = chooseSuccessors(page, orphans.size());
        for (const auto& entry : orphans) {
            auto* successor = *std::ranges::max_element(successors, {}, [](const auto* one) { return one->deficit(); });
            successor->assigned += entry.weight;
            chosen[successor->member->self.id].push_back(entry.index);
        }
        addSteps(page, chosen);
    }

    void planner::addSteps(std::uint32_t page, const std::map<instance_id, std::vector<partition_index>>& chosen)
    {
        std::size_t successors = 0;
        for (const auto& [id, partitions] : chosen) {
            if (successors++ % maximumSuccessors == 0)
                m_steps.push_back({ page, {} });
            for (const auto partition : partitions)
                m_steps.back().assignments.push_back({ partition, id });
        }
    }

} // namespace

std::vector<placement_step> planRepair(const pool_configuration& pool, const partition_map& map,
    const member_map& members, const std::vector<pool_member>& eligible, const load_function& load)
{
    return planner(pool, map, eligible, load).plan([&members](const partition_view& view) {
        return !view.owner || statusOf(*view.owner, members) == owner_status::gone;
    });
}

std::vector<placement_step> planDrain(const pool_configuration& pool, const partition_map& map,
    const instance_ref& leaving, const std::vector<pool_member>& eligible, const load_function& load)
{
    auto others = eligible;
    std::erase_if(others, [&](const pool_member& member) { return member.self.id == leaving.id; });
    planner drain(pool, map, others, load);
    return drain.plan([&leaving](const partition_view& view) { return view.isOwnedBy(leaving); });
}

} // namespace heatherdrift
