#include "mesh/internal/range_codec.h"
#include "mesh/internal/text_delta.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    range_map mapOfOwners(key_number owners)
    {
        const key_number width = (lastKey + 1) / owners;
        range_map map;
        for (key_number i = 0; i < owners; ++i)
            map = map.assign(
                { i * width, i + 1 == owners ? lastKey : (i + 1) * width - 1 }, "i-" + std::to_string(i) + "@1", 1);
        return map;
    }

    versioned_ranges moved(const versioned_ranges& before, key_number first, const std::string& owner)
    {
        const auto version = before.version + 1;
        return { version, before.map.assign({ first, first + 99 }, owner, version) };
    }

    // Guards against a difference that does not lead to the same map, for any two maps.
    RC_GTEST_PROP(RangeChanges, LeadFromOneMapToTheOther, ())
    {
        const auto edit = [](range_map map) {
            const auto steps = *rc::gen::inRange(0, 12);
            for (int i = 0; i < steps; ++i) {
                const auto first = *rc::gen::inRange<key_number>(0, lastKey + 1);
                const auto last = *rc::gen::inRange<key_number>(first, lastKey + 1);
                const life_name life(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
                map = *rc::gen::arbitrary<bool>() ? map.assign({ first, last }, life, i + 1)
                                                  : map.release(life, { first, last }, "token");
            }
            return map;
        };
        const auto base = edit(range_map());
        const auto map = edit(base);
        RC_ASSERT(base.withChanges(map.changesFrom(base)) == map);
        RC_ASSERT(map.changesFrom(map).empty());
        const auto decoded = decodeRanges(encodeRangeChanges({ 9, map }, { 8, base }), versioned_ranges { 8, base });
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value() == (versioned_ranges { 9, map }));
    }

    // Guards against the load of a large service on the owner that confirms the map to all others: after each change it
    // encoded the whole map once for each of a hundred owners, which took longer than the time between two changes on
    // a tenth of a core, and filled a link of 20 Mbit/s.
    TEST(RangeHistory, OwnersOfALargeServiceShareASmallAnswer)
    {
        range_history history;
        versioned_ranges before { 10, mapOfOwners(92) };
        history.add(before);
        const auto after = moved(before, 5000, "i-3@1");
        history.add(after);
        const auto& first = history.encode(10);
        const auto& second = history.encode(10);
        EXPECT_EQ(&first, &second);
        EXPECT_LT(first.size(), 300u);
        EXPECT_LT(first.size() * 4, history.encode(0).size());
        EXPECT_EQ(decodeRanges(first, before).value(), after);
    }

    // Guards against a node that gets nothing because it has an old version, or one that this node does not know.
    TEST(RangeHistory, OtherVersionsGetTheWholeMap)
    {
        range_history history;
        versioned_ranges newest { 10, mapOfOwners(4) };
        history.add(newest);
        for (int i = 0; i < 40; ++i) {
            newest = moved(newest, static_cast<key_number>(i * 1000), "i-1@1");
            history.add(newest);
        }
        for (const row_version base : { 0, 10, 12, 50, 9999 }) {
            const auto got = decodeRanges(history.encode(base));
            ASSERT_TRUE(got.has_value()) << base;
            EXPECT_EQ(got.value(), newest) << base;
        }
        EXPECT_EQ(decodeRanges(range_history().encode(0)).has_error(), true);
    }

    // Guards against changes that are applied to another version, and against a map that is replaced by an older one.
    TEST(RangeCodec, ChangesFromAnotherVersionAreRejected)
    {
        const versioned_ranges base { 10, mapOfOwners(4) };
        const auto after = moved(base, 5000, "i-3@1");
        const auto data = encodeRangeChanges(after, base);
        EXPECT_TRUE(decodeRanges(data, { 9, mapOfOwners(3) }).has_error());
        EXPECT_TRUE(decodeRanges(data).has_error());
        EXPECT_EQ(decodeRanges(data, after).value(), after);
        EXPECT_EQ(decodeRanges(data, { 15, mapOfOwners(3) }).value().version, 11);
    }

    // Guards against damaged changes that leave keys in two ranges or in none.
    TEST(RangeCodec, MalformedChangesAreRejected)
    {
        const versioned_ranges base { 10, mapOfOwners(4) };
        const std::string ranges = R"({"lives":["a"],"ranges":[[5,9,0,7,[],"",0]]})";
        EXPECT_TRUE(decodeRanges(encodeDelta("11 10\n" + ranges, ""), base).has_value());
        for (const std::string& text : { "11 10" + ranges, "11 \n" + ranges, "11 x\n" + ranges, "11 10 \n" + ranges,
                 "11 -10\n" + ranges, std::string("11 10\n"), std::string("11 10\n[]"), std::string(R"(11 10
{"lives":["a"],"ranges":[[5,9,0,7,[],"",0],[9,12,0,7,[],"",0]]})"),
                 std::string(R"(11 10
{"lives":["a"],"ranges":[[9,5,0,7,[],"",0]]})") })
            EXPECT_TRUE(decodeRanges(encodeDelta(text, ""), base).has_error()) << text;
    }

    // Guards against copies of the ranges on each heartbeat and each tick, which took most of the processor time of an
    // owner in a large service while nothing changed.
    TEST(RangeMap, EditsWithoutEffectShareTheRanges)
    {
        const auto map = mapOfOwners(92);
        const std::vector<range_map> copies(2, map);
        EXPECT_EQ(&copies[0].ranges(), &map.ranges());
        EXPECT_EQ(&map.withSilence(3500).ranges(), &map.ranges());
        EXPECT_EQ(&map.replace("i-unknown@1", "", 7).ranges(), &map.ranges());
        EXPECT_NE(map.replace("i-3@1", "", 7), map);
    }

} // namespace
} // namespace heatherdrift
