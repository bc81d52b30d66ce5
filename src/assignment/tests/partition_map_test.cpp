#include "assignment/partition_map.h"

#include "pool_fixture.h"

#include <gtest/gtest.h>
#include <iostream>

namespace heatherdrift::test {
namespace {

    const instance_ref a { "a", 1 };
    const instance_ref b { "b", 1 };

    // Guards against keys whose partition changes between releases or is outside of the pool.
    TEST(PartitionMap, PartitionOfKeyIsStable)
    {
        EXPECT_EQ(partitionOf("", 64), 0x2d06800538d394c2u & 63u); // XXH3 of no bytes.
        for (int i = 0; i < 1000; ++i)
            EXPECT_LT(partitionOf(std::to_string(i), 16), 16u);
    }

    // Guards against a late row that replaces a newer one, and against changes of a view that is shared with readers.
    TEST(PartitionMap, ReplacesOnlyOlderPages)
    {
        const auto pool = makePool(2);
        auto newer = makePage({ b, b });
        newer.version = 2;
        const partition_map empty;
        const auto first = empty.with({ { makePage({ a, b }) } });
        const auto second = first.with({ { newer } });
        EXPECT_FALSE(empty.find("pool", 0));
        EXPECT_TRUE(first.find("pool", 0)->isOwnedBy(a));
        EXPECT_TRUE(second.find("pool", 0)->isOwnedBy(b));
        EXPECT_EQ(second.with({ { makePage({ a, b }) } }).page("pool", 0), newer);
        EXPECT_EQ(second.ownedBy("pool", b), (std::vector<partition_index> { 0, 1 }));
        EXPECT_TRUE(second.ownedBy("pool", a).empty());
    }

    // Guards against a wrong owner of a key when the ordinary or the hot page is outdated, including a hot page from an
    // earlier isolation of the same key (the case of the earlier isolation was once found by history 13184492987 of
    // AssignmentHistory).
    TEST(PartitionMap, FindsHotKeyWithOldPages)
    {
        const auto pool = makePool(1);
        struct {
            const char* name;
            epoch ordinary;
            std::vector<isolated_key> isolated;
            bool isHot; ///< Whether the hot page lists the key, with epoch 3 and owner b.
            std::optional<instance_ref> owner;
        } cases[] = {
            { "not hot", 1, {}, false, a },
            { "hot, both pages current", 1, { { "key", 2 } }, true, b },
            { "hot, ordinary partition moved since", 9, { { "key", 2 } }, true, b },
            { "hot page outdated", 5, { { "key", 2 } }, false, std::nullopt },
            { "hot page of an earlier isolation", 1, { { "key", 4 } }, true, std::nullopt },
            { "ordinary page outdated", 1, {}, true, b },
            { "returned, hot page outdated", 4, {}, true, a },
            { "another key is hot", 1, { { "other", 2 } }, false, a },
        };
        for (const auto& test : cases) {
            auto ordinary = makePage({ a });
            ordinary.row.entries[0].number = test.ordinary;
            ordinary.row.isolatedKeys = test.isolated;
            auto hot = makePage({ b }, hotPageNumber);
            hot.row.entries[0].number = 3;
            hot.row.hotKeys = { test.isHot ? "key" : "" };
            const auto map = partition_map().with({ { ordinary, hot } });
            const auto entry = map.find(pool, "key");
            ASSERT_EQ(entry.has_value(), test.owner.has_value()) << test.name;
            EXPECT_TRUE(!entry || entry->isOwnedBy(*test.owner)) << test.name;
        }
    }

    // Guards against pages written for another number of partitions.
    TEST(PartitionMap, IgnoresPagesOfAnotherSize)
    {
        const auto map = partition_map().with({ { makePage({ a, a }) } });
        EXPECT_TRUE(map.find(makePool(2), "key"));
        EXPECT_FALSE(map.find(makePool(4), "key"));
    }

    // Guards against a view too large for the node's 32 MB, with the maximum number of partitions and after many
    // restarts of the instances.
    TEST(PartitionMap, FitsIntoMemory)
    {
        constexpr std::size_t pools = 6, pages = 64, perPool = 115;
        partition_map map;
        const auto fill = [&](incarnation number) {
            std::vector<versioned_page> rows;
            for (std::size_t i = 0; i < pools * pages; ++i) {
                versioned_page row { static_cast<row_version>(number), {} };
                row.row.pool = "pool" + std::to_string(i / pages);
                row.row.number = static_cast<std::uint32_t>(i % pages);
                for (std::size_t j = 0; j < partitionsPerPage; ++j) {
                    const auto instance = "instance-of-a-long-name-" + idOf(i / pages * perPool + j % perPool);
                    row.row.entries.push_back({ { instance, number }, number, { instance, number - 1 } });
                }
                rows.push_back(std::move(row));
            }
            map = map.with(rows);
        };
        fill(1);
        std::cout << "98,304 partitions of 690 instances: " << map.memoryBytes() << " bytes\n";
        EXPECT_LT(map.memoryBytes(), 3u << 20);
        for (incarnation number = 2; number < 12; ++number)
            fill(number);
        EXPECT_LT(map.memoryBytes(), 3u << 20);
        EXPECT_EQ(map.find("pool0", 0)->owner->number, 11u);
    }

} // namespace
} // namespace heatherdrift::test
