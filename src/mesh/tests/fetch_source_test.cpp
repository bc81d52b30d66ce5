#include "admission/random_function.h"
#include "mesh/internal/fetch_source.h"
#include "mesh/internal/watch_schedule.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Guards against fetches from another availability zone although a node of the own one has the change, and against
    // fetches of a change that is already replaced.
    TEST(FetchSource, NewestChangeInTheOwnZoneIsPreferred)
    {
        const std::vector<fetch_source> sources { { "a", "z1", 8 }, { "b", "z2", 9 }, { "c", "z1", 9 } };
        EXPECT_EQ(selectSource(sources, "z1", 0.99)->node, "c");
        EXPECT_EQ(selectSource(sources, "z2", 0)->node, "b");
        EXPECT_EQ(selectSource(sources, "z3", 0)->node, "b");
        EXPECT_EQ(selectSource(sources, "z3", 0.99)->node, "c");
        EXPECT_EQ(selectSource({}, "z1", 0.5), nullptr);
    }

    // Guards against nodes that all fetch from the same one.
    TEST(FetchSource, ChoiceIsSpreadOverTheSources)
    {
        const std::vector<fetch_source> sources { { "a", "z", 9 }, { "b", "z", 9 }, { "c", "z", 9 }, { "d", "z", 9 } };
        std::set<instance_id> chosen;
        for (const double random : { 0.0, 0.3, 0.6, 0.9, 1.0 })
            chosen.insert(selectSource(sources, "z", random)->node);
        EXPECT_EQ(chosen.size(), sources.size());
    }

    // Guards against repeated requests to nodes that are all busy, and against a wait that outlasts the change.
    TEST(FetchSource, RetriesBecomeRarerUpToALimit)
    {
        EXPECT_LT(fetchRetryDelay(1, 0.5), fetchRetryDelay(3, 0.5));
        EXPECT_LT(fetchRetryDelay(1, 0), fetchRetryDelay(1, 0.9));
        EXPECT_LE(fetchRetryDelay(1000, 1), seconds(2));
    }

    // Guards against slots that are lost because the receiving node is gone, so that the node sends no state any more.
    TEST(TransferSlots, AbandonedTransfersFreeTheirSlots)
    {
        transfer_slots slots(2, seconds(10));
        const time_point start(seconds(100));
        const auto first = slots.begin(start);
        EXPECT_TRUE(first);
        EXPECT_TRUE(slots.begin(start + seconds(1)));
        EXPECT_FALSE(slots.begin(start + seconds(2)));
        slots.end(*first);
        EXPECT_TRUE(slots.begin(start + seconds(2)));
        EXPECT_FALSE(slots.begin(start + seconds(3)));
        EXPECT_TRUE(slots.begin(start + seconds(11)));
    }

    /// Nodes with narrow links that get a document from the readers of the store and then from each other, in steps of
    /// a millisecond.
    class spread_simulation {
    public:
        /// A node gets an answer of another one each statementIntervalMs.
        spread_simulation(std::size_t nodes, int statementIntervalMs, std::size_t slots, std::uint64_t seed)
            : m_statementIntervalMs(statementIntervalMs)
            , m_random(seededRandom(seed))
        {
            for (std::size_t i = 0; i < nodes; ++i)
                m_nodes.push_back({ transfer_slots(slots, seconds(10)) });
            const fleet_place place { 0, nodes };
            for (std::size_t i = 0; i < place.readers(); ++i)
                m_nodes[i].isHolder = true;
        }

        /// Milliseconds until all nodes hold the document.
        int run()
        {
            int now = 0;
            while (std::ranges::any_of(m_nodes, [](const auto& one) { return !one.isHolder; })) {
                for (std::size_t i = 0; i < m_nodes.size(); ++i)
                    step(i, now);
                transfer();
                ++now;
            }
            return now;
        }

    private:
        static constexpr int zones = 4;
        static constexpr int roundTripMs = 6; ///< With the processing of the request.
        static constexpr double documentBytes = 400e3;
        static constexpr double bytes = documentBytes / 4; ///< Compressed.
        /// Half of a link of 17 Mbit/s; clients' answers take the other half.
        static constexpr double linkBytesPerMs = 17e6 / 8 / 1000 / 2;

        struct node {
            transfer_slots slots;
            bool isHolder = false;
            std::size_t sending = 0;
            std::map<std::size_t, bool> known {}; ///< Nodes that reported the change, and whether they were asked.
            std::optional<std::size_t> source {};
            unsigned slot = 0;
            double received = 0;
            int askAt = 0;
            int failures = 0;
        };

        static std::string zone(std::size_t index) { return "z" + std::to_string(index % zones); }

        std::size_t pick()
        {
            return static_cast<std::size_t>(m_random() * 0.999 * static_cast<double>(m_nodes.size()));
        }

        void step(std::size_t index, int now)
        {
            auto& self = m_nodes[index];
            if (self.isHolder || self.source)
                return;
            if ((now + static_cast<int>(index)) % m_statementIntervalMs == 0) {
                if (const auto other = pick(); m_nodes[other].isHolder)
                    self.known.try_emplace(other, false);
            }
            if (now < self.askAt || self.known.empty())
                return;
            std::vector<fetch_source> sources;
            for (const auto& [other, wasAsked] : self.known) {
                if (!wasAsked)
                    sources.push_back({ std::to_string(other), zone(other), 9 });
            }
            const auto* source = selectSource(sources, zone(index), m_random());
            if (!source) {
                for (auto& [other, wasAsked] : self.known)
                    wasAsked = false;
                const auto delay = fetchRetryDelay(++self.failures, m_random());
                self.askAt = now + static_cast<int>(std::chrono::duration_cast<milliseconds>(delay).count());
                return;
            }
            const std::size_t asked = std::stoul(source->node);
            self.known[asked] = true;
            self.askAt = now + roundTripMs;
            const auto slot = m_nodes[asked].slots.begin(time_point(milliseconds(now)));
            if (!slot)
                return;
            self.slot = *slot;
            self.source = asked;
            self.received = -roundTripMs * linkBytesPerMs;
            ++m_nodes[asked].sending;
        }

        void transfer()
        {
            for (auto& self : m_nodes) {
                if (!self.source)
                    continue;
                auto& sender = m_nodes[*self.source];
                self.received += linkBytesPerMs / static_cast<double>(sender.sending);
            }
            for (auto& self : m_nodes) {
                if (!self.source || self.received < bytes)
                    continue;
                auto& sender = m_nodes[*self.source];
                --sender.sending;
                sender.slots.end(self.slot);
                self.source.reset();
                self.isHolder = true;
            }
        }

        int m_statementIntervalMs;
        random_function m_random;
        std::vector<node> m_nodes;
    };

    /// Milliseconds until the last of the nodes holds the document, in the slowest of several runs.
    int slowestSpread(std::size_t nodes, int statementIntervalMs, std::size_t slots)
    {
        constexpr std::uint64_t runs = 5;
        int slowest = 0;
        for (std::uint64_t seed = 1; seed <= runs; ++seed)
            slowest = std::max(slowest, spread_simulation(nodes, statementIntervalMs, slots, seed).run());
        return slowest;
    }

    // Guards against nodes that hold a large new configuration later than 2 s after its acknowledgement because the
    // readers of the store send it to all nodes at once over narrow links.
    TEST(FetchSource, LargeConfigurationReachesAllNodesInTime)
    {
        struct fleet {
            std::size_t nodes;
            int statementIntervalMs;
        };
        constexpr int boundMs = 2000;
        constexpr int readerMs = 300; ///< Until the readers have read the document from the store.
        // A node of 69 gets about 12 answers a second; one of 690, at 2,200 requests/s, many more.
        for (const auto& [nodes, statementIntervalMs] : { fleet { 69, 80 }, fleet { 690, 5 } }) {
            EXPECT_LE(readerMs + slowestSpread(nodes, statementIntervalMs, maxSentTransfers), boundMs) << nodes;
            for (const std::size_t slots : { 1, 2, 3, 4, 8, 1000 })
                RecordProperty("ms_" + std::to_string(nodes) + "_nodes_" + std::to_string(slots) + "_slots",
                    slowestSpread(nodes, statementIntervalMs, slots));
        }
    }

} // namespace
} // namespace heatherdrift
