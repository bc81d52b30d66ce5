#pragma once

#include "gate/life_order.h"
#include "mesh/tests/ownership_history.h"
#include "mesh/tests/simulated_backend.h"

namespace heatherdrift {

/// A history in which backend servers stay at work on keys that they have to release, ranges are merged, heartbeats and
/// their responses are late, and nodes restart while their backend server goes on.
class working_history : public ownership_history {
public:
    explicit working_history(std::uint64_t seed, std::size_t nodes)
        : ownership_history(seed, nodes)
    {
        for (auto& node : m_nodes) {
            auto& own = m_states.emplace_back(node.settings.heartbeatInterval);
            own.backend = working_backend(node.backend.id, node.backend.startedAt);
        }
    }

    /// Receives a line for each heartbeat, response, start and move.
    std::function<void(const std::string&)> trace;
    /// More of the heartbeats are up to four seconds late, and nodes restart more often.
    void setDisturbed()
    {
        m_lateHeartbeats = 25;
        m_restartsPerSecond = 0.3;
    }
    std::uint64_t merges() const { return m_merges; }
    /// Responses with a grant that a backend server took while another token of the same keys was at work.
    std::uint64_t overlaps() const { return m_overlaps; }

protected:
    void sendHeartbeat(simulated_node&) override { }

    /// As the planner does, with moves of few keys close to one another among those of many keys.
    range_map moveRandomKeys(const simulated_node& node, const range_map& map, fencing_token fence) override
    {
        const auto known = candidates(node);
        if (!m_movesKeys || known.empty() || !chance(movesPerSecond))
            return map;
        const bool isMerged = pick(2) == 0;
        const auto before = isMerged ? map.mergeSettled() : map;
        m_merges += before != map;
        const bool isSmall = pick(2) == 0;
        const auto first = static_cast<key_number>(isSmall ? smallMovesFrom + pick(smallMoveKeys) : pick(lastKey));
        const auto last = std::min<key_number>(
            lastKey, first + static_cast<key_number>(pick(isSmall ? smallMoveKeys : maxMovedKeys)));
        const auto& target = known[pick(static_cast<int>(known.size()))].range.life;
        note([&] { return node.name + " moves " + text({ first, last }) + " to " + target; });
        if (pick(10) == 0)
            planRestart();
        return before.assign({ first, last }, target, fence);
    }

    void onNodeStarted(simulated_node& node) override
    {
        if (m_states.empty())
            return;
        note([&] { return node.name + " starts"; });
        auto& own = stateOf(node);
        own.lives = life_order(node.settings.heartbeatInterval);
        own.isTaken = false;
        own.deferred.reset();
        // The row that the earlier process wrote may be read late, or not at all if it was removed.
        own.rowReadAt = pick(3) == 0 ? time_point::max() : m_now + std::chrono::milliseconds(pick(1500));
    }

    void afterStep() override
    {
        restartNodes();
        for (auto& node : m_nodes) {
            auto& own = stateOf(node);
            if (own.backend->life() != node.backend.life)
                startNextLife(node, own);
            if (own.backend->isHeartbeatDue(m_now))
                transmit(own, own.backend->sendHeartbeat(m_now), false);
            if (m_now >= node.frozenUntil) {
                readRowIfDue(node, own);
                deliverHeartbeats(node, own);
                answerIfDue(node, own);
            }
        }
        for (auto& node : m_nodes)
            deliverResponses(node, stateOf(node));
        for (auto& node : m_nodes) {
            auto& own = stateOf(node);
            own.backend->endWork(m_now);
            node.backend.holds.clear();
            for (const auto& row : own.backend->rows()) {
                if (row.isUsed)
                    node.backend.holds.push_back({ row.keys, row.fence, "" });
            }
            node.backend.holdEnd = time_point::max();
        }
    }

private:
    static constexpr key_number smallMovesFrom = 29000; ///< Contains a key that is checked for its holders.
    static constexpr int smallMoveKeys = 2000;
    static constexpr double movesPerSecond = 0.6;
    static constexpr auto longestDeferral = std::chrono::milliseconds(500);

    struct heartbeat_on_its_way {
        time_point arrivesAt {};
        working_backend::sent_heartbeat sent;
    };
    struct response_on_its_way {
        time_point arrivesAt {};
        working_backend::sent_heartbeat sent;
        hold_grant grant;
    };
    struct deferred_response {
        time_point receivedAt {};
        working_backend::sent_heartbeat sent;
    };
    struct node_state {
        explicit node_state(duration heartbeatInterval)
            : lives(heartbeatInterval)
        {
        }

        std::optional<working_backend> backend;
        std::vector<heartbeat_on_its_way> heartbeats;
        std::vector<response_on_its_way> responses;
        // State of the node process.
        life_order lives;
        bool isTaken = false; ///< This process has taken a heartbeat.
        std::optional<deferred_response> deferred;
        time_point rowReadAt = time_point::max();
        std::optional<ordered_life> row; ///< Outlasts the process.
    };
    struct used_token {
        key_range keys;
        life_name life;
        fencing_token fence = 0;
    };

    node_state& stateOf(const simulated_node& node)
    {
        return m_states[static_cast<std::size_t>(&node - m_nodes.data())];
    }

    static std::string text(key_range keys)
    {
        return "[" + std::to_string(keys.first) + "," + std::to_string(keys.last) + "]";
    }

    template <typename Ranges> static std::string listText(const Ranges& ranges)
    {
        std::string out;
        for (const auto& range : ranges)
            out += " " + text(range.keys) + ":" + std::to_string(range.fence & 0xffffffff);
        return out;
    }

    std::string timeText(time_point at) const
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(at - startTime).count());
    }

    template <typename Describe> void note(Describe describe)
    {
        if (trace)
            trace(timeText(m_now) + " " + describe());
    }

    static std::string describe(const working_backend::sent_heartbeat& sent)
    {
        std::string out = sent.announcement.life() + " heartbeat " + std::to_string(sent.announcement.sequence)
            + " holds" + listText(sent.announcement.holds) + " released";
        for (const auto& range : sent.announcement.released)
            out += " " + text(range.keys) + " " + range.handover;
        return out;
    }

    void planRestart()
    {
        m_restartsAt = m_now + std::chrono::milliseconds(pick(2500));
        // All nodes, or one of them.
        m_restarted = pick(4) == 0 ? m_nodes.size() : static_cast<std::size_t>(pick(static_cast<int>(m_nodes.size())));
    }

    void restartNodes()
    {
        if (m_hasFaults && m_restartsAt == time_point::max() && chance(m_restartsPerSecond))
            planRestart();
        if (m_now < m_restartsAt)
            return;
        m_restartsAt = time_point::max();
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_restarted == m_nodes.size() || m_restarted == i)
                startNode(m_nodes[i]);
        }
    }

    void startNextLife(simulated_node& node, node_state& own)
    {
        note([&] { return own.backend->life() + " has ended, " + node.backend.life + " starts"; });
        // Its last heartbeat may arrive after its end, even as the first one that a new node process hears.
        if (pick(3) == 0) {
            transmit(own, own.backend->sendHeartbeat(m_now), true);
            if (pick(2) == 0)
                planRestart();
        }
        own.backend.emplace(node.backend.id, node.backend.startedAt);
    }

    void transmit(node_state& own, working_backend::sent_heartbeat sent, bool isLate)
    {
        const int kind = pick(100);
        if (kind == 0)
            return;
        const int delayMs = isLate || kind < m_lateHeartbeats ? pick(4000) : kind < 6 ? pick(900) : pick(20);
        own.heartbeats.push_back({ m_now + std::chrono::milliseconds(delayMs), std::move(sent) });
    }

    /// As the node does with the row of an earlier process.
    void readRowIfDue(simulated_node& node, node_state& own)
    {
        if (m_now < own.rowReadAt || !reachesStore(node))
            return;
        own.rowReadAt = time_point::max();
        if (!own.row)
            return;
        if (own.isTaken && own.lives.present()->order < own.row->order) {
            own.isTaken = false;
            node.keys->discardLife();
            own.deferred.reset();
        }
        if (own.isTaken)
            return;
        own.lives.presume(*own.row, m_now);
        node.keys->setPresumedLife(makeLife(own.row->stated.id, own.row->order));
    }

    void deliverHeartbeats(simulated_node& node, node_state& own)
    {
        std::vector<heartbeat_on_its_way> due;
        std::ranges::copy_if(
            own.heartbeats, std::back_inserter(due), [&](const auto& entry) { return entry.arrivesAt <= m_now; });
        std::erase_if(own.heartbeats, [&](const auto& entry) { return entry.arrivesAt <= m_now; });
        std::ranges::stable_sort(due, {}, &heartbeat_on_its_way::arrivesAt);
        for (auto& entry : due)
            takeHeartbeat(node, own, std::move(entry.sent));
    }

    /// As announcement_service::handle().
    void takeHeartbeat(simulated_node& node, node_state& own, working_backend::sent_heartbeat sent)
    {
        auto announcement = sent.announcement;
        const auto verdict = own.lives.observe(
            { announcement.id, announcement.startedAt }, announcement.sequence, m_now, node.keys->holdsEnd());
        const bool isTaken = verdict == heartbeat_verdict::present || verdict == heartbeat_verdict::next;
        note([&] {
            return node.name + (isTaken ? " takes " : " ignores ") + describe(sent) + " sent " + timeText(sent.at);
        });
        if (!isTaken)
            return respond(own, std::move(sent), {});
        announcement.startedAt = own.lives.present()->order;
        answer(node, own);
        own.isTaken = true;
        // The process replaces the row of the earlier one.
        own.row = own.lives.present();
        own.rowReadAt = time_point::max();
        node.keys->handleHeartbeat(announcement);
        own.deferred = { m_now, std::move(sent) };
        answerIfDue(node, own);
    }

    void answerIfDue(simulated_node& node, node_state& own)
    {
        if (!own.deferred)
            return;
        if (!node.keys->isAwaitingGrant() || m_now >= own.deferred->receivedAt + longestDeferral)
            answer(node, own);
    }

    void answer(simulated_node& node, node_state& own)
    {
        if (!own.deferred)
            return;
        auto deferred = *std::exchange(own.deferred, std::nullopt);
        auto grant = node.keys->grant(deferred.receivedAt);
        for (const auto& range : node.keys->map().ranges()) {
            if (m_grantsWithoutRelease && range.owner == deferred.sent.announcement.life())
                grant.ranges.push_back({ range.keys, range.fence, "" });
        }
        note([&] {
            return node.name + " answers heartbeat " + std::to_string(deferred.sent.announcement.sequence)
                + (grant.isValid ? " with" : " without a grant") + listText(grant.ranges);
        });
        respond(own, std::move(deferred.sent), grant);
    }

    void respond(node_state& own, working_backend::sent_heartbeat sent, const hold_grant& grant)
    {
        const int kind = pick(20);
        if (kind == 0)
            return;
        const int delayMs = kind == 1 ? pick(900) : pick(20);
        own.responses.push_back({ m_now + std::chrono::milliseconds(delayMs), std::move(sent), grant });
    }

    void deliverResponses(simulated_node& node, node_state& own)
    {
        std::vector<response_on_its_way> due;
        std::ranges::copy_if(
            own.responses, std::back_inserter(due), [&](const auto& entry) { return entry.arrivesAt <= m_now; });
        std::erase_if(own.responses, [&](const auto& entry) { return entry.arrivesAt <= m_now; });
        std::ranges::stable_sort(due, {}, &response_on_its_way::arrivesAt);
        for (const auto& entry : due) {
            // The response to a life that has ended reaches nobody.
            if (entry.sent.announcement.life() != own.backend->life()
                || !own.backend->receive(entry.sent, entry.grant, m_now, m_random))
                continue;
            note([&] {
                return node.backend.life + " applies the response to heartbeat "
                    + std::to_string(entry.sent.announcement.sequence) + listText(entry.grant.ranges) + " sent "
                    + timeText(entry.sent.at);
            });
            checkGrant(node, *own.backend);
        }
    }

    /// No key may be granted on which another live backend server holds or is at work, nor with a token that is not
    /// above all that others had.
    void checkGrant(const simulated_node& node, const working_backend& backend)
    {
        for (const auto& row : backend.rows()) {
            m_overlaps += std::ranges::any_of(backend.rows(),
                [&](const auto& other) { return other.fence > row.fence && other.keys.intersects(row.keys); });
            if (!row.isUsed)
                continue;
            checkWork(node, backend.life(), row);
            checkToken({ row.keys, backend.life(), row.fence });
        }
    }

    void checkWork(const simulated_node& node, const life_name& life, const worked_row& granted)
    {
        for (const auto& other : m_nodes) {
            const auto& busy = *stateOf(other).backend;
            // A life that has ended in this step is replaced in the next one.
            if (&other == &node || busy.life() != other.backend.life || !other.backend.isUp)
                continue;
            for (const auto& row : busy.rows()) {
                if (m_now < row.end() && row.keys.intersects(granted.keys))
                    failure = "at " + timeText(m_now) + " ms " + life + " is granted " + text(granted.keys)
                        + " with token " + std::to_string(granted.fence) + " while " + busy.life()
                        + (row.isUsed ? " holds " : " is at work on ") + text(row.keys) + " with "
                        + std::to_string(row.fence) + " until " + timeText(row.end()) + " ms";
            }
        }
    }

    void checkToken(const used_token& granted)
    {
        for (const auto& used : m_usedTokens) {
            if (used.life != granted.life && used.fence >= granted.fence && used.keys.intersects(granted.keys))
                failure = text(granted.keys) + " is granted to " + granted.life + " with token "
                    + std::to_string(granted.fence) + " after " + used.life + " had " + text(used.keys) + " with "
                    + std::to_string(used.fence);
        }
        std::erase_if(m_usedTokens, [&](const auto& used) {
            return used.life == granted.life && used.fence <= granted.fence && granted.keys.covers(used.keys);
        });
        m_usedTokens.push_back(granted);
    }

    std::vector<node_state> m_states; ///< In the order of the nodes.
    std::vector<used_token> m_usedTokens; ///< Highest tokens of each life.
    time_point m_restartsAt = time_point::max();
    std::size_t m_restarted = 0; ///< Index of a node; the number of nodes for all.
    int m_lateHeartbeats = 3; ///< Per 100, by up to four seconds, and one of them lost.
    double m_restartsPerSecond = 0.02;
    std::uint64_t m_merges = 0;
    std::uint64_t m_overlaps = 0;
};

} // namespace heatherdrift
