#include "mesh/internal/table_watcher.h"

#include <deque>
#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    /// Store whose responses the test sends one by one.
    class manual_store : public watched_store {
    public:
        void read(std::string, time_point deadline, std::function<void(result<row_snapshot>)> done) override
        {
            readDeadline = deadline;
            reads.push_back(std::move(done));
        }
        void write(conditional_write, time_point, std::function<void(result<write_outcome>)>) override { }
        void watch(std::string, row_version after, duration, time_point,
            std::function<void(result<row_snapshot>)> done) override
        {
            watchedAfter = after;
            watches.push_back(std::move(done));
        }

        std::deque<std::function<void(result<row_snapshot>)>> reads;
        std::deque<std::function<void(result<row_snapshot>)>> watches;
        row_version watchedAfter = 0;
        time_point readDeadline {};
    };

    constexpr auto readTimeout = std::chrono::minutes(7);

    class TableWatcherTest : public testing::Test {
    protected:
        TableWatcherTest()
            : watcher(base.get(), store, "t", timing(),
                { [this](const row_change& row) { seen.push_back(row); }, [this] { ++wholeReads; },
                    [this](bool isAvailable) { availability.push_back(isAvailable); },
                    [this] {
                        return fleet_place { rank, rank + 1 };
                    },
                    [] { return 0.0; } })
        {
            watcher.start();
        }

        static watch_timing timing()
        {
            watch_timing timing;
            timing.maxAge = std::chrono::milliseconds(30);
            timing.readTimeout = readTimeout;
            return timing;
        }

        void answerRead(const result<row_snapshot>& value) { answer(store.reads, value); }
        void answerWatch(const result<row_snapshot>& value) { answer(store.watches, value); }

        template <typename Calls> void answer(Calls& calls, const result<row_snapshot>& value)
        {
            while (calls.empty())
                event_base_loop(base.get(), EVLOOP_ONCE);
            const auto call = std::move(calls.front());
            calls.pop_front();
            call(value);
        }

        static row_change row(const std::string& key, row_version version, std::optional<std::string> value = "v")
        {
            return { { "t", key }, version, std::move(value) };
        }

        event_base_handle base { event_base_new() };
        manual_store store;
        std::vector<row_change> seen;
        std::vector<bool> availability;
        int wholeReads = 0;
        std::size_t rank = 0;
        table_watcher watcher;
    };

    // Guards against a read that waits for an unresponsive store for longer than its table may be outdated (a
    // configuration was applied only 2.5 s after the end of an outage).
    TEST_F(TableWatcherTest, EachReadEndsWithinTheReadTimeout)
    {
        for (int i = 0; i < 10; ++i) {
            answerRead(notRun(error_code::store_unavailable, "silent"));
            EXPECT_LE(store.readDeadline, boot_clock::now() + readTimeout);
        }
    }

    // Guards against a row that reverts to an older version or is reported twice.
    TEST_F(TableWatcherTest, OlderVersionsOfARowAreNotReported)
    {
        answerRead(row_snapshot { { row("a", 4) }, 5 });
        answerWatch(row_snapshot { { row("a", 3), row("a", 6) }, 6 });
        EXPECT_EQ(store.watchedAfter, 5);
        answerWatch(row_snapshot { { row("a", 6) }, 6 });
        ASSERT_EQ(seen.size(), 2u);
        EXPECT_EQ(seen[1].version, 6);
    }

    // Guards against changes that are missed when the store's history was truncated, and against rows that remain in
    // the copy although they were removed meanwhile.
    TEST_F(TableWatcherTest, LostHistoryIsReadAnew)
    {
        answerRead(row_snapshot { { row("a", 4), row("b", 5) }, 5 });
        answerWatch(notRun(error_code::not_found, "history"));
        answerRead(row_snapshot { { row("a", 9) }, 9 });
        ASSERT_EQ(seen.size(), 4u);
        EXPECT_EQ(seen[2], row("a", 9));
        EXPECT_EQ(seen[3], row("b", 9, std::nullopt));
        EXPECT_EQ(wholeReads, 2);
    }

    // Guards against an outdated read that removes rows added by a newer response.
    TEST_F(TableWatcherTest, OutdatedReadIsIgnored)
    {
        answerRead(row_snapshot { { row("a", 4) }, 5 });
        answerWatch(row_snapshot { { row("b", 8) }, 8 });
        answerWatch(notRun(error_code::not_found, "history"));
        answerRead(row_snapshot { { row("a", 4) }, 6 });
        EXPECT_EQ(seen.size(), 2u);
        answerRead(row_snapshot { { row("a", 4), row("b", 8) }, 8 });
        EXPECT_EQ(seen.size(), 2u);
        EXPECT_EQ(watcher.copy().version(), 8);
    }

    // Guards against an outdated table on a node that gets no updates from other nodes (seen with a watch whose
    // connection stopped responding in an outage).
    TEST_F(TableWatcherTest, NodeWithoutUpdatesAsksTheStore)
    {
        rank = 40;
        answerRead(row_snapshot { { row("a", 4) }, 5 });
        answerWatch(row_snapshot { { row("a", 6) }, 6 });
        EXPECT_EQ(seen.back(), row("a", 6));
    }

    // Guards against a change from another node that a later response of the store reports again or reverts.
    TEST_F(TableWatcherTest, ChangesOfOtherNodesAreAppliedOnce)
    {
        rank = 40;
        answerRead(row_snapshot { { row("a", 4) }, 5 });
        watcher.applyUpdate({ { { row("a", 7) }, 7 }, false });
        answerWatch(row_snapshot { { row("a", 7) }, 8 });
        EXPECT_EQ(store.watchedAfter, 7);
        EXPECT_EQ(seen, (std::vector<row_change> { row("a", 4), row("a", 7) }));
    }

    // Guards against calls to the store by a node that the others keep up to date.
    TEST_F(TableWatcherTest, NodeWithAConfirmedTableDoesNotAskTheStore)
    {
        rank = 40;
        answerRead(row_snapshot { { row("a", 4) }, 5 });
        watcher.confirm(boot_clock::now() + std::chrono::hours(1));
        const auto end = boot_clock::now() + 4 * timing().maxAge;
        while (boot_clock::now() < end)
            event_base_loop(base.get(), EVLOOP_NONBLOCK);
        EXPECT_TRUE(store.watches.empty());
        EXPECT_FALSE(watcher.needsReader(boot_clock::now()));
    }

    // Guards against an outage that is reported repeatedly or never reported as ended.
    TEST_F(TableWatcherTest, OutageIsReportedOnce)
    {
        answerRead(notRun(error_code::store_unavailable, "down"));
        answerRead(notRun(error_code::store_unavailable, "down"));
        answerRead(row_snapshot { {}, 1 });
        EXPECT_EQ(availability, (std::vector<bool> { false, true }));
    }

} // namespace
} // namespace heatherdrift
