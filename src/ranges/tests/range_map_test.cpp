#include "ranges/range_map.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    // Guards against keys that two entries name or none does, whatever the order of moves and releases.
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

    // Guards against a token that is used again for another owner of a key.
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

    // Guards against an owner that is forgotten while it may still hold keys that moved on twice.
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

    // Guards against keys that stay unserved for ever: their owner was lost in the middle of a planned move, for which
    // no silence had been decided (mondego-mesh trouble-3).
    TEST(RangeMap, EveryMoveHasASilenceUntilItIsReleased)
    {
        const auto map = range_map().assign({ 0, lastKey }, "a", 1).assign({ 10, 20 }, "b", 2).withSilence(3000);
        EXPECT_EQ(map.find(15).silenceMs, 3000);
        EXPECT_EQ(map.find(5).silenceMs, 0);
        EXPECT_EQ(map.withSilence(9000), map);
        EXPECT_EQ(map.release("a", { 10, 20 }, "").find(15).silenceMs, 0);
        EXPECT_EQ(map.replace("a", "c", 3).find(15).silenceMs, 0);
    }

    // Guards against a malformed row of another writer that is taken for a map.
    TEST(RangeMap, MalformedTextIsRejected)
    {
        for (const char* text : { "", "[]", "{}", R"({"ranges":[]})", R"({"ranges":[[0,10,"a",1,[],"",0]]})",
                 R"({"ranges":[[0,65535,"a","1",[],"",0]]})", R"({"ranges":[[5,65535,"a",1,[],"",0]]})",
                 R"({"ranges":[[0,99,"a",1,[],"",0],[50,65535,"a",1,[],"",0]]})" })
            EXPECT_TRUE(range_map::fromJson(text).has_error()) << text;
    }

} // namespace
} // namespace heatherdrift
