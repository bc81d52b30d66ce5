#pragma once

#include "gate/evacuation_gate.h"
#include "mesh/tests/ownership_history.h"
#include "routes/evacuation_list.h"

namespace heatherdrift {

/// Nodes in three zones that the operator evacuates and returns at random. Entry nodes send requests by what they know,
/// and gates run them by what they know.
class evacuation_history : public ownership_history {
public:
    explicit evacuation_history(std::uint64_t seed, std::size_t nodes)
        : ownership_history(seed, nodes)
        , m_states(nodes)
    {
        for (auto& state : m_states)
            state.list.onTableRead();
    }

    void setEvacuated(const std::string& zone, bool isEvacuated)
    {
        if (isEvacuated)
            m_evacuatedAt.try_emplace(zone, m_now);
        else
            m_evacuatedAt.erase(zone);
        for (auto& state : m_states) {
            if (state.known == m_changes.size())
                state.learnsAt = m_now + std::chrono::milliseconds(pick(2400));
        }
        m_changes.push_back({ m_now, zone, isEvacuated });
    }
    /// All nodes follow the table of range maps.
    void enableFeed() { m_hasFeed = true; }
    void changeAtRandom(double perSecond) { m_changesPerSecond = perSecond; }
    void restartNode(std::size_t index) { startNode(m_nodes[index]); }
    void drainNode(std::size_t index) { drain(m_nodes[index]); }
    void endDrainedBackend(std::size_t index) { endBackend(m_nodes[index], m_nodes[index].backend.id + "'"); }
    /// Entry nodes send keyed requests to closed zones, so that only the gates refuse them.
    void ignoreAtEntries() { m_entriesIgnore = true; }
    void ignoreAtGates() { m_gatesIgnore = true; }

    std::uint32_t keysIn(const std::string& zone) const
    {
        std::uint32_t count = 0;
        for (const auto& node : m_nodes)
            count += zoneOf(node) == zone ? m_nodes[0].keys->map().keyCount(node.backend.life) : 0;
        return count;
    }
    double answeredShare() const { return m_sent == 0 ? 0 : static_cast<double>(m_answered) / m_sent; }
    void resetAnsweredShare() { m_sent = m_answered = 0; }

private:
    static constexpr evacuation_terms terms { std::chrono::seconds(5) };

    struct change {
        time_point at {};
        std::string zone;
        bool isEvacuated = false;
    };
    /// What a node knows of the evacuations.
    struct zone_state {
        evacuation_list list { terms };
        evacuation_gate gate;
        std::size_t known = 0; ///< Number of changes.
        time_point learnsAt {};
        time_point matchedAt {};
    };

    std::size_t indexOf(const simulated_node& node) const { return static_cast<std::size_t>(&node - m_nodes.data()); }
    std::string zoneOf(const simulated_node& node) const { return std::string(1, "abc"[indexOf(node) % 3]); }
    bool isIsolated(const simulated_node& node) const { return node.isCutFromPeers && !reachesStore(node); }

    void onNodeStarted(simulated_node& node) override
    {
        auto& state = m_states[indexOf(node)];
        state = {};
        state.gate.awaitTable(m_now + terms.limit);
    }

    bool isEvacuated(const simulated_node& byNode, const simulated_node& node) const
    {
        return m_states[indexOf(byNode)].list.find(zoneOf(node)).has_value();
    }

    bool isWhollyEvacuated(const simulated_node& byNode) const
    {
        return std::ranges::all_of(m_nodes, [&](const auto& node) { return isEvacuated(byNode, node); });
    }

    std::vector<owner_candidate> candidates(const simulated_node& node) const override
    {
        if (!m_states[indexOf(node)].list.isRead())
            return {};
        auto out = ownership_history::candidates(node);
        if (isWhollyEvacuated(node))
            return out;
        std::erase_if(out, [&](const auto& one) {
            return isEvacuated(node, *std::ranges::find(m_nodes, one.node, &simulated_node::name));
        });
        return out;
    }

    void learn(simulated_node& node)
    {
        auto& state = m_states[indexOf(node)];
        if (m_now < node.frozenUntil || (state.list.isRead() && (isIsolated(node) || m_now < state.learnsAt))
            || (!state.list.isRead() && (!reachesStore(node) || !chance(20))))
            return;
        for (; state.known < m_changes.size(); ++state.known) {
            const auto& [at, zone, isEvacuated] = m_changes[state.known];
            state.list.setRow(zone, isEvacuated, state.matchedAt, m_now);
        }
        state.list.onTableRead();
        state.matchedAt = m_now;
        const auto own = state.list.find(zoneOf(node));
        if (own)
            state.gate.begin(own->closesAt);
        else
            state.gate.end();
        node.keys->setEvacuated(own.has_value());
    }

    simulated_node* findLife(const simulated_node& entry, const life_name& life)
    {
        const auto found
            = std::ranges::find(m_nodes, life, [](const simulated_node& node) { return node.backend.life; });
        return found != m_nodes.end() && found->backend.isUp && reaches(entry, *found) ? &*found : nullptr;
    }

    simulated_node* pickOwner(const simulated_node& entry, key_number key)
    {
        const auto& range = entry.keys->map().find(key);
        auto lives = range.releasing;
        lives.push_back(range.owner);
        for (const auto& life : lives) {
            auto* node = findLife(entry, life);
            const auto evacuation = node ? m_states[indexOf(entry)].list.find(zoneOf(*node)) : std::nullopt;
            if (node && (m_entriesIgnore || !evacuation || m_now < evacuation->closesAt))
                return node;
        }
        return nullptr;
    }

    simulated_node* pickAny(const simulated_node& entry)
    {
        auto& node = m_nodes[static_cast<std::size_t>(pick(static_cast<int>(m_nodes.size())))];
        return reaches(entry, node) && !isEvacuated(entry, node) ? &node : nullptr;
    }

    bool runAt(const simulated_node& node, std::optional<key_number> key)
    {
        if (!m_gatesIgnore && m_states[indexOf(node)].gate.refuses(key.has_value(), m_now))
            return false;
        if (key && node.keys->access(*key) != key_access::serve)
            return false;
        const auto evacuatedAt = m_evacuatedAt.find(zoneOf(node));
        if (evacuatedAt != m_evacuatedAt.end() && m_now > evacuatedAt->second + terms.limit - terms.margin)
            failure = node.name + " got a request " + std::to_string((m_now - evacuatedAt->second).count())
                + " us after the evacuation of its zone";
        return !key || node.backend.holdsKey(*key, m_now);
    }

    void sendRequests()
    {
        const auto& entry = m_nodes[static_cast<std::size_t>(pick(static_cast<int>(m_nodes.size())))];
        if (!m_states[indexOf(entry)].list.isRead() || m_now < entry.frozenUntil || isIsolated(entry)
            || isWhollyEvacuated(entry))
            return;
        for (const auto key : sampledKeys) {
            const auto* owner = pickOwner(entry, key);
            ++m_sent;
            m_answered += owner && runAt(*owner, key);
        }
        if (const auto* any = pickAny(entry))
            runAt(*any, std::nullopt);
    }

    void afterStep() override
    {
        if (chance(m_changesPerSecond)) {
            const auto zone = std::string(1, "abc"[pick(3)]);
            setEvacuated(zone, !m_evacuatedAt.contains(zone));
        }
        for (auto& node : m_nodes)
            learn(node);
        sendRequests();
    }

    std::vector<zone_state> m_states;
    std::vector<change> m_changes;
    std::map<std::string, time_point> m_evacuatedAt; ///< Zones whose row exists, and when it was written.
    double m_changesPerSecond = 0;
    bool m_entriesIgnore = false;
    bool m_gatesIgnore = false;
    std::uint64_t m_sent = 0;
    std::uint64_t m_answered = 0;
};

} // namespace heatherdrift
