#include "mesh/tests/ownership_history.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::seconds;

#ifdef HEATHERDRIFT_SANITIZE_BUILD
    constexpr std::uint64_t histories = 10; // About 30 times slower per history.
#else
    constexpr std::uint64_t histories = 300;
#endif

    /// Histories in which rows of the range map cannot be decoded: by any node, or by those that are told so.
    class unreadable_history : public ownership_history {
    public:
        explicit unreadable_history(std::uint64_t seed)
            : ownership_history(seed, 2 + seed % 4)
        {
            for (auto& node : m_nodes)
                onNodeStarted(node);
        }

        void overwriteMap() { m_store.apply({ {}, { { currentRow(), 0, "not a map" } } }); }
        void setOverwrites(double perSecond) { m_overwritesPerSecond = perSecond; }
        /// The first nodes cannot decode some of the rows that the others write and decode.
        void setNodesThatCannotDecode(std::size_t count) { m_cannotDecode = count; }
        /// The first node is frozen for a time, and no other node can reach it.
        void isolateFirstNode(duration frozenTime)
        {
            m_nodes.front().isCutFromPeers = true;
            m_nodes.front().frozenUntil = m_now + frozenTime;
        }
        void cutOthersFromStore(bool isCut)
        {
            for (std::size_t i = 1; i < m_nodes.size(); ++i)
                m_nodes[i].isCutFromStore = isCut;
        }
        row_change currentMap() const { return m_store.current(currentRow()); }
        bool isAnyKeyHeld() const
        {
            return std::ranges::any_of(m_nodes, [this](const auto& node) {
                return std::ranges::any_of(
                    sampledKeys, [&](key_number key) { return node.backend.holdsKey(key, m_now); });
            });
        }

    private:
        row_key currentRow() const { return { m_mapRow.table, m_mapRow.key + "@" + std::to_string(m_store.era()) }; }

        void onNodeStarted(simulated_node& node) override
        {
            const auto position = static_cast<std::size_t>(&node - m_nodes.data());
            node.store->onRow = [this, position](row_change& row) {
                if (row.value && position < m_cannotDecode && numberOf(row.version) % 3 == 0)
                    row.value = "not a map";
            };
        }

        void afterStep() override
        {
            if (!m_isStoreDown && chance(m_overwritesPerSecond))
                overwriteMap();
        }

        double m_overwritesPerSecond = 0;
        std::size_t m_cannotDecode = 0;
    };

    // Guards against a map that is never replaced, so that no key is served any more: each write expected the version
    // before that of the row, or that there is none, and got a conflict with the same row.
    TEST(UnreadableMap, IsReplaced)
    {
        for (std::uint64_t seed = 1; seed <= histories / 10; ++seed) {
            unreadable_history history(seed);
            history.allowFaults(false);
            if (seed % 3 == 0)
                history.overwriteMap();
            else
                history.run(seconds(10));
            history.overwriteMap();
            history.run(seconds(30));
            history.resetServedShare();
            history.run(seconds(10));
            EXPECT_EQ(history.failure, "") << "seed " << seed;
            EXPECT_GT(history.servedShare(), 0.95) << "seed " << seed;
        }
    }

    // Guards against keys that are granted while a backend server may hold them by a map that nobody can decode, and
    // against tokens that such a map may have given out.
    TEST(UnreadableMap, KeysAreGrantedAfterTheLongestHoldByANewToken)
    {
        for (std::uint64_t seed = 1; seed <= histories / 10; ++seed) {
            unreadable_history history(seed);
            history.allowFaults(false);
            history.run(seconds(10));
            history.overwriteMap();
            const auto unreadable = history.currentMap().version;
            const auto map = [&] { return range_map::fromJson(*history.currentMap().value); };
            for (int steps = 0; map().has_error(); ++steps) {
                ASSERT_LT(steps, 1000) << "seed " << seed;
                history.run(std::chrono::milliseconds(20));
            }
            const auto replaced = map().value();
            for (const auto& range : replaced.ranges()) {
                EXPECT_GT(range.fence, unreadable) << "seed " << seed;
                EXPECT_FALSE(range.releasing.empty()) << "seed " << seed;
            }
            // Holds of the map before end with their lease; those of the unreadable one may last for 11.5 s.
            history.run(seconds(5));
            for (int steps = 0; steps < 320; ++steps) {
                EXPECT_FALSE(history.isAnyKeyHeld()) << "seed " << seed << ", step " << steps;
                history.run(std::chrono::milliseconds(20));
            }
        }
    }

    // Guards against two holders of a key, and against tokens that were given out, when maps become undecodable beside
    // partitions, restarts, lost responses, and a store that comes back from an older copy.
    TEST(UnreadableMap, NoKeyHasTwoHolders)
    {
        for (std::uint64_t seed = 1; seed <= histories; ++seed) {
            unreadable_history history(seed);
            history.setOverwrites(0.04);
            if (seed % 2 == 0)
                history.setRestores(0.04);
            history.run(seconds(90));
            EXPECT_EQ(history.failure, "") << "seed " << seed;
        }
    }

    // Guards against an owner that grants at once what it held when the store came back from a copy, though a map since
    // then, which the node that replaces the undecodable one did not know, had moved the keys to another owner.
    TEST(UnreadableMap, KeysThatMovedSinceARestoreAreNotGrantedAtOnce)
    {
        for (std::uint64_t seed = 1; seed <= histories; ++seed) {
            unreadable_history history(seed);
            history.allowFaults(false);
            history.disableFeed();
            history.run(seconds(10));
            history.restoreStore(seconds(1), seconds(1));
            history.run(seconds(4));
            history.isolateFirstNode(seconds(4));
            history.allowMoves(true);
            history.run(seconds(4));
            history.overwriteMap();
            history.cutOthersFromStore(true);
            history.run(seconds(3));
            history.cutOthersFromStore(false);
            history.run(seconds(12));
            EXPECT_EQ(history.failure, "") << "seed " << seed;
        }
    }

    // Guards against nodes that replace a map which others can decode, as beside a newer software version: its holders
    // go on holding their keys, and the service must not lose them each time the map changes.
    TEST(UnreadableMap, MapThatOtherOwnersCanDecodeIsNotReplaced)
    {
        for (std::uint64_t seed = 1; seed <= histories; ++seed) {
            unreadable_history history(seed);
            history.setNodesThatCannotDecode(1 + seed % 2);
            history.allowFaults(seed % 2 == 0);
            history.allowMoves(true);
            history.run(seconds(60));
            EXPECT_EQ(history.failure, "") << "seed " << seed;
            if (seed % 2 == 1) {
                EXPECT_GT(history.servedShare(), 0.7) << "seed " << seed;
            }
        }
    }

} // namespace
} // namespace heatherdrift
