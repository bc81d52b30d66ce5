#include "gate/evacuation_gate.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::seconds;

    const time_point start { std::chrono::hours(1) };

    // Guards against requests without a key that are still served, and against keys that are refused before they could
    // move.
    TEST(EvacuationGateTest, KeysAreServedUntilTheGivenTime)
    {
        evacuation_gate gate;
        EXPECT_FALSE(gate.refuses(false, start));
        gate.begin(start + seconds(2));
        EXPECT_TRUE(gate.refuses(false, start));
        EXPECT_FALSE(gate.refuses(true, start));
        EXPECT_TRUE(gate.refuses(true, start + seconds(2)));
        gate.end();
        EXPECT_FALSE(gate.refuses(false, start + seconds(3)));
        EXPECT_FALSE(gate.hasBegun());
    }

    // Guards against a gate that serves an evacuated zone because it does not know the operator's table yet, and
    // against one that stays closed as long as the store does not respond.
    TEST(EvacuationGateTest, UnknownTableClosesTheGateForALimitedTime)
    {
        evacuation_gate gate;
        gate.awaitTable(start + seconds(5));
        EXPECT_TRUE(gate.refuses(true, start));
        EXPECT_FALSE(gate.refuses(true, start + seconds(5)));
        gate.end();
        EXPECT_FALSE(gate.refuses(true, start));
        gate.awaitTable(start + seconds(5));
        gate.begin(start + seconds(1));
        EXPECT_FALSE(gate.refuses(true, start));
    }

} // namespace
} // namespace heatherdrift
