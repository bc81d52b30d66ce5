#include "mesh/tests/member_registry_fixture.h"

#include <thread>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;

    constexpr auto interval = milliseconds(100);
    /// Holds that an earlier process of the node may have granted have ended by then.
    constexpr auto holdsOfEarlierProcess = milliseconds(3600);

    /// Node n1 beside a backend server whose clock is stepped back by 2 s between its lives i1@5000 and i1@3400.
    class LifeOrderTest : public MemberRegistryTest {
    protected:
        LifeOrderTest()
        {
            settings.heartbeatInterval = interval;
            settings.drainTime = std::chrono::seconds(2);
            startedAt = 5000;
        }

        int beat()
        {
            send({ "PUT", "/", {}, "" });
            loop.runUntil([this] { return status != 0 || announcements.hasUnacknowledgedDeparture(); });
            if (status == 0)
                store.answer(makeVersion(1, ++version));
            return awaitStatus();
        }

        int beatFor(duration time)
        {
            int last = 0;
            for (const auto end = boot_clock::now() + time; boot_clock::now() < end;) {
                last = beat();
                store.answer(makeVersion(1, ++version));
                std::this_thread::sleep_for(interval);
            }
            return last;
        }

        void startSecondLife()
        {
            startedAt = 3400;
            heartbeats = 0;
        }

        row_version version = 50;
    };

    // Guards against a departure that is acknowledged and ignored, because the heartbeats of a life after a backward
    // step of the clock count as late ones of a life before: requests went on reaching the backend server.
    TEST_F(LifeOrderTest, DepartureOfALifeAfterAStepOfTheClockTakesEffect)
    {
        registry.onTableRead(1);
        beatFor(holdsOfEarlierProcess);
        EXPECT_EQ(gate.backend().life, "i1@5000");
        startSecondLife();
        isDraining = true;
        EXPECT_EQ(beat(), 503) << "not taken yet, so its departure is not acknowledged";
        EXPECT_FALSE(announcements.isLeaving());
        EXPECT_EQ(beatFor(interval * 6), 200);
        EXPECT_EQ(gate.backend().life, "i1@5001") << "later lives have later starts in their names";
        EXPECT_TRUE(announcements.isLeaving());
        EXPECT_TRUE(gate.isDraining());
        const auto row = parseMember(*written(version).value).value();
        EXPECT_EQ(row.life, "i1@5001");
        EXPECT_EQ(row.statedStart, 3400);
        EXPECT_TRUE(row.isDraining);
    }

    // Guards against the same with a shutdown notice, which names only the id: it was taken for that of the first life.
    TEST_F(LifeOrderTest, ShutdownNoticeOfALifeThatIsNotTakenYetIsNotAcknowledged)
    {
        registry.onTableRead(1);
        beatFor(holdsOfEarlierProcess);
        startSecondLife();
        beat();
        send({ "DELETE", "/i1", {}, "" });
        EXPECT_EQ(awaitStatus(), 503);
        beatFor(interval * 6);
        EXPECT_EQ(gate.backend().life, "i1@5001");
        send({ "DELETE", "/i1", {}, "" });
        awaitLeaving();
        EXPECT_TRUE(gate.isDraining());
        store.answer(makeVersion(1, ++version));
        EXPECT_EQ(awaitStatus(), 200);
    }

    // Guards against a departure that the next process of the node does not recognise, since the row and the
    // heartbeats of the life name different starts.
    TEST_F(LifeOrderTest, RowOfALifeAfterAStepOfTheClockIsRecognised)
    {
        auto earlier = member("n1", 1, "i1@5001");
        earlier.backendId = "i1";
        earlier.statedStart = 3400;
        earlier.isDraining = true;
        registry.onRowChanged(row(earlier, 50));
        registry.onTableRead(1);
        startedAt = 3400;
        heartbeat();
        EXPECT_EQ(gate.backend().life, "i1@5001");
        EXPECT_TRUE(announcements.isLeaving());
        EXPECT_TRUE(gate.isDraining());
    }

    // Guards against a life that is not used until its end, because it started while the node was restarted.
    TEST_F(LifeOrderTest, LifeAfterAStepOfTheClockIsTakenAfterARestartOfTheNode)
    {
        auto earlier = member("n1", 1, "i1@5000");
        earlier.backendId = "i1";
        registry.onRowChanged(row(earlier, 50));
        registry.onTableRead(1);
        startSecondLife();
        beatFor(milliseconds(1000));
        EXPECT_FALSE(announcements.current()) << "the life in the row may hold keys";
        beatFor(holdsOfEarlierProcess);
        ASSERT_TRUE(announcements.current());
        EXPECT_EQ(gate.backend().life, "i1@5001");
    }

    // Guards against a late heartbeat of a dead life that is acknowledged as a departure or replaces the present life.
    TEST_F(LifeOrderTest, LateHeartbeatOfALifeBeforeChangesNothing)
    {
        registry.onTableRead(1);
        beat();
        startedAt = 9000;
        heartbeats = 0;
        beat();
        startedAt = 5000;
        heartbeats = 20;
        EXPECT_EQ(beat(), 200);
        isDraining = true;
        EXPECT_EQ(beat(), 503);
        startedAt = 4000;
        EXPECT_EQ(beat(), 503);
        EXPECT_EQ(gate.backend().life, "i1@9000");
        EXPECT_FALSE(announcements.isLeaving());
    }

    // Guards against an acknowledged departure that the row undoes, when the heartbeat came before the row was read.
    TEST_F(LifeOrderTest, DepartureOfALifeThatTheRowReplacesIsNotAcknowledged)
    {
        id = "i0";
        startedAt = 4000;
        isDraining = true;
        send({ "PUT", "/", {}, "" });
        awaitLeaving();
        auto earlier = member("n1", 1, "i1@5000");
        earlier.backendId = "i1";
        registry.onRowChanged(row(earlier, 50));
        registry.onTableRead(1);
        EXPECT_EQ(awaitStatus(), 503);
        EXPECT_EQ(gate.backend().life, "i1@5000");
    }

    // Guards against a process that ends at a late heartbeat before the first one taken, in a build with assertions.
    TEST_F(LifeOrderTest, LateHeartbeatBeforeAnyOtherIsLogged)
    {
        registry.onRowChanged(row(ownRow(false), 50));
        registry.onTableRead(1);
        startedAt = 4;
        heartbeat();
        EXPECT_FALSE(announcements.current());
    }

} // namespace
} // namespace heatherdrift
