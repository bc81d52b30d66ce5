#include "routes/attempt_age.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;

    // Guards against repetitions that count as fresh and take the slots of callers that can still be served in time
    // (iarc-mesh-grown scale-1: 6,753 lookups answered late, 3,620 in time).
    TEST(AttemptAge, RepetitionsAreAsOldAsTheirMissingPatience)
    {
        attempt_age ages;
        EXPECT_EQ(ages.estimate("r", milliseconds(3000)), duration());
        EXPECT_EQ(ages.estimate("r", milliseconds(2990)), duration());
        const auto age = ages.estimate("r", milliseconds(2000));
        EXPECT_GE(age, milliseconds(950));
        EXPECT_LE(age, milliseconds(1000));
        EXPECT_EQ(ages.estimate("other", milliseconds(2000)), duration());
    }

    // Guards against a route whose callers all count as late because one caller was very patient, or because the
    // callers became less patient.
    TEST(AttemptAge, OnePatientCallerIsForgotten)
    {
        attempt_age ages;
        ages.estimate("r", milliseconds(60000));
        for (int i = 0; i < 3000; ++i)
            ages.estimate("r", milliseconds(2000));
        EXPECT_EQ(ages.estimate("r", milliseconds(2000)), duration());
    }

} // namespace
} // namespace heatherdrift
