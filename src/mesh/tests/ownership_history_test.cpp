#include "mesh/internal/ownership.h"

#include <deque>
#include <gtest/gtest.h>
#include <random>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;

    /// Versioned store in memory that queues the writes of one node. serveStore() completes them; they may be lost
    /// before they take effect, and a lost write may take effect late.
    class history_store : public watched_store {
    public:
        struct pending_write {
            conditional_write write;
            std::function<void(result<write_outcome>)> done;
        };

        void read(std::string, time_point, std::function<void(result<row_snapshot>)>) override { }
        void watch(std::string, row_version, duration, time_point, std::function<void(result<row_snapshot>)>) override
        {
        }
        void write(conditional_write write, time_point, std::function<void(result<write_outcome>)> done) override
        {
            queue.push_back({ std::move(write), std::move(done) });
        }

        std::deque<pending_write> queue;
    };

    /// The row of the range map and how writes to it are applied.
    struct shared_row {
        row_key key { "ranges", "service" };
        row_version version = 0;
        std::string value;

        write_outcome apply(const conditional_write& write)
        {
            if (write.checks.at(0).version != version)
                return { false, version, { { key, version, value } } };
            if (!write.changes.empty()) {
                ++version;
                value = *write.changes.at(0).value;
            }
            return { true, version, {} };
        }
    };

    /// A backend server: holds the granted keys until the hold has ended by its own clock.
    struct simulated_backend {
        life_name life;
        std::string id;
        std::int64_t startedAt = 0;
        std::int64_t sequence = 0;
        std::vector<granted_range> holds;
        std::vector<released_range> released;
        time_point holdEnd {};
        bool isUp = true;

        bool holdsKey(key_number key, time_point now) const
        {
            return isUp && now < holdEnd
                && std::ranges::any_of(holds, [&](const auto& range) { return range.keys.contains(key); });
        }
    };

    struct simulated_node {
        instance_id name;
        mesh_settings settings;
        std::unique_ptr<history_store> store = std::make_unique<history_store>();
        std::unique_ptr<ownership> keys;
        simulated_backend backend;
        bool isCutFromStore = false;
        bool isCutFromPeers = false;
        time_point frozenUntil {};
        time_point nextHeartbeat {};
    };

    /// Nodes of one service with random faults, in virtual time.
    class ownership_history {
    public:
        explicit ownership_history(std::uint64_t seed, std::size_t nodes = 4)
            : m_random(seed)
            , m_base(event_base_new())
            , m_nodes(nodes)
        {
            for (std::size_t i = 0; i < nodes; ++i) {
                auto& node = m_nodes[i];
                node.name = "n" + std::to_string(i);
                node.settings.node = node.name;
                node.settings.service = "service";
                node.settings.longestHold = milliseconds(10000);
                node.settings.heartbeatInterval = milliseconds(870);
                node.settings.isFirstStart = true;
                startBackend(node, "i" + std::to_string(i));
                startNode(node);
            }
        }

        void run(duration length)
        {
            for (const auto end = m_now + length; m_now < end && failure.empty(); m_now += step)
                advance();
        }

        std::string failure; ///< Empty unless two backend servers held one key.
        double servedShare() const { return m_samples == 0 ? 0 : static_cast<double>(m_served) / m_samples; }
        void allowFaults(bool isAllowed) { m_hasFaults = isAllowed; }
        void grantWithoutRelease() { m_grantsWithoutRelease = true; }

    private:
        static constexpr duration step = milliseconds(20);
        static constexpr double movesPerSecond = 0.3;
        static constexpr int maxMovedKeys = 20000;
        static constexpr key_number sampledKeys[] = { 0, 9000, 30000, 50000, 65535 };

        int pick(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(m_random); }
        bool chance(double perSecond) { return std::uniform_real_distribution<>()(m_random) < perSecond * 0.02; }

        void startBackend(simulated_node& node, std::string id)
        {
            node.backend = {};
            node.backend.id = std::move(id);
            node.backend.startedAt = m_now.time_since_epoch().count() / 1000;
            node.backend.life = makeLife(node.backend.id, node.backend.startedAt);
        }

        void startNode(simulated_node& node)
        {
            node.store->queue.clear();
            node.keys = std::make_unique<ownership>(m_base.get(), node.settings, *node.store, m_row.key,
                ownership_hooks { [this] { return m_now; }, [this, &node] { return candidates(node); },
                    [this, &node](const range_map& map, fencing_token fence, time_point) {
                        return moveRandomKeys(node, map, fence);
                    },
                    [] {}, [this, &node] { askOtherOwners(node); }, [this, &node] { return askConfirmingOwner(node); },
                    [](const std::set<life_name>&) {},
                    [this, &node](const life_name& life) {
                        return std::ranges::any_of(m_nodes, [&](const auto& other) {
                            return other.backend.life == life && other.backend.isUp && reaches(node, other);
                        });
                    } });
            if (m_row.version > 0)
                node.keys->onRowChanged({ m_row.key, m_row.version, m_row.value });
            node.keys->onTableRead();
        }

        /// A balancing plan that moves some keys of any owner to any candidate of the node.
        range_map moveRandomKeys(const simulated_node& node, const range_map& map, fencing_token fence)
        {
            const auto known = candidates(node);
            if (!m_hasFaults || known.empty() || !chance(movesPerSecond))
                return map;
            const auto first = static_cast<key_number>(pick(lastKey));
            const auto last = std::min<key_number>(lastKey, first + static_cast<key_number>(pick(maxMovedKeys)));
            return map.assign({ first, last }, known[pick(static_cast<int>(known.size()))].range.life, fence);
        }

        bool reaches(const simulated_node& from, const simulated_node& to) const
        {
            return &from == &to
                || (!from.isCutFromPeers && !to.isCutFromPeers && m_now >= to.frozenUntil && m_now >= from.frozenUntil);
        }

        std::vector<owner_candidate> candidates(const simulated_node& node) const
        {
            std::vector<owner_candidate> out;
            for (const auto& other : m_nodes) {
                if (other.backend.isUp && reaches(node, other))
                    out.push_back({ other.name, { other.backend.life, 0 }, true });
            }
            return out;
        }

        void askOtherOwners(simulated_node& node)
        {
            const auto owners = node.keys->otherOwners();
            auto promisedCount = std::make_shared<std::size_t>(0);
            for (const auto& life : owners) {
                for (auto& other : m_nodes) {
                    if (other.backend.life != life || !reaches(node, other))
                        continue;
                    askOwner(node, other, promisedCount, owners.size());
                }
            }
        }

        void askOwner(simulated_node& node, simulated_node& other, const std::shared_ptr<std::size_t>& promisedCount,
            std::size_t count)
        {
            const auto version = node.keys->version();
            other.keys->handleConfirmation(node.keys->life(), version,
                [&node, &other, promisedCount, version, count, askedAt = m_now](
                    map_statement statement, std::optional<duration> confirmedAgo) {
                    if (node.keys->version() != version)
                        return;
                    if (statement == map_statement::outdated)
                        node.keys->adoptNewer(other.keys->map(), other.keys->version());
                    if (confirmedAgo && node.keys->version() == other.keys->version())
                        node.keys->onConfirmed(askedAt - *confirmedAgo);
                    if (statement == map_statement::promised && ++*promisedCount == count)
                        node.keys->onPromised(askedAt);
                });
        }

        bool askConfirmingOwner(simulated_node& node)
        {
            for (auto& other : m_nodes) {
                if (&other == &node)
                    return false;
                if (!other.backend.isUp || !reaches(node, other) || !node.keys->map().hasOwner(other.backend.life))
                    continue;
                askOwner(node, other, std::make_shared<std::size_t>(0), node.keys->otherOwners().size());
                return true;
            }
            return false;
        }

        void sendHeartbeat(simulated_node& node)
        {
            auto& backend = node.backend;
            backend_announcement announcement;
            announcement.id = backend.id;
            announcement.startedAt = backend.startedAt;
            announcement.sequence = ++backend.sequence;
            if (m_now < backend.holdEnd) {
                for (const auto& range : backend.holds)
                    announcement.holds.push_back({ range.keys, range.fence });
            }
            announcement.released = backend.released;
            node.keys->handleHeartbeat(announcement);
            const auto grant = node.keys->grant(m_now);
            if (!grant.isValid || chance(5)) // The response may be lost.
                return;
            backend.released.clear();
            for (const auto& held : backend.holds) {
                const bool isKept = std::ranges::any_of(
                    grant.ranges, [&](const auto& range) { return range.keys.intersects(held.keys); });
                if (!isKept)
                    backend.released.push_back({ held.keys, "token" });
            }
            backend.holds = grant.ranges;
            if (m_grantsWithoutRelease) {
                for (const auto& range : node.keys->map().ranges()) {
                    if (range.owner == backend.life)
                        backend.holds.push_back({ range.keys, range.fence, "" });
                }
            }
            // The backend server's clock may run 2% slow.
            backend.holdEnd = m_now + std::chrono::duration_cast<duration>(grant.hold * 1.02);
        }

        void serveStore(simulated_node& node)
        {
            while (!node.store->queue.empty()) {
                auto call = std::move(node.store->queue.front());
                node.store->queue.pop_front();
                if (node.isCutFromStore || m_isStoreDown || chance(0.5)) {
                    const bool isLate = !node.isCutFromStore && chance(20);
                    if (isLate)
                        m_lateWrites.push_back({ m_now + milliseconds(pick(6000)), call.write });
                    call.done(mayHaveRun(error_code::store_unavailable, "lost"));
                    continue;
                }
                call.done(m_row.apply(call.write));
            }
            if (!node.isCutFromStore && !m_isStoreDown && m_row.version > node.keys->version() && chance(20))
                node.keys->onRowChanged({ m_row.key, m_row.version, m_row.value });
        }

        void injectFaults()
        {
            if (!m_hasFaults)
                return;
            if (chance(0.05))
                m_isStoreDown = true;
            else if (m_isStoreDown && chance(0.3))
                m_isStoreDown = false;
            for (auto& node : m_nodes) {
                if (chance(0.03))
                    node.isCutFromStore = !node.isCutFromStore;
                else if (node.isCutFromStore && chance(0.2))
                    node.isCutFromStore = false;
                if (chance(0.02))
                    node.isCutFromPeers = true;
                else if (node.isCutFromPeers && chance(0.3))
                    node.isCutFromPeers = false;
                if (chance(0.02))
                    node.frozenUntil = m_now + milliseconds(pick(6000));
                if (chance(0.02) && m_row.version > 0)
                    startNode(node);
                if (chance(0.02)) // The backend server crashes and starts again under the same id.
                    startBackend(node, node.backend.id);
            }
        }

        void advance()
        {
            injectFaults();
            for (auto late = m_lateWrites.begin(); late != m_lateWrites.end();) {
                if (m_now < late->first) {
                    ++late;
                    continue;
                }
                m_row.apply(late->second);
                late = m_lateWrites.erase(late);
            }
            for (auto& node : m_nodes) {
                if (m_now < node.frozenUntil)
                    continue;
                if (m_now >= node.nextHeartbeat) {
                    node.nextHeartbeat = m_now + milliseconds(870);
                    sendHeartbeat(node);
                }
                node.keys->advance();
                serveStore(node);
            }
            checkOwners();
        }

        void checkOwners()
        {
            for (const auto key : sampledKeys) {
                std::string holder;
                for (const auto& node : m_nodes) {
                    if (!node.backend.holdsKey(key, m_now))
                        continue;
                    if (!holder.empty())
                        failure = "key " + std::to_string(key) + " is held by " + holder + " and " + node.backend.life
                            + " at " + std::to_string(m_now.time_since_epoch().count());
                    holder = node.backend.life;
                }
                ++m_samples;
                m_served += !holder.empty();
            }
        }

        std::mt19937_64 m_random;
        event_base_handle m_base;
        time_point m_now { std::chrono::hours(100) };
        shared_row m_row;
        std::vector<simulated_node> m_nodes;
        std::vector<std::pair<time_point, conditional_write>> m_lateWrites;
        bool m_isStoreDown = false;
        bool m_hasFaults = true;
        bool m_grantsWithoutRelease = false;
        std::uint64_t m_samples = 0;
        std::uint64_t m_served = 0;
    };

#ifdef HEATHERDRIFT_SANITIZE_BUILD
    constexpr std::uint64_t histories = 20; // About 30 times slower per history.
#else
    constexpr std::uint64_t histories = 600;
#endif

    // Guards against two backend servers that hold the same key under random combinations of network partitions,
    // freezes, restarts, outages of the store, lost responses and late writes. Each history covers 60 s of virtual
    // time.
    TEST(OwnershipHistory, NoKeyHasTwoHolders)
    {
        for (std::uint64_t seed = 1; seed <= histories; ++seed) {
            ownership_history history(seed, 2 + seed % 4);
            history.run(std::chrono::seconds(60));
            ASSERT_EQ(history.failure, "") << "seed " << seed;
        }
    }

    // Shows that the check above can fail: a backend server that takes keys before their release is detected.
    TEST(OwnershipHistory, GrantWithoutReleaseIsDetected)
    {
        std::string failure;
        for (std::uint64_t seed = 1; seed <= histories && failure.empty(); ++seed) {
            ownership_history history(seed);
            history.grantWithoutRelease();
            history.run(std::chrono::seconds(60));
            failure = history.failure;
        }
        EXPECT_NE(failure, "");
    }

    // Guards against keys without a holder in the absence of faults.
    TEST(OwnershipHistory, EveryKeyIsHeldWithoutFaults)
    {
        ownership_history history(1);
        history.allowFaults(false);
        history.run(std::chrono::seconds(6));
        ownership_history longHistory(2);
        longHistory.allowFaults(false);
        longHistory.run(std::chrono::seconds(60));
        EXPECT_EQ(longHistory.failure, "");
        EXPECT_GT(longHistory.servedShare(), 0.9);
    }

} // namespace
} // namespace heatherdrift
