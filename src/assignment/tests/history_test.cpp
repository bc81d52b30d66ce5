#include "assignment/coordinator.h"
#include "assignment/planned_move.h"
#include "fake_store.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>
#include <random>
#include <rapidcheck/gtest.h>

namespace heatherdrift::test {
namespace {

    /// A rule that a history violates on purpose, to verify that its checks detect the violation.
    enum class broken_rule {
        none,
        member_check, ///< Transactions do not check the successor's membership row.
        fencing, ///< Coordinators treat an owner that is being fenced as already fenced.
        listed_keys, ///< Ordinary pages do not list keys with a hot partition.
        read_back, ///< A lost response to a hand-over is treated as a rejection.
        key_epoch, ///< Returning a key does not raise its epoch above those of both partitions.
    };

    struct statistics {
        int commits = 0, conflicts = 0, isolations = 0, returns = 0, handOvers = 0;
    };

    struct process {
        instance_ref self;
        bool isAlive = true;
        bool hasLease = true;
        member_map members;
        partition_map map;
        std::optional<planned_move> move;
        std::optional<read_page> readBack;
    };

    struct delayed_write {
        store_transaction transaction;
        instance_ref writer;
    };

    /// A random sequence of joins, losses, drains, moves, takeovers and hot key changes by processes with outdated
    /// views, with lost, late and rejected writes.
    class history {
    public:
        history(std::uint64_t seed, broken_rule broken, statistics& counts)
            : m_random(seed)
            , m_broken(broken)
            , m_counts(counts)
            , m_store { makePool(pick(2) == 0 ? 2 : 4), { "alpha", "beta", "gamma", "delta" }, {}, {}, {}, 0, {}, {} }
        {
            chooseActionWeights();
            m_processes.resize(2 + pick(3));
            for (std::size_t i = 0; i < m_processes.size(); ++i) {
                m_processes[i].self.id = idOf(i);
                restart(m_processes[i]);
                setState(m_processes[i], member_state::active);
            }
        }

        // Each history has its own random weights of the actions, since some rare sequences need several actions of the
        // same kind.
        void chooseActionWeights()
        {
            const std::pair<void (history::*)(process&), std::size_t> maxWeights[]
                = { { &history::changeMembership, 1 }, { &history::deliverDelayedWrite, 2 }, { &history::repair, 3 },
                      { &history::startMove, 8 }, { &history::changeHotKey, 8 }, { &history::continueMove, 4 },
                      { &history::synchronise, 14 } };
            for (const auto& [action, weight] : maxWeights)
                m_actions.insert(m_actions.end(), 1 + pick(weight), action);
        }

        /// Returns the first violation; empty if there is none.
        std::string run()
        {
            for (int i = 0; i < 150 && m_store.violation.empty(); ++i) {
                (this->*m_actions[pick(m_actions.size())])(m_processes[pick(m_processes.size())]);
                checkServers();
            }
            if (m_store.violation.empty())
                settle();
            return m_store.violation;
        }

    private:
        std::size_t pick(std::size_t count) { return m_random() % count; }
        std::string nextId() { return std::to_string(++m_operations); }
        member_state stateOf(const process& process) { return m_store.members[process.self.id].row.state; }
        versioned_page pageOf(const process& process, std::uint32_t page) const
        {
            return process.map.page("pool", page).value_or(absentPage(m_store.pool, page));
        }

        void setState(process& process, member_state state)
        {
            auto& member = m_store.members[process.self.id];
            ++member.version;
            member.row.state = state;
        }

        // A process starts only after the previous one of its instance has ended, so the previous lease is lost.
        void restart(process& old)
        {
            auto& member = m_store.members[old.self.id];
            member.row.self = { old.self.id, member.row.self.number + 1 };
            old = {};
            old.self = member.row.self;
            setState(old, member_state::joining);
        }

        void end(process& process, member_state state)
        {
            process.hasLease = false;
            setState(process, state);
        }

        void changeMembership(process& process)
        {
            const auto state = stateOf(process);
            const bool hasEnded = state == member_state::fenced || state == member_state::left;
            const auto what = pick(8);
            if (what == 0) // The witness set changes: a new row version with the same incarnation.
                setState(process, state);
            else if (what == 1)
                process.isAlive = process.hasLease = false;
            else if (what == 2)
                restart(process);
            else if (what == 3 && state == member_state::active)
                setState(process, member_state::draining);
            else if (what == 4 && state == member_state::draining && process.map.ownedBy("pool", process.self).empty())
                end(process, member_state::left);
            else if (what == 5 && state == member_state::joining && process.isAlive)
                setState(process, member_state::active);
            else if (what >= 6 && state == member_state::fencing) // The process may keep running, without its lease.
                end(process, member_state::fenced);
            else if (what >= 6 && !hasEnded)
                setState(process, member_state::fencing);
        }

        void synchronise(process& process)
        {
            const bool isComplete = !m_hasFaults;
            for (const auto& [id, member] : m_store.members) {
                if (isComplete || pick(2) == 0)
                    process.members[id] = member;
            }
            for (const auto page : { 0u, hotPageNumber }) {
                const auto row = m_store.pages.page("pool", page);
                if (row && (isComplete || pick(2) == 0))
                    process.map = process.map.with({ { *row } });
            }
        }

        void repair(process& process)
        {
            auto members = process.members;
            for (auto& [id, member] : members) {
                if (m_broken == broken_rule::fencing && member.row.state == member_state::fencing)
                    member.row.state = member_state::fenced;
            }
            const auto steps = planRepair(m_store.pool, process.map, members, eligibleOf(members));
            if (!process.isAlive || steps.empty())
                return;
            const auto& step = steps[pick(steps.size())];
            if (const auto edit = assignOrphans(pageOf(process, step.page), step.assignments, members, nextId()))
                (void)submit(process, edit.value());
        }

        void startMove(process& process)
        {
            const auto owned = process.map.ownedBy("pool", process.self);
            const auto eligible = eligibleOf(process.members);
            if (!process.isAlive || process.move || owned.empty() || eligible.empty())
                return;
            const auto partition = owned[pick(owned.size())];
            const auto& target = eligible[pick(eligible.size())].self.id;
            placement_step step { heatherdrift::pageOf(partition), { { partition, target } } };
            if (process.members[process.self.id].row.state == member_state::draining)
                step = planDrain(m_store.pool, process.map, process.self, eligible).front();
            process.move.emplace("pool", process.self, step.assignments, time_point());
            perform(process, process.move->onReady(pageOf(process, step.page), process.members, nextId()));
        }

        void changeHotKey(process& process)
        {
            const auto& key = m_store.keys[pick(m_store.keys.size())];
            const auto entry = process.map.find(m_store.pool, key);
            if (!process.isAlive || !entry)
                return;
            const auto ordinary = pageOf(process, 0), hot = pageOf(process, hotPageNumber);
            const bool isHot = isHotPartition(entry->index);
            const auto change = isHot ? returnKey : isolateKey;
            auto edit = change(m_store.pool, ordinary, hot, process.self, key, process.members, nextId());
            if (!edit)
                return;
            auto& rows = edit.value().pages;
            const auto home = partitionOf(key, m_store.pool.partitions);
            if (m_broken == broken_rule::key_epoch && isHot)
                rows[1].row.entries[home].number = ordinary.row.entries[home].number + 1;
            if (m_broken == broken_rule::listed_keys)
                rows[1].row.isolatedKeys.clear();
            (isHot ? m_counts.returns : m_counts.isolations) += submit(process, edit.value()).has_value();
        }

        result<std::vector<versioned_page>> submit(process& process, page_edit edit)
        {
            if (m_broken == broken_rule::member_check)
                edit.memberVersions.clear();
            const auto transaction = m_store.encode(edit);
            const auto fault = m_hasFaults ? pick(12) : 12;
            if (fault == 0)
                return notRun(error_code::store_unavailable, "rejected");
            if (fault == 1)
                m_delayedWrites.push_back({ transaction, process.self });
            if (fault <= 2)
                return mayHaveRun(error_code::store_unavailable, "late or lost");
            auto response = m_store.commit(transaction, process.self);
            ++(response ? m_counts.commits : m_counts.conflicts);
            if (fault == 3)
                return mayHaveRun(error_code::store_unavailable, "the response was lost");
            if (response) {
                process.map = process.map.with(response.value());
                m_acknowledged.insert(m_acknowledged.end(), response.value().begin(), response.value().end());
            }
            return response;
        }

        void perform(process& process, const move_action& action)
        {
            process.readBack.reset();
            if (const auto* commit = std::get_if<commit_edit>(&action)) {
                const auto response = submit(process, commit->edit);
                m_counts.handOvers += response.has_value();
                if (response)
                    return perform(process, process.move->onCommit(commit_receipt()));
                if (m_broken == broken_rule::read_back)
                    return perform(process, end_move());
                return perform(process, process.move->onCommit(response.error()));
            }
            if (const auto* read = std::get_if<read_page>(&action))
                process.readBack = *read;
            else
                process.move.reset();
        }

        void continueMove(process& process)
        {
            if (!process.readBack || !process.isAlive)
                return;
            const auto row = m_store.pages.page("pool", process.readBack->page);
            if (m_hasFaults && pick(4) == 0)
                return perform(process, process.move->onReadBack(notRun(error_code::store_unavailable, "no response")));
            process.map = process.map.with({ { *row } });
            perform(process, process.move->onReadBack(*row));
        }

        void deliverDelayedWrite(process&)
        {
            if (m_delayedWrites.empty())
                return;
            const auto position = m_delayedWrites.begin() + static_cast<std::ptrdiff_t>(pick(m_delayedWrites.size()));
            (void)m_store.commit(position->transaction, position->writer);
            m_delayedWrites.erase(position);
        }

        void checkServers()
        {
            for (const auto& key : m_store.keys) {
                const auto serves = [&](const process& process) {
                    const auto entry = process.map.find(m_store.pool, key);
                    return process.isAlive && process.hasLease && entry && entry->isOwnedBy(process.self)
                        && !(process.move && process.move->isBlocking("pool", entry->index));
                };
                if (std::ranges::count_if(m_processes, serves) > 1)
                    m_store.reportViolation("two instances serve a key");
            }
        }

        // Ends all faults: late writes are delivered, lost instances are fenced, and some of them restart.
        void settle()
        {
            m_hasFaults = false;
            while (!m_delayedWrites.empty())
                deliverDelayedWrite(m_processes.front());
            for (auto& process : m_processes) {
                if (!process.isAlive || stateOf(process) == member_state::fencing)
                    end(process, member_state::fenced);
                if (&process != &m_processes.front() && (pick(2) == 0 || stateOf(process) == member_state::active))
                    continue;
                restart(process);
                setState(process, member_state::active);
            }
            for (int i = 0; i < 12; ++i)
                std::ranges::for_each(m_processes, [this](process& process) { settle(process); });
            checkServers();
            checkSettled();
        }

        void settle(process& process)
        {
            synchronise(process);
            continueMove(process);
            if (stateOf(process) == member_state::draining)
                startMove(process);
            const auto eligible = eligibleOf(process.members);
            if (coordinatorOf("pool", 0, eligible)->self == process.self)
                repair(process);
        }

        void checkSettled()
        {
            std::size_t assigned = 0;
            m_store.pages.forEach("pool", [&](const partition_view& view) {
                const bool isServed = view.owner && m_store.isActive(*view.owner);
                assigned += isServed && !isHotPartition(view.index);
                if (!isServed)
                    m_store.reportViolation("a partition was not reassigned");
            });
            if (assigned != m_store.pool.partitions)
                m_store.reportViolation("a partition was never assigned");
            for (const auto& [version, row] : m_acknowledged) {
                const auto now = m_store.pages.page("pool", row.number)->row.entries;
                for (std::size_t i = 0; i < row.entries.size(); ++i) {
                    if (now[i].number <= row.entries[i].number && now[i] != row.entries[i])
                        m_store.reportViolation("an acknowledged assignment was lost");
                }
            }
        }

        std::mt19937_64 m_random;
        broken_rule m_broken;
        statistics& m_counts;
        fake_store m_store;
        std::vector<void (history::*)(process&)> m_actions;
        std::vector<process> m_processes;
        std::vector<delayed_write> m_delayedWrites;
        std::vector<versioned_page> m_acknowledged;
        bool m_hasFaults = true;
        int m_operations = 0;
    };

#ifdef __SANITIZE_ADDRESS__
    constexpr std::uint64_t historiesPerCase = 20, brokenHistories = 1000; // Each runs about 15 times slower.
#else
    constexpr std::uint64_t historiesPerCase = 300, brokenHistories = 3000;
#endif

    // Guards against two owners of a key, decreasing epochs, partitions assigned to instances that are not eligible,
    // lost acknowledged assignments, and partitions that remain without an owner.
    RC_GTEST_PROP(AssignmentHistory, KeepsTheRules, (std::uint64_t seed))
    {
        static int cases = 0;
        static statistics counts;
        for (auto i = seed; i < seed + historiesPerCase; ++i) {
            const auto violation = history(i, broken_rule::none, counts).run();
            if (!violation.empty())
                RC_FAIL("history " + std::to_string(i) + ": " + violation);
        }
        if (++cases != 100)
            return;
        std::cout << 100 * historiesPerCase << " histories: " << counts.commits << " commits, " << counts.conflicts
                  << " conflicts, " << counts.handOvers << " hand-overs, " << counts.isolations << " isolations, "
                  << counts.returns << " returns\n";
        RC_ASSERT(std::min({ counts.conflicts, counts.handOvers, counts.isolations, counts.returns }) > 0);
    }

    struct broken_case {
        const char* name;
        broken_rule rule;
        const char* violation;

        friend std::ostream& operator<<(std::ostream& stream, const broken_case& broken)
        {
            return stream << broken.name;
        }
    };

    class broken_rule_test : public ::testing::TestWithParam<broken_case> { };

    // Guards against checks that cannot fail: with a rule disabled, histories must show the violation that it prevents.
    TEST_P(broken_rule_test, IsDetected)
    {
        constexpr std::uint64_t first = 20261204;
        std::map<std::string, int> violations;
        statistics counts;
        for (std::uint64_t i = 0; i < brokenHistories; ++i)
            ++violations[history(first + i, GetParam().rule, counts).run()];
        for (const auto& [violation, count] : violations)
            std::cout << count << " of " << brokenHistories << ": " << (violation.empty() ? "none" : violation) << "\n";
        EXPECT_GT(violations[GetParam().violation], 0) << "seeds from " << first;
    }

    INSTANTIATE_TEST_SUITE_P(AssignmentHistory, broken_rule_test,
        ::testing::Values(
            broken_case { "member_check", broken_rule::member_check, "assigned to an instance that is not eligible" },
            broken_case { "fencing", broken_rule::fencing, "taken from an instance that may hold a lease" },
            broken_case { "listed_keys", broken_rule::listed_keys, "two instances serve a key" },
            broken_case { "read_back", broken_rule::read_back, "two instances serve a key" },
            broken_case { "key_epoch", broken_rule::key_epoch, "the epoch of a key decreased" }),
        [](const auto& info) { return std::string(info.param.name); });

} // namespace
} // namespace heatherdrift::test
