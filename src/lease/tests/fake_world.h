#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace heatherdrift::lease_test {

/// True time in microseconds.
using moment = std::int64_t;
constexpr moment millisecond = 1000;
/// Node index of events that do not run in a process: faults, and effects at the store.
constexpr unsigned environment = 99;

/// An instance; its process may be paused, terminated and replaced.
struct fake_node {
    double clockRate = 1;
    moment clockOffset = 0;
    unsigned process = 0; ///< Number of terminated processes; identifies the current one.
    bool isUp = true;
    moment pausedUntil = 0;
    moment cutUntil = 0;
};

struct fault_rates {
    double loss = 0;
    double duplication = 0;
    double longDelay = 0; ///< Share of messages and store calls that take up to 3 s.
};

enum class reply { answered, not_sent, unknown };

/// Discrete-event simulation in true time with local clocks, and with delays and faults of a network and a store.
class fake_world {
public:
    using action = std::function<void()>;

    fake_world(std::size_t nodes, const fault_rates& rates, std::uint32_t seed)
        : m_rates(rates)
        , m_random(seed + 1)
        , m_nodes(nodes)
    {
        for (auto& node : m_nodes) {
            node.clockRate = 0.99 + 0.01 * static_cast<double>(between(0, 2));
            node.clockOffset = between(0, 1000000) * millisecond;
        }
    }

    fake_node& node(unsigned index) { return m_nodes[index]; }
    moment now() const { return m_now; }
    std::minstd_rand& random() { return m_random; }
    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }
    moment between(moment min, moment max) { return std::uniform_int_distribution<moment>(min, max)(m_random); }

    time_point clockOf(unsigned index) const
    {
        const auto& at = m_nodes[index];
        return time_point(duration(at.clockOffset + static_cast<moment>(static_cast<double>(m_now) * at.clockRate)));
    }
    moment trueTime(unsigned index, time_point when) const
    {
        const auto& at = m_nodes[index];
        const auto elapsed = static_cast<double>(when.time_since_epoch().count() - at.clockOffset);
        return std::max(m_now, 1 + static_cast<moment>(elapsed / at.clockRate));
    }

    /// Schedules an event for the current process of the node; a later process does not run it.
    void at(moment when, unsigned index, action run)
    {
        const auto process = index == environment ? std::nullopt : std::optional(m_nodes[index].process);
        push({ when, ++m_sequence, index, process, std::move(run) });
    }

    /// Delivers a message to the process that runs in the node on arrival.
    void send(unsigned from, unsigned to, moment usualDelay, const action& deliver)
    {
        const bool isRemote = from != environment && from != to;
        if (isRemote && (m_nodes[from].cutUntil > m_now || m_nodes[to].cutUntil > m_now || chance(m_rates.loss)))
            return;
        const int copies = chance(m_rates.duplication) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            push({ m_now + (from == to ? 0 : delay(usualDelay)), ++m_sequence, to, std::nullopt, deliver });
    }

    /// Calls the store. A call whose answer is late or lost may take effect after the caller has timed out.
    void callStore(unsigned index, action atStore, std::function<void(reply)> done)
    {
        if (m_outageUntil > m_now && chance(0.5))
            return at(m_now + 5 * millisecond, index, [done = std::move(done)] { done(reply::not_sent); });
        const auto finish = [isDone = std::make_shared<bool>(false), done = std::move(done)](reply outcome) {
            if (!std::exchange(*isDone, true))
                done(outcome);
        };
        at(m_now + storeTimeout, index, [finish] { finish(reply::unknown); });
        const auto process = m_nodes[index].process;
        at(m_now + delay(20 * millisecond), environment, [=, this, atStore = std::move(atStore)] {
            if (m_outageUntil > m_now)
                return;
            atStore();
            if (m_lostAnswersUntil <= m_now || chance(0.3))
                push({ m_now + delay(20 * millisecond), ++m_sequence, index, process,
                    [finish] { finish(reply::answered); } });
        });
    }

    void loseStoreUntil(moment until) { m_outageUntil = std::max(m_outageUntil, until); }
    void loseAnswersUntil(moment until) { m_lostAnswersUntil = std::max(m_lostAnswersUntil, until); }
    void endFaults()
    {
        m_rates = {};
        m_outageUntil = m_lostAnswersUntil = 0;
        for (auto& node : m_nodes)
            node.pausedUntil = node.cutUntil = 0;
    }

    /// Runs the next event; false if there is none.
    bool step()
    {
        if (m_events.empty())
            return false;
        std::pop_heap(m_events.begin(), m_events.end());
        auto next = std::move(m_events.back());
        m_events.pop_back();
        m_now = std::max(m_now, next.when);
        const auto* node = next.index == environment ? nullptr : &m_nodes[next.index];
        if (node && (!node->isUp || (next.process && *next.process != node->process)))
            return true;
        if (node && node->pausedUntil > m_now) {
            next.when = node->pausedUntil;
            push(std::move(next));
        } else {
            next.run();
        }
        return true;
    }

private:
    struct event {
        moment when;
        unsigned sequence;
        unsigned index;
        std::optional<unsigned> process;
        action run;
        bool operator<(const event& other) const
        {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };

    static constexpr moment storeTimeout = 1000 * millisecond;
    static constexpr moment maxDelay = 3000 * millisecond;

    moment delay(moment usual) { return chance(m_rates.longDelay) ? between(0, maxDelay) : between(usual / 10, usual); }
    void push(event entry)
    {
        m_events.push_back(std::move(entry));
        std::push_heap(m_events.begin(), m_events.end());
    }

    fault_rates m_rates;
    std::minstd_rand m_random;
    std::vector<fake_node> m_nodes;
    std::vector<event> m_events;
    moment m_now = 0;
    unsigned m_sequence = 0;
    moment m_outageUntil = 0;
    moment m_lostAnswersUntil = 0;
};

} // namespace heatherdrift::lease_test
