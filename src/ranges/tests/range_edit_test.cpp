#include "ranges/range_edit.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    struct modification {
        int kind = 0;
        key_range keys;
        life_name life;
        life_name successor;
        fencing_token fence = 0;
        std::int64_t silenceMs = 0;
    };

    modification anyModification()
    {
        modification out;
        out.kind = *rc::gen::inRange(0, 4);
        // Borders of ranges and both ends of the keys come up often.
        const auto border = rc::gen::oneOf(
            rc::gen::inRange<key_number>(0, 12), rc::gen::just(lastKey), rc::gen::inRange<key_number>(0, lastKey + 1));
        const auto one = *border;
        const auto other = *border;
        out.keys = { std::min(one, other), std::max(one, other) };
        out.life = "i-" + std::to_string(*rc::gen::inRange(0, 4)) + "@1";
        out.successor = *rc::gen::element<std::string>("", "i-0@2", "i-1@1");
        out.fence = *rc::gen::inRange(1, 1000);
        out.silenceMs = *rc::gen::element(0, 3600);
        return out;
    }

    void apply(range_edit& edit, const modification& one)
    {
        switch (one.kind) {
        case 0:
            return edit.assign(one.keys, one.life, one.fence, one.silenceMs);
        case 1:
            return edit.release(one.life, one.keys, "h" + std::to_string(one.fence));
        case 2:
            return edit.releaseAll(one.keys);
        default:
            return edit.replace(one.life, one.successor, one.fence);
        }
    }

    range_map applied(const range_map& map, const modification& one)
    {
        switch (one.kind) {
        case 0:
            return map.assign(one.keys, one.life, one.fence, one.silenceMs);
        case 1:
            return map.release(one.life, one.keys, "h" + std::to_string(one.fence));
        case 2:
            return map.releaseAll(one.keys);
        default:
            return map.replace(one.life, one.successor, one.fence);
        }
    }

    // Guards against an edit that yields another map than the same modifications one by one.
    RC_GTEST_PROP(RangeEdit, YieldsTheMapOfTheModificationsOneByOne, ())
    {
        range_map map;
        for (int round = 0; round < 3; ++round) {
            range_edit edit(map);
            const int count = *rc::gen::inRange(0, 12);
            for (int i = 0; i < count; ++i) {
                const auto one = anyModification();
                apply(edit, one);
                map = applied(map, one);
            }
            RC_ASSERT(edit.finish().ranges() == map.ranges());
        }
    }

    // Guards against a new map, and a write of it, where nothing has changed.
    TEST(RangeEdit, WithoutAChangeTheMapIsTheSame)
    {
        const auto map = range_map().assign({ 0, 99 }, "i@1", 1);
        range_edit edit(map);
        edit.release("other@1", { 10, 20 }, "h");
        edit.assign({ 50, 60 }, "i@1", 7);
        edit.replace("other@1", "i@1", 8);
        EXPECT_EQ(edit.finish(), map);
    }

} // namespace
} // namespace heatherdrift
