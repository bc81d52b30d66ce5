#include "ranges/range_planner.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

namespace heatherdrift {
namespace {

    constexpr int ownerCount = 92;
    constexpr double meanLoad = 0.6;

    /// Owners whose load is proportional to their number of keys, and that release moved keys at once.
    class FragmentationTest : public testing::Test {
    protected:
        FragmentationTest()
        {
            for (int i = 0; i < ownerCount; ++i)
                addOwner();
            map = assignUnowned(map, candidates, ++fence);
        }

        void addOwner()
        {
            ++lastId;
            candidates.push_back({ makeLife("i-" + std::to_string(lastId), lastId), 0 });
        }

        void updateLoads()
        {
            for (auto& candidate : candidates)
                candidate.load = meanLoad * map.keyCount(candidate.life) * ownerCount / (lastKey + 1);
        }

        void release()
        {
            const auto before = map;
            for (const auto& range : before.ranges()) {
                if (!range.releasing.empty())
                    map = map.releaseAll(range.keys);
            }
        }

        std::uint32_t mostKeys() const
        {
            std::uint32_t most = 0;
            for (const auto& candidate : candidates)
                most = std::max(most, map.keyCount(candidate.life));
            return most;
        }

        std::vector<range_candidate> candidates;
        range_map map;
        fencing_token fence = 0;
        std::int64_t lastId = 0;
    };

    // Guards against a range map that grows by a range for each other owner whenever one owner leaves, until it does
    // not fit into a row of the store and no key gets an owner any more: backend servers are replaced one after the
    // other.
    TEST_F(FragmentationTest, ReplacingOwnersDoesNotGrowTheMapWithoutBound)
    {
        std::mt19937 random(7);
        for (int i = 0; i < 400; ++i) {
            updateLoads();
            const auto index = static_cast<std::ptrdiff_t>(random() % candidates.size());
            const auto leaving = candidates[static_cast<std::size_t>(index)].life;
            map = assignFrom(map, leaving, candidates, ++fence);
            candidates.erase(candidates.begin() + index);
            addOwner();
            release();
            ASSERT_LE(map.ranges().size(), range_map::maxRanges) << "after " << i + 1 << " replacements";
        }
        EXPECT_LT(mostKeys(), 5 * (lastKey + 1) / ownerCount);
    }

    // Guards against the same when many owners are lost at the same time.
    TEST_F(FragmentationTest, LosingManyOwnersDoesNotGrowTheMapWithoutBound)
    {
        std::mt19937 random(8);
        for (int i = 0; i < 40; ++i) {
            updateLoads();
            std::ranges::shuffle(candidates, random);
            candidates.resize(ownerCount / 2);
            map = assignUnowned(map, candidates, ++fence, 3600);
            while (candidates.size() < ownerCount)
                addOwner();
            release();
            ASSERT_LE(map.ranges().size(), range_map::maxRanges) << "after " << i + 1 << " losses";
        }
    }

    // Guards against keys of one owner that are spread over all others, in pieces of a few keys each.
    TEST_F(FragmentationTest, KeysOfOneOwnerGoToFewOthers)
    {
        updateLoads();
        const auto after = assignFrom(map, candidates[40].life, candidates, ++fence);
        EXPECT_LE(after.ranges().size(), map.ranges().size() + 8);
        EXPECT_EQ(after.keyCount(candidates[40].life), 0u);
    }

} // namespace
} // namespace heatherdrift
