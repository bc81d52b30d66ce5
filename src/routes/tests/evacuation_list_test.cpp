#include "routes/evacuation_list.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const time_point start { std::chrono::hours(1) };
    const evacuation_terms terms { seconds(5), milliseconds(2500), milliseconds(200) };

    evacuation_list readList()
    {
        evacuation_list list(terms);
        list.onTableRead();
        return list;
    }

    // Guards against requests that reach the zone after the limit, although each node learns of the row in time.
    TEST(EvacuationListTest, KeyedRequestsEndBeforeTheLimitLessThePropagation)
    {
        auto list = readList();
        EXPECT_TRUE(list.setRow("a", true, start, start));
        EXPECT_EQ(list.find("a"), (zone_evacuation { start, start + milliseconds(2300) }));
        EXPECT_EQ(list.find("b"), std::nullopt);
    }

    // Guards against a zone that is served longer because its row is repeated, and against a second withdrawal.
    TEST(EvacuationListTest, RepeatedRowsChangeNothing)
    {
        auto list = readList();
        list.setRow("a", true, start, start);
        EXPECT_FALSE(list.setRow("a", true, start + seconds(2), start + seconds(2)));
        EXPECT_EQ(list.find("a")->learnedAt, start);
        EXPECT_TRUE(list.setRow("a", false, start + seconds(3), start + seconds(3)));
        EXPECT_FALSE(list.setRow("a", false, start + seconds(3), start + seconds(3)));
        EXPECT_TRUE(list.setRow("a", true, start + seconds(9), start + seconds(9)));
        EXPECT_EQ(list.find("a")->learnedAt, start + seconds(9));
    }

    // Guards against a node that starts during an evacuation and serves the zone as if it had just begun.
    TEST(EvacuationListTest, RowsOfTheFirstReadCloseAtOnce)
    {
        evacuation_list list(terms);
        list.setRow("a", true, time_point(), start);
        list.onTableRead();
        EXPECT_EQ(list.find("a")->closesAt, start);
    }

    // Guards against requests after the limit from a node that was frozen or cut off when the row was written.
    TEST(EvacuationListTest, RowsLearnedLateCloseAtOnce)
    {
        auto list = readList();
        list.setRow("a", true, start - seconds(10), start);
        EXPECT_EQ(list.find("a")->closesAt, start);
        list.setRow("b", true, start - milliseconds(4000), start);
        EXPECT_EQ(list.find("b")->closesAt, start + milliseconds(800));
    }

    // Guards against a limit below the propagation time that yields a time in the past or none at all.
    TEST(EvacuationListTest, ShortLimitClosesAtOnce)
    {
        evacuation_list list({ milliseconds(100) });
        list.onTableRead();
        list.setRow("a", true, start, start);
        EXPECT_EQ(list.find("a")->closesAt, start);
    }

    // Guards against an effect of the rows in deployments that do not follow evacuations.
    TEST(EvacuationListTest, NothingIsEvacuatedWhenDisabled)
    {
        evacuation_list list(evacuation_terms {});
        EXPECT_FALSE(list.setRow("a", true, start, start));
        EXPECT_TRUE(list.zones().empty());
    }

    // Guards against a list that differs from the rows of the table after any sequence of repeated, removed and
    // returning rows, and against a zone that closes after the limit.
    RC_GTEST_PROP(EvacuationListProperty, ZonesAreThoseOfTheRows, ())
    {
        auto list = readList();
        std::set<std::string> rows;
        auto now = start;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6000))) {
            now += milliseconds(step);
            const auto zone = std::string(1, static_cast<char>('a' + step % 3));
            const bool exists = step % 2 == 0;
            const auto matchedAt = now - milliseconds(step / 2);
            const bool isChange = exists ? rows.insert(zone).second : rows.erase(zone) > 0;
            RC_ASSERT(list.setRow(zone, exists, matchedAt, now) == isChange);
            RC_ASSERT(list.zones().size() == rows.size());
            if (isChange && exists) {
                RC_ASSERT(list.find(zone)->closesAt >= now);
                RC_ASSERT(list.find(zone)->closesAt <= std::max(now, matchedAt + terms.limit - terms.margin));
            }
        }
    }

} // namespace
} // namespace heatherdrift
