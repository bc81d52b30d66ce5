#include "base/mailbox.h"

#include <gtest/gtest.h>
#include <thread>

namespace heatherdrift {
namespace {

    // Guards against lost or reordered messages between tasks.
    TEST(Mailbox, DeliversMessagesOfAnotherThreadInOrder)
    {
        event_base_handle base(event_base_new());
        std::vector<int> received;
        constexpr int count = 1000;
        mailbox<int> box(base.get(), [&](int value) {
            received.push_back(value);
            if (value == count - 1)
                event_base_loopbreak(base.get());
        });
        std::thread sender([&] {
            for (int i = 0; i < count; ++i)
                box.post(i);
        });
        event_base_loop(base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
        sender.join();
        ASSERT_EQ(received.size(), static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            EXPECT_EQ(received[i], i);
    }

} // namespace
} // namespace heatherdrift
