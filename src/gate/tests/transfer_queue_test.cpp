#include "gate/transfer_queue.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const time_point start { std::chrono::hours(1) };
    constexpr double linkBytesPerSecond = 2'000'000;
    constexpr std::size_t downloadBytes = 100'000; ///< 50 ms at the speed of the link.
    constexpr std::size_t smallBytes = 500;

    // Guards against small answers that wait behind all downloads that are ready at the same time: nested calls
    // to document servers failed, and with them half of the booking requests.
    TEST(TransferQueue, SmallAnswersOvertakeWaitingDownloads)
    {
        transfer_queue queue({ linkBytesPerSecond });
        for (request_number id = 1; id <= 20; ++id)
            queue.submit(id, downloadBytes, start);
        EXPECT_GE(queue.waiting(), 18u);
        EXPECT_TRUE(queue.submit(21, smallBytes, start));
    }

    // Guards against writing faster than the link can send, and against an idle link while downloads wait.
    TEST(TransferQueue, DownloadsGoOutInOrderAtTheSpeedOfTheLink)
    {
        transfer_queue queue({ linkBytesPerSecond });
        std::size_t sent = 0;
        for (request_number id = 1; id <= 20; ++id)
            sent += queue.submit(id, downloadBytes, start);
        request_number last = sent;
        for (time_point now = start; now < start + seconds(2); now += milliseconds(5)) {
            while (const auto next = queue.takeNext(now)) {
                EXPECT_EQ(*next, ++last);
                ++sent;
            }
            const double allowed = linkBytesPerSecond * std::chrono::duration<double>(now - start).count();
            EXPECT_LE(static_cast<double>(sent * downloadBytes), allowed + 2.0 * downloadBytes);
            EXPECT_GE(static_cast<double>(sent * downloadBytes), std::min(20.0 * downloadBytes, allowed * 0.75));
        }
        EXPECT_EQ(sent, 20u);
        EXPECT_EQ(queue.nextAt(), std::nullopt);
    }

    // Guards against accepting downloads that the link cannot deliver in time: accepted requests, waiting answers and
    // answers being sent all count.
    TEST(TransferQueue, DeliveryTimeCountsEverythingThatIsExpected)
    {
        transfer_queue queue({ linkBytesPerSecond });
        for (int i = 0; i < 200; ++i) {
            queue.recordResponseSize("download", downloadBytes);
            queue.recordResponseSize("check", smallBytes);
        }
        EXPECT_EQ(queue.deliveryTime("download", start), duration());
        for (request_number id = 1; id <= 10; ++id)
            queue.expect(id, "download");
        const auto expected = queue.deliveryTime("download", start);
        EXPECT_GE(expected, milliseconds(500));
        EXPECT_LE(expected, milliseconds(700));
        for (request_number id = 1; id <= 10; ++id)
            queue.submit(id, downloadBytes, start);
        EXPECT_NEAR(std::chrono::duration<double>(queue.deliveryTime("download", start)).count(),
            std::chrono::duration<double>(expected).count(), 0.001);
        EXPECT_EQ(queue.deliveryTime("check", start), duration());
        for (request_number id = 1; id <= 10; ++id)
            queue.drop(id);
        EXPECT_LE(queue.deliveryTime("download", start), milliseconds(150));
    }

    // Guards against delayed answers if the bandwidth of the link is unknown.
    TEST(TransferQueue, UnknownLinkDelaysNothing)
    {
        transfer_queue queue({});
        for (request_number id = 1; id <= 20; ++id)
            EXPECT_TRUE(queue.submit(id, downloadBytes, start));
    }

} // namespace
} // namespace heatherdrift
