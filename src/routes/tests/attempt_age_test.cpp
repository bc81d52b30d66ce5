#include "routes/attempt_age.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;

    // Guards against retries that count as new requests and take the slots of those that can still be served in time:
    // during an overload, 6,753 lookups were then answered late and 3,620 in time.
    TEST(AttemptAge, AgeOfARetryIsTheDifferenceToTheInitialTimeout)
    {
        attempt_age ages;
        EXPECT_EQ(ages.estimate("r", milliseconds(3000)), duration());
        EXPECT_EQ(ages.estimate("r", milliseconds(2990)), duration());
        const auto age = ages.estimate("r", milliseconds(2000));
        EXPECT_GE(age, milliseconds(950));
        EXPECT_LE(age, milliseconds(1000));
        EXPECT_EQ(ages.estimate("other", milliseconds(2000)), duration());
    }

    // Guards against requests that all count as retries because one caller had a long timeout, or because the timeouts
    // of all callers became shorter.
    TEST(AttemptAge, EffectOfASingleLongTimeoutDecays)
    {
        attempt_age ages;
        ages.estimate("r", milliseconds(60000));
        for (int i = 0; i < 3000; ++i)
            ages.estimate("r", milliseconds(2000));
        EXPECT_EQ(ages.estimate("r", milliseconds(2000)), duration());
    }

} // namespace
} // namespace heatherdrift
