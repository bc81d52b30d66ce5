#pragma once

#include "mesh/internal/ownership.h"
#include "mesh/tests/simulated_store.h"

#include <random>

namespace heatherdrift {

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

/// A call to the store that is under way: it is applied and answered at the given time, or only answered.
struct slow_call {
    time_point at {};
    simulated_store_client::pending_write call;
    std::optional<write_outcome> outcome;
};

struct simulated_node {
    instance_id name;
    mesh_settings settings;
    std::unique_ptr<simulated_store_client> store;
    std::unique_ptr<ownership> keys;
    simulated_backend backend;
    bool isCutFromStore = false;
    bool isCutFromPeers = false;
    std::vector<slow_call> slowCalls;
    bool isTableRead = false;
    time_point frozenUntil {};
    time_point nextHeartbeat {};
    time_point leavesAt = time_point::max(); ///< End of the drain of the backend server.
};

/// Nodes of one service with random faults, in virtual time.
class ownership_history {
public:
    explicit ownership_history(std::uint64_t seed, std::size_t nodes = 4)
        : m_random(seed)
        , m_base(event_base_new())
        , m_nodes(nodes)
        , m_hasFeed(seed % 5 > 0)
        , m_pushesMaps(seed % 3 > 0)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            auto& node = m_nodes[i];
            node.name = "n" + std::to_string(i);
            node.settings.node = node.name;
            node.settings.service = "service";
            node.settings.longestHold = std::chrono::milliseconds(10000);
            node.settings.heartbeatInterval = std::chrono::milliseconds(870);
            startBackend(node, "i" + std::to_string(i));
            startNode(node);
        }
    }

    virtual ~ownership_history() = default;

    void run(duration length)
    {
        for (const auto end = m_now + length; m_now < end && failure.empty(); m_now += step)
            advance();
    }

    std::string failure; ///< Empty unless two backend servers held one key, or one got it with too low a token.
    double servedShare() const { return m_samples == 0 ? 0 : static_cast<double>(m_served) / m_samples; }
    void allowFaults(bool isAllowed) { m_hasFaults = m_movesKeys = isAllowed; }
    void allowMoves(bool isAllowed) { m_movesKeys = isAllowed; }
    void setRestores(double perSecond) { m_restoresPerSecond = perSecond; }
    /// Nodes learn changes of the map only from answers to their own calls and from each other.
    void disableFeed() { m_hasFeed = false; }
    /// The store is down for a time and then comes back from a copy of the given age.
    void restoreStore(duration downTime, duration copyAge)
    {
        m_isStoreDown = true;
        m_restoresAt = m_now + downTime;
        m_restoredCopy = m_now - copyAge;
    }
    void resetServedShare() { m_samples = m_served = 0; }
    void grantWithoutRelease() { m_grantsWithoutRelease = true; }

protected:
    static constexpr time_point startTime { std::chrono::hours(100) };
    static constexpr duration step = std::chrono::milliseconds(20);
    static constexpr double movesPerSecond = 0.3;
    static constexpr int maxMovedKeys = 20000;
    static constexpr key_number sampledKeys[] = { 0, 9000, 30000, 50000, 65535 };

    int pick(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(m_random); }
    bool chance(double perSecond) { return std::uniform_real_distribution<>()(m_random) < perSecond * 0.02; }

    void startBackend(simulated_node& node, std::string id)
    {
        const auto previousStart = node.backend.startedAt;
        node.backend = {};
        node.backend.id = std::move(id);
        node.backend.startedAt = std::max(m_now.time_since_epoch().count() / 1000, previousStart + 1);
        node.backend.life = makeLife(node.backend.id, node.backend.startedAt);
    }

    void startNode(simulated_node& node)
    {
        node.keys.reset();
        node.settings.isFirstStart = m_now == startTime;
        node.store = std::make_unique<simulated_store_client>();
        node.slowCalls.clear();
        node.isTableRead = false;
        node.keys = std::make_unique<ownership>(m_base.get(), node.settings, *node.store, m_mapRow,
            ownership_hooks { [this] { return m_now; }, [this, &node] { return candidates(node); },
                [this, &node](
                    const range_map& map, fencing_token fence, time_point) { return moveRandomKeys(node, map, fence); },
                [] {}, [this, &node] { askOtherOwners(node); }, [this, &node] { return askConfirmingOwner(node); },
                [this, &node](const std::set<life_name>& lives) { pushMap(node, lives); },
                [this, &node](const life_name& life) {
                    return std::ranges::any_of(m_nodes, [&](const auto& other) {
                        return other.backend.life == life && other.backend.isUp && reaches(node, other);
                    });
                } });
        node.store->onRestored([&node](store_era era) { node.keys->onStoreRestored(era); });
        onNodeStarted(node);
    }

    virtual void onNodeStarted(simulated_node&) { }
    virtual void afterStep() { }

    bool reachesStore(const simulated_node& node) const { return !node.isCutFromStore && !m_isStoreDown; }

    void readTable(simulated_node& node)
    {
        node.store->noteEra(m_store.era());
        for (const auto& entry : m_store.rows()) {
            auto row = m_store.current(entry.first);
            node.store->onRow(row);
            node.keys->onRowChanged(row);
        }
        if (!std::exchange(node.isTableRead, true))
            node.keys->onTableRead(m_store.era());
    }

    void pushMap(simulated_node& node, const std::set<life_name>& lives)
    {
        for (auto& other : m_nodes) {
            const bool isReceived = m_pushesMaps && lives.contains(other.backend.life) && reaches(node, other);
            if (isReceived && &other != &node && !chance(5))
                other.keys->adoptNewer(node.keys->map(), node.keys->version());
        }
    }

    /// A balancing plan that moves some keys of any owner to any candidate of the node.
    virtual range_map moveRandomKeys(const simulated_node& node, const range_map& map, fencing_token fence)
    {
        const auto known = candidates(node);
        if (!m_movesKeys || known.empty() || !chance(movesPerSecond))
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

    virtual std::vector<owner_candidate> candidates(const simulated_node& node) const
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
        other.keys->handleConfirmation({ node.keys->life(), version, node.keys->era() },
            [&node, &other, promisedCount, version, count, askedAt = m_now](
                map_statement statement, std::optional<duration> confirmedAgo) {
                node.keys->onStoreRestored(other.keys->era());
                if (statement == map_statement::outdated)
                    node.keys->adoptNewer(other.keys->map(), other.keys->version());
                else if (node.keys->version() != version)
                    return;
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

    virtual void sendHeartbeat(simulated_node& node)
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
        checkFences(backend);
    }

    /// A key must reach another backend server, or another life, only with a token above all that others had.
    void checkFences(const simulated_backend& backend)
    {
        for (const auto key : sampledKeys) {
            for (const auto& range : backend.holds) {
                if (!range.keys.contains(key))
                    continue;
                for (const auto& [life, fence] : m_fences[key]) {
                    if (life != backend.life && fence >= range.fence)
                        failure = "key " + std::to_string(key) + " is granted to " + backend.life + " with token "
                            + std::to_string(range.fence) + " after " + life + " had it with " + std::to_string(fence);
                }
                m_fences[key][backend.life] = std::max(m_fences[key][backend.life], range.fence);
            }
        }
    }

    void serveStore(simulated_node& node)
    {
        while (!node.store->queue.empty()) {
            auto call = std::move(node.store->queue.front());
            node.store->queue.pop_front();
            if (node.isCutFromStore || m_isStoreDown || chance(0.5)) {
                const bool isLate = !node.isCutFromStore && chance(20);
                if (isLate)
                    m_lateWrites.push_back({ m_now + std::chrono::milliseconds(pick(6000)), call.write });
                call.done(mayHaveRun(error_code::store_unavailable, "lost"));
                continue;
            }
            if (m_hasFaults && chance(2)) {
                const bool isApplied = pick(2) == 0;
                node.slowCalls.push_back({ m_now + std::chrono::milliseconds(pick(900)), call,
                    isApplied ? std::optional(m_store.apply(call.write)) : std::nullopt });
                continue;
            }
            call.done(node.store->answer(m_store, call.write));
        }
        serveSlowCalls(node);
        if (reachesStore(node) && (node.isTableRead ? m_hasFeed && chance(20) : chance(20)))
            readTable(node);
    }

    void serveSlowCalls(simulated_node& node)
    {
        const auto isDue = [this](const slow_call& slow) { return slow.at <= m_now; };
        std::vector<slow_call> due;
        std::ranges::copy_if(node.slowCalls, std::back_inserter(due), isDue);
        std::erase_if(node.slowCalls, isDue);
        for (const auto& [at, call, outcome] : due) {
            if (outcome)
                call.done(node.store->receive(call.write, *outcome));
            else if (reachesStore(node))
                call.done(node.store->answer(m_store, call.write));
            else
                call.done(mayHaveRun(error_code::store_unavailable, "lost"));
        }
    }

    /// The store goes down and comes back from a copy that was made up to ten seconds before.
    void startRestore()
    {
        m_isStoreDown = true;
        m_restoresAt = m_now + std::chrono::milliseconds(pick(3000));
        m_restoredCopy = m_now - std::chrono::milliseconds(pick(10000));
        m_restartsAll = chance(10);
    }

    void restoreIfDue()
    {
        m_store.saveCopy(m_now);
        if (m_now < m_restoresAt)
            return;
        m_store.restore(m_restoredCopy, pick(4));
        m_restoresAt = time_point::max();
        m_isStoreDown = false;
        // Writes with a lost answer may still take effect; their numbers may exist again.
        for (auto& late : m_lateWrites) {
            if (pick(2) == 0)
                late.first = m_now + std::chrono::milliseconds(pick(300));
        }
        if (std::exchange(m_restartsAll, false)) {
            // One node may keep its memory, and not see the restore for a while.
            const auto kept = static_cast<std::size_t>(pick(static_cast<int>(m_nodes.size()) + 1));
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (i == kept)
                    m_nodes[i].isCutFromStore = true;
                else
                    startNode(m_nodes[i]);
            }
        }
        if (m_restoresPerSecond > 0 && pick(4) == 0)
            startRestore();
    }

    /// The backend server leaves; another one takes its place after its end.
    void drain(simulated_node& node)
    {
        node.keys->startDrain();
        node.leavesAt = m_now + std::chrono::milliseconds(1000 + pick(5000));
    }

    void endBackend(simulated_node& node, std::string id)
    {
        const auto ended = node.backend.life;
        startBackend(node, std::move(id));
        node.leavesAt = time_point::max();
        for (auto& other : m_nodes) {
            if (&other != &node && reaches(node, other) && pick(2) == 0)
                other.keys->onOtherBackendEnded(ended);
        }
    }

    void injectFaults()
    {
        if (!m_hasFaults)
            return;
        const bool isRestoring = m_restoresAt != time_point::max();
        if (chance(0.05))
            m_isStoreDown = true;
        else if (m_isStoreDown && !isRestoring && chance(0.3))
            m_isStoreDown = false;
        if (!isRestoring && chance(m_restoresPerSecond))
            startRestore();
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
                node.frozenUntil = m_now + std::chrono::milliseconds(pick(6000));
            if (chance(0.02))
                startNode(node);
            if (chance(0.02)) // The backend server crashes and starts again under the same id.
                endBackend(node, node.backend.id);
            if (chance(0.01) && node.leavesAt == time_point::max())
                drain(node);
            if (m_now >= node.leavesAt)
                endBackend(node, node.backend.id + "'");
        }
    }

    void advance()
    {
        injectFaults();
        restoreIfDue();
        for (auto late = m_lateWrites.begin(); late != m_lateWrites.end();) {
            if (m_now < late->first) {
                ++late;
                continue;
            }
            m_store.apply(late->second);
            late = m_lateWrites.erase(late);
        }
        for (auto& node : m_nodes) {
            if (m_now < node.frozenUntil)
                continue;
            if (m_now >= node.nextHeartbeat) {
                node.nextHeartbeat = m_now + std::chrono::milliseconds(870);
                sendHeartbeat(node);
            }
            node.keys->advance();
            serveStore(node);
        }
        afterStep();
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
    time_point m_now = startTime;
    row_key m_mapRow { "ranges", "service" };
    simulated_store m_store;
    std::vector<simulated_node> m_nodes;
    std::vector<std::pair<time_point, conditional_write>> m_lateWrites;
    bool m_isStoreDown = false;
    bool m_hasFaults = true;
    bool m_movesKeys = true;
    bool m_hasFeed;
    bool m_pushesMaps;
    double m_restoresPerSecond = 0;
    bool m_restartsAll = false; ///< All nodes, or all but one, start anew when the store comes back.
    time_point m_restoresAt = time_point::max();
    time_point m_restoredCopy {};
    std::map<key_number, std::map<life_name, fencing_token>> m_fences; ///< Highest token of each holder.
    bool m_grantsWithoutRelease = false;
    std::uint64_t m_samples = 0;
    std::uint64_t m_served = 0;
};

} // namespace heatherdrift
