#include "base/event_handle.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    // Guards against an overflow that ends the process in the sanitizer build: a fenced lease ends at the least time
    // (soak, seed 4).
    TEST(Timer, FiresAtOnceForTheLeastTime)
    {
        const event_base_handle base(event_base_new());
        bool hasFired = false;
        timer timer(base.get(), [&] { hasFired = true; });
        timer.startAt(time_point::min());
        event_base_loop(base.get(), EVLOOP_ONCE);
        EXPECT_TRUE(hasFired);
    }

} // namespace
} // namespace heatherdrift
