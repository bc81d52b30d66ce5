#include "gate/transfer_queue.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const time_point start { std::chrono::hours(1) };
    constexpr double linkBytesPerSecond = 2'000'000;
    constexpr std::size_t download = 100'000; ///< 50 ms of the link.
    constexpr std::size_t small = 500;

    // Guards against small answers that wait behind every download that is ready at the same time (mondego-mesh-grown
    // scale-1: nested calls to the document servers failed, and with them half of the bookings).
    TEST(TransferQueue, SmallAnswersPassWaitingDownloads)
    {
        transfer_queue queue({ linkBytesPerSecond });
        for (request_number id = 1; id <= 20; ++id)
            queue.submit(id, download, start);
        EXPECT_GE(queue.waiting(), 18u);
        EXPECT_TRUE(queue.submit(21, small, start));
    }

    // Guards against a link that is written faster than it sends, and against one that runs idle.
    TEST(TransferQueue, DownloadsGoOutInOrderAtTheSpeedOfTheLink)
    {
        transfer_queue queue({ linkBytesPerSecond });
        std::size_t sent = 0;
        for (request_number id = 1; id <= 20; ++id)
            sent += queue.submit(id, download, start);
        request_number last = sent;
        for (time_point now = start; now < start + seconds(2); now += milliseconds(5)) {
            while (const auto next = queue.takeNext(now)) {
                EXPECT_EQ(*next, ++last);
                ++sent;
            }
            const double allowed = linkBytesPerSecond * std::chrono::duration<double>(now - start).count();
            EXPECT_LE(static_cast<double>(sent * download), allowed + 2.0 * download);
            EXPECT_GE(static_cast<double>(sent * download), std::min(20.0 * download, allowed * 0.75));
        }
        EXPECT_EQ(sent, 20u);
        EXPECT_EQ(queue.nextAt(), std::nullopt);
    }

    // Guards against downloads that are accepted although the link cannot deliver them in time: what is accepted, what
    // waits and what is being sent all count.
    TEST(TransferQueue, DeliveryTimeCountsEverythingThatIsExpected)
    {
        transfer_queue queue({ linkBytesPerSecond });
        for (int i = 0; i < 200; ++i) {
            queue.learn("download", download);
            queue.learn("check", small);
        }
        EXPECT_EQ(queue.deliveryTime("download", start), duration());
        for (request_number id = 1; id <= 10; ++id)
            queue.expect(id, "download");
        const auto expected = queue.deliveryTime("download", start);
        EXPECT_GE(expected, milliseconds(500));
        EXPECT_LE(expected, milliseconds(700));
        for (request_number id = 1; id <= 10; ++id)
            queue.submit(id, download, start);
        EXPECT_NEAR(std::chrono::duration<double>(queue.deliveryTime("download", start)).count(),
            std::chrono::duration<double>(expected).count(), 0.001);
        EXPECT_EQ(queue.deliveryTime("check", start), duration());
        for (request_number id = 1; id <= 10; ++id)
            queue.drop(id);
        EXPECT_LE(queue.deliveryTime("download", start), milliseconds(150));
    }

    // Guards against answers that are held back where the speed of the link is not known.
    TEST(TransferQueue, UnknownLinkDelaysNothing)
    {
        transfer_queue queue({});
        for (request_number id = 1; id <= 20; ++id)
            EXPECT_TRUE(queue.submit(id, download, start));
    }

} // namespace
} // namespace heatherdrift
