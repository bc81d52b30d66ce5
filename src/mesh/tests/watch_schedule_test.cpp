#include "mesh/internal/watch_schedule.h"

#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr auto step = milliseconds(10);
    /// Age of a node's state when a response carries it to another node.
    constexpr auto requestTime = milliseconds(200);
    const time_point start { std::chrono::hours(1) };

    /// Nodes that watch one table: each polls the store by the schedule and gets the state of a random node with each
    /// of its requests.
    class watching_fleet {
    public:
        watching_fleet(std::size_t nodes, int requestsPerSecond)
            : m_nodes(nodes)
            , m_requestsPerSecond(requestsPerSecond)
        {
            for (std::size_t i = 0; i < nodes; ++i) {
                m_nodes[i].state.place = { i, nodes };
                m_nodes[i].state.currentAt = m_nodes[i].state.answeredAt = start;
            }
        }

        void run(duration length)
        {
            for (const auto end = now + length; now < end; now += step) {
                for (auto& node : m_nodes)
                    advance(node);
            }
        }

        duration maxAge() const
        {
            duration out {};
            for (const auto& node : m_nodes) {
                if (!node.isLost)
                    out = std::max(out, now - node.state.currentAt);
            }
            return out;
        }

        void lose(std::size_t node) { m_nodes[node].isLost = true; }
        void cutFromStore(std::size_t from, std::size_t to, bool isCut)
        {
            for (std::size_t i = from; i < to; ++i)
                m_nodes[i].isCut = isCut;
        }

        time_point now = start;
        int calls = 0; ///< To the store.
        int readerRequests = 0; ///< To readers.

    private:
        struct node {
            watch_state state;
            bool isAsking = false;
            time_point answerAt {};
            time_point mayAskReaderAt {};
            double jitter = 0;
            bool isLost = false;
            bool isCut = false;
        };

        double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

        void advance(node& node)
        {
            if (node.isLost)
                return;
            if (random() < m_requestsPerSecond * std::chrono::duration<double>(step).count())
                receiveState(node, m_nodes[static_cast<std::size_t>(random() * static_cast<double>(m_nodes.size()))],
                    requestTime);
            if (node.isAsking && now >= node.answerAt)
                answer(node);
            if (isReaderRequestDue(m_timing, node.state, now) && now >= node.mayAskReaderAt) {
                node.mayAskReaderAt = now + milliseconds(200);
                const auto readers = static_cast<double>(node.state.place.readers());
                receiveState(node, m_nodes[static_cast<std::size_t>(random() * readers)], milliseconds(5));
                ++readerRequests;
            }
            const auto request = nextRequest(m_timing, node.state, node.jitter);
            if (node.isAsking || now < request.at)
                return;
            ++calls;
            node.isAsking = true;
            node.answerAt = now + request.wait + (node.isCut ? m_timing.readTimeout : duration(milliseconds(5)));
        }

        void answer(node& node)
        {
            node.isAsking = false;
            node.jitter = random();
            node.state.answeredAt = now;
            node.state.failures = node.isCut ? node.state.failures + 1 : 0;
            if (!node.isCut)
                node.state.currentAt = node.answerAt - milliseconds(5);
        }

        void receiveState(node& node, const watching_fleet::node& other, duration age)
        {
            if (!other.isLost)
                node.state.currentAt = std::max(node.state.currentAt, other.state.currentAt - age);
        }

        std::vector<node> m_nodes;
        int m_requestsPerSecond;
        watch_timing m_timing;
        std::mt19937_64 m_random { 20261204 };
    };

    /// No node's copy is older than the time within which a configuration has to be in force.
    void expectCurrent(watching_fleet& fleet, duration length)
    {
        for (const auto end = fleet.now + length; fleet.now < end;) {
            fleet.run(milliseconds(50));
            EXPECT_LE(fleet.maxAge(), milliseconds(2000));
        }
    }

    // Guards against calls to the store that grow with the number of nodes (84 nodes under normal load made
    // 4,851 calls).
    TEST(WatchScheduleTest, CallsDoNotGrowWithTheNodes)
    {
        for (const std::size_t nodes : { 14, 84, 690 }) {
            watching_fleet fleet(nodes, 20);
            fleet.run(seconds(30));
            const auto readers = static_cast<int>(fleet_place { 0, nodes }.readers());
            EXPECT_LE(fleet.calls, 30 * readers * 2) << nodes;
            EXPECT_LE(fleet.readerRequests, 30 * static_cast<int>(nodes) * 2) << nodes;
            EXPECT_LE(fleet.maxAge(), milliseconds(2000)) << nodes;
        }
    }

    // Guards against nodes that stop receiving changes when all readers are lost: a change has to reach every node
    // within two seconds.
    TEST(WatchScheduleTest, NodesStayCurrentAfterLossOfTheReaders)
    {
        watching_fleet fleet(84, 20);
        fleet.run(seconds(10));
        fleet.lose(0);
        fleet.lose(1);
        expectCurrent(fleet, seconds(10));
        EXPECT_LE(fleet.calls, 20 * 84 / 2);
    }

    // Guards against outdated copies on nodes without traffic, which get no state with responses of other nodes.
    TEST(WatchScheduleTest, NodesWithoutRequestsAskTheStore)
    {
        watching_fleet fleet(14, 0);
        expectCurrent(fleet, seconds(5));
    }

    // Guards against outdated copies when the store rejects a third of the nodes, including the readers.
    TEST(WatchScheduleTest, NodesCutOffFromTheStoreGetChangesFromOthers)
    {
        watching_fleet fleet(84, 20);
        fleet.run(seconds(5));
        fleet.cutFromStore(0, 28, true);
        expectCurrent(fleet, seconds(9));
    }

    // Guards against too many calls to the store during an outage and against late detection of its end.
    TEST(WatchScheduleTest, EndOfOutageIsDetectedSoonWithFewCalls)
    {
        watching_fleet fleet(84, 20);
        fleet.run(seconds(5));
        fleet.cutFromStore(0, 84, true);
        const int before = fleet.calls;
        fleet.run(milliseconds(4500));
        EXPECT_LE(fleet.calls - before, 84 * 3);
        fleet.cutFromStore(0, 84, false);
        fleet.run(milliseconds(2000));
        EXPECT_LE(fleet.maxAge(), milliseconds(2000));
    }

    // Guards against a call to the store by each node of a new system before it has heard of the others, and against
    // changes that reach a node without others late.
    TEST(WatchSchedule, NodeThatKnowsNoOthersPausesForASecond)
    {
        const watch_timing timing;
        const watch_state state { { 0, 1 }, start, start };
        const auto alone = nextRequest(timing, state, 0);
        EXPECT_GE(alone.at, start + milliseconds(900));
        EXPECT_LE(alone.at, start + milliseconds(1100));
        EXPECT_GT(alone.wait, timing.readerWait);
        EXPECT_EQ(nextRequest(timing, { { 0, 2 }, start, start }, 0).at, start);
        EXPECT_GT(nextRequest(timing, { { 80, 90 }, start, start }, 0).at, start + milliseconds(1100));
    }

    // Guards against a reader that replaces its copy only after its usual wait, up to 15 s, and against reads of all
    // nodes at the moment of a restore.
    TEST(WatchSchedule, ReadersReplaceARestoredTableAtOnce)
    {
        watch_timing timing;
        timing.batchTime = seconds(15);
        watch_state state { { 0, 100 }, start, start };
        state.restoredAt = start + seconds(1);
        EXPECT_EQ(nextRequest(timing, state, 0).at, state.restoredAt);
        EXPECT_LT(nextRequest(timing, state, 0.99).at, state.restoredAt + milliseconds(200));
        state.failures = 1;
        state.answeredAt = state.restoredAt;
        EXPECT_LE(nextRequest(timing, state, 0.99).at, state.restoredAt + milliseconds(100));
        EXPECT_GT(nextRequest(timing, state, 0).at, state.restoredAt);
        state.place.rank = 50;
        state.failures = 0;
        EXPECT_GE(nextRequest(timing, state, 0).at, state.currentAt + timing.maxAge);
    }

} // namespace
} // namespace heatherdrift
