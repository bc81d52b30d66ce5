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
        void watch(std::string, row_version after, duration wait, time_point,
            std::function<void(result<row_snapshot>)> done) override
        {
            watchedAfter = after;
            watchWait = wait;
            watches.push_back(std::move(done));
        }

        std::deque<std::function<void(result<row_snapshot>)>> reads;
        std::deque<std::function<void(result<row_snapshot>)>> watches;
        row_version watchedAfter = 0;
        duration watchWait {};
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
                    [] { return 0.0; }, [this](const row_change& row) { missing.push_back(row); },
                    [this](store_era era) { replacedBy.push_back(era); } })
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

        void waitForWatch()
        {
            while (store.watches.empty())
                event_base_loop(base.get(), EVLOOP_ONCE);
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
        std::vector<row_change> missing;
        std::vector<store_era> replacedBy;
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

    // Guards against a second call to the store after each read, to learn what the read has shown already.
    TEST_F(TableWatcherTest, ReadIsNotConfirmedByAShortWatch)
    {
        rank = 1;
        answerRead(row_snapshot { { row("a", 4) }, 5 });
        waitForWatch();
        EXPECT_GE(store.watchWait, timing().readerWait);
        answerWatch(row_snapshot { { row("a", 6) }, 6 });
        waitForWatch();
        EXPECT_LT(store.watchWait, timing().readerWait) << "when the store sent the change is not known";
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

    // Guards against a copy that follows a restored store only when a pending watch ends, 20 s later for some tables,
    // and against the answer to that watch bringing back rows of before the restore.
    TEST_F(TableWatcherTest, RestoredTableIsReadWhileAWatchIsPending)
    {
        answerRead(row_snapshot { { row("a", makeVersion(1, 8)) }, makeVersion(1, 9) });
        waitForWatch();
        watcher.onStoreRestored(2);
        answerRead(row_snapshot { { row("a", makeVersion(2, 3), "old") }, makeVersion(2, 4) });
        answerWatch(row_snapshot { { row("a", makeVersion(1, 10)) }, makeVersion(1, 10) });
        waitForWatch();
        EXPECT_EQ(store.watchedAfter, makeVersion(2, 4));
        EXPECT_EQ(store.watches.size(), 1u);
        EXPECT_EQ(seen, (std::vector<row_change> { row("a", makeVersion(1, 8)), row("a", makeVersion(2, 3), "old") }));
    }

    // Guards against a later copy that is taken for complete because the restore was reported again, or against reading
    // a table twice that the first read after the restore already found.
    TEST_F(TableWatcherTest, RestoredTableIsReadOnce)
    {
        answerRead(row_snapshot { { row("a", makeVersion(1, 8)) }, makeVersion(1, 9) });
        waitForWatch();
        watcher.onStoreRestored(2);
        answerRead(row_snapshot { { row("a", makeVersion(2, 3)) }, makeVersion(2, 4) });
        watcher.onStoreRestored(2);
        answerWatch(notRun(error_code::store_unavailable, "down"));
        answerWatch(row_snapshot { {}, makeVersion(2, 4) });
        waitForWatch();
        EXPECT_TRUE(store.reads.empty());
    }

    // Guards against all nodes of a large system reading all tables at the moment of a restore: those that do not poll
    // the store get the restored table from the others.
    TEST_F(TableWatcherTest, NodeThatGotTheRestoredTableDoesNotReadIt)
    {
        rank = 40;
        answerRead(row_snapshot { { row("a", makeVersion(1, 8)) }, makeVersion(1, 9) });
        watcher.onStoreRestored(2);
        watcher.applyUpdate({ { { row("b", makeVersion(2, 3)) }, makeVersion(2, 3) }, true });
        waitForWatch();
        EXPECT_EQ(store.watchedAfter, makeVersion(2, 3));
        EXPECT_TRUE(store.reads.empty());
    }

    // Guards against a node without updates from others that goes on watching from a version of before the restore.
    TEST_F(TableWatcherTest, NodeWithoutUpdatesReadsTheRestoredTable)
    {
        rank = 40;
        answerRead(row_snapshot { { row("a", makeVersion(1, 8)) }, makeVersion(1, 9) });
        watcher.onStoreRestored(2);
        answerRead(row_snapshot { { row("b", makeVersion(2, 3)) }, makeVersion(2, 3) });
        EXPECT_EQ(watcher.copy().version(), makeVersion(2, 3));
    }

    // Guards against a row that counts as removed because the restored store has lost it, and against a missed restore
    // when other nodes deliver its table.
    TEST_F(TableWatcherTest, RowsLostByARestoreAreNotReportedAsRemoved)
    {
        const table_update restored { { { row("b", makeVersion(2, 3)) }, makeVersion(2, 3) }, true };
        answerRead(row_snapshot { { row("a", makeVersion(1, 8)) }, makeVersion(1, 9) });
        EXPECT_TRUE(replacedBy.empty()) << "the first read of a process replaces nothing";
        watcher.applyUpdate(restored);
        EXPECT_EQ(seen, (std::vector<row_change> { row("a", makeVersion(1, 8)), row("b", makeVersion(2, 3)) }));
        EXPECT_EQ(missing, (std::vector<row_change> { row("a", makeVersion(2, 3), std::nullopt) }));
        EXPECT_EQ(replacedBy, (std::vector<store_era> { 2 }));
        const row_change removal = row("b", makeVersion(2, 7), std::nullopt);
        watcher.applyUpdate({ { { removal, row("removals", makeVersion(2, 7)) }, makeVersion(2, 7) }, false });
        EXPECT_EQ(missing.size(), 1u);
        EXPECT_EQ(seen.at(2), removal);
    }

    // Guards against an answer of before a restore that makes a restored copy count as current.
    TEST_F(TableWatcherTest, ChangesOfAnEarlierEraAreRejected)
    {
        rank = 40;
        answerRead(row_snapshot { { row("a", makeVersion(1, 8)) }, makeVersion(1, 9) });
        waitForWatch();
        watcher.applyUpdate({ { { row("a", makeVersion(2, 3)) }, makeVersion(2, 3) }, true });
        const auto before = watcher.currentAt();
        answerWatch(row_snapshot { { row("a", makeVersion(1, 10)) }, makeVersion(1, 10) });
        EXPECT_EQ(watcher.currentAt(), before);
        EXPECT_EQ(seen.back(), row("a", makeVersion(2, 3)));
        EXPECT_EQ(availability, (std::vector<bool> { false }));
    }

} // namespace
} // namespace heatherdrift
