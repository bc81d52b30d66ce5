#include "base/tests/odd_json.h"
#include "ranges/range_map.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    // Guards against keys that are in two ranges or in none, for any order of moves and releases.
    RC_GTEST_PROP(RangeMap, EditsKeepEveryKeyInExactlyOneRange, ())
    {
        range_map map;
        fencing_token fence = 0;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i) {
            const auto first = *rc::gen::inRange<key_number>(0, lastKey);
            const auto last = *rc::gen::inRange<key_number>(first, lastKey + 1);
            const life_name life(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                map = map.assign({ first, last }, life, ++fence);
                break;
            case 1:
                map = map.release(life, { first, last }, "token");
                break;
            default:
                map = map.replace(life, life + "'", ++fence);
            }
            key_number next = 0;
            for (const auto& range : map.ranges()) {
                RC_ASSERT(range.keys.first == next);
                RC_ASSERT(range.fence <= fence);
                next = range.keys.last + 1;
            }
            RC_ASSERT(next == lastKey + 1);
        }
        const auto copy = range_map::fromJson(map.toJson());
        RC_ASSERT(copy.has_value());
        RC_ASSERT(copy.value() == map);
    }

    // Guards against a token that is reused for another owner of a key.
    RC_GTEST_PROP(RangeMap, TokensOfAKeyRiseWithEachOwner, ())
    {
        range_map map;
        const auto key = *rc::gen::inRange<key_number>(0, lastKey + 1);
        for (fencing_token fence = 1; fence < 20; ++fence) {
            const auto before = map.find(key);
            const auto first = *rc::gen::inRange<key_number>(0, lastKey + 1);
            const life_name owner(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
            map = map.assign({ first, lastKey }, owner, fence);
            const auto& after = map.find(key);
            if (after.owner != before.owner)
                RC_ASSERT(after.fence > before.fence);
            else
                RC_ASSERT(after.fence == before.fence);
        }
    }

    // Guards against losing an earlier owner that may still hold keys after two moves.
    TEST(RangeMap, EarlierOwnersStayUntilEachHasReleased)
    {
        auto map = range_map().assign({ 0, lastKey }, "a", 1).assign({ 10, 20 }, "b", 2).assign({ 10, 20 }, "c", 3);
        EXPECT_EQ(map.find(15).releasing, (std::vector<life_name> { "a", "b" }));
        map = map.release("b", { 10, 20 }, "");
        EXPECT_EQ(map.find(15).releasing, (std::vector<life_name> { "a" }));
        map = map.release("a", { 10, 14 }, "warm");
        EXPECT_TRUE(map.find(14).releasing.empty());
        EXPECT_EQ(map.find(14).handover, "warm");
        EXPECT_FALSE(map.find(15).releasing.empty());
    }

    // Guards against keys that are never served again: their owner failed during a planned move for which no silence
    // had been decided.
    TEST(RangeMap, EveryMoveHasASilenceUntilItIsReleased)
    {
        const auto map = range_map().assign({ 0, lastKey }, "a", 1).assign({ 10, 20 }, "b", 2).withSilence(3000);
        EXPECT_EQ(map.find(15).silenceMs, 3000);
        EXPECT_EQ(map.find(5).silenceMs, 0);
        EXPECT_EQ(map.withSilence(9000), map);
        EXPECT_EQ(map.release("a", { 10, 20 }, "").find(15).silenceMs, 0);
        EXPECT_EQ(map.replace("a", "c", 3).find(15).silenceMs, 0);
    }

    // Guards against keys granted on the word of an older copy of the map, while an incarnation that a lost map named
    // still holds them, and against tokens that are not above those of the lost map.
    TEST(RangeMap, KeysOfAnOlderCopyMayHaveAnUnknownHolder)
    {
        const auto before = range_map().assign({ 0, lastKey }, "a", 1).assign({ 10, 20 }, "b", 2, 3000);
        const auto map = before.withUnknownHolder(50, 12000);
        EXPECT_EQ(map.find(5), (owned_range { { 0, 9 }, "a", 50, { unknownHolder }, "", 12000 }));
        EXPECT_EQ(map.find(15), (owned_range { { 10, 20 }, "b", 50, { "a", unknownHolder }, "", 12000 }));
        EXPECT_TRUE(map.find(5).mayHaveUnknownHolder());
        EXPECT_FALSE(before.find(15).mayHaveUnknownHolder());
        EXPECT_EQ(map.withUnknownHolder(0, 0), map);
        EXPECT_EQ(range_map::fromJson(map.toJson()).value(), map);
        EXPECT_EQ(map.assign({ 5, 5 }, "c", 51).find(5).releasing, (std::vector<life_name> { unknownHolder, "a" }));
        const auto released = map.releaseAll({ 15, 15 });
        EXPECT_EQ(released.find(15), (owned_range { { 15, 15 }, "b", 50, {}, "", 0 }));
        EXPECT_EQ(released.find(14).releasing, map.find(14).releasing);
    }

    // Guards against a map that exceeds the size of a row of the store (64 KiB), so that no key can be moved any more:
    // the store rejected every change of a map that had 351 ranges.
    TEST(RangeMap, FullMapFitsIntoARow)
    {
        constexpr std::size_t rowBytes = 65536 / 4 * 3; // Values are base64 on the wire.
        auto map = range_map().assign({ 0, lastKey }, "earlier", 1);
        constexpr key_number width = (lastKey + 1) / range_map::maxRanges;
        for (key_number i = 0; i < range_map::maxRanges; ++i) {
            const auto owner = "i-0123456789ab@17673384" + std::to_string(10000 + i % 40);
            map = map.assign({ i * width, (i + 1) * width - 1 }, owner, 100000 + static_cast<fencing_token>(i));
        }
        map = map.release("earlier", { 0, lastKey }, "0123456789abcdef");
        EXPECT_GE(map.ranges().size(), range_map::maxRanges);
        EXPECT_LE(map.withSilence(3675).toJson().size(), rowBytes);
    }

    // Guards against a map that stays full because its ranges are never merged, and against a merge that lowers a
    // token.
    TEST(RangeMap, SettledNeighboursOfOneOwnerAreMerged)
    {
        auto map = range_map().assign({ 0, lastKey }, "a", 1).assign({ 100, 199 }, "b", 2);
        map = map.release("a", { 100, 199 }, "").assign({ 100, 199 }, "a", 3);
        EXPECT_EQ(map.mergeSettled(), map);
        map = map.release("b", { 100, 199 }, "warm").mergeSettled();
        ASSERT_EQ(map.ranges().size(), 1u);
        EXPECT_EQ(map.ranges()[0].fence, 3);
        EXPECT_EQ(map.ranges()[0].owner, "a");
    }

    // Guards against a malformed row of another writer that is accepted as a map.
    TEST(RangeMap, MalformedTextIsRejected)
    {
        ASSERT_TRUE(range_map::fromJson(R"({"lives":["a"],"ranges":[[0,65535,0,1,[],"",0]]})").has_value());
        for (const char* text :
            { "", "[]", "{}", R"({"lives":["a"],"ranges":[]})", R"({"lives":["a"],"ranges":[[0,10,0,1,[],"",0]]})",
                R"({"lives":["a"],"ranges":[[0,65535,0,"1",[],"",0]]})",
                R"({"lives":["a"],"ranges":[[5,65535,0,1,[],"",0]]})",
                R"({"lives":["a"],"ranges":[[0,99,0,1,[],"",0],[50,65535,0,1,[],"",0]]})",
                R"({"ranges":[[0,65535,0,1,[],"",0]]})", R"({"lives":[1],"ranges":[[0,65535,0,1,[],"",0]]})",
                R"({"lives":["a"],"ranges":[[0,65535,1,1,[],"",0]]})",
                R"({"lives":["a"],"ranges":[[0,65535,0,1,["a"],"",0]]})" })
            EXPECT_TRUE(range_map::fromJson(text).has_error()) << text;
    }

    // Guards against numbers that are cut to other values or overflow in later sums: a key of 4294967296 became 0, a
    // silence of 1e18 ms overflowed when it was added to a point in time.
    TEST(RangeMap, NumbersOutOfRangeAreRejected)
    {
        for (const char* range : { "[4294967296,65535,0,1,[],\"\",0]", "[0,4295032831,0,1,[],\"\",0]",
                 "[0,65535,0,18446744073709551615,[],\"\",0]", "[0,65535,0,9223372036854775807,[],\"\",0]",
                 "[0,65535,0,-1,[],\"\",0]", "[0,65535,0,1,[],\"\",-1]", "[0,65535,0,1,[],\"\",1000000000000000000]",
                 "[0,65535,0,1,[],\"\",18446744073709551615]", "[0,65535,0,1e300,[],\"\",0]" }) {
            const auto text = R"({"lives":["a"],"ranges":[)" + std::string(range) + "]}";
            EXPECT_TRUE(range_map::fromJson(text).has_error()) << text;
        }
    }

    // Guards against exceptions for any mutation of a valid map, and against maps whose text cannot be read again.
    RC_GTEST_PROP(RangeMap, MutatedTextsAreDecodedOrRejected, ())
    {
        auto map = range_map().assign({ 0, lastKey }, "a", 1).assign({ 10, 20 }, "b", 2).withSilence(3000);
        map = map.assign({ 15, 30 }, "c", 3).release("a", { 15, 15 }, "warm");
        forMutations(json::parse(map.toJson()), [](const std::string& text) {
            const auto got = range_map::fromJson(text);
            if (got.has_error())
                return;
            RC_ASSERT(range_map::fromJson(got.value().toJson()).value() == got.value());
            for (const auto& range : got.value().ranges()) {
                RC_ASSERT(range.fence >= 0 && range.fence <= maxFence);
                RC_ASSERT(range.silenceMs >= 0 && range.silenceMs <= 24 * 3600 * 1000);
            }
        });
    }

} // namespace
} // namespace heatherdrift
