#include "lease_history.h"

#include "fake_rows.h"
#include "lease/lease_holder.h"
#include "lease/succession.h"
#include "lease/takeover.h"
#include "lease/witness.h"
#include "lease/witness_change.h"
#include "lease/witness_selection.h"

#include <set>

namespace heatherdrift::lease_test {
namespace {

    constexpr moment tickInterval = 200 * millisecond;
    constexpr moment minSettleTime = 1600 * millisecond; // longer than any lease granted before
    constexpr moment maxSettleTime = 40000 * millisecond;

    template <typename... Functions> struct overloaded : Functions... {
        using Functions::operator()...;
    };
    template <typename... Functions> overloaded(Functions...) -> overloaded<Functions...>;

    using message = std::variant<lease_renewal, lease_grant, lease_refusal, promise_request, lease_promise,
        promise_refusal, silence_inquiry, silence_report>;

    /// State of the current process of a node.
    struct process_state {
        instance_ref self;
        std::optional<witness> localWitness;
        std::optional<lease_holder> lease;
        std::map<unsigned, takeover> takeovers;
        std::vector<versioned_member> replicatedRows;
    };

    class history {
    public:
        history(const history_plan& plan, std::uint32_t seed)
            : m_plan(plan)
            , m_count(plan.witnesses + 2) // the holder, its witnesses and one more candidate
            , m_world(m_count, plan.rates, seed)
            , m_processes(m_count)
            , m_rows(m_world, m_count, [this](const std::string& text) { violate(text); })
        {
            m_rows.members[0].row.witnesses = chooseWitnesses(m_rows.members[0].row, members(m_rows.members));
            m_rows.onWrite = [this](const versioned_member& row) {
                for (unsigned i = 0; i < m_count; ++i)
                    m_world.send(environment, i, 50 * millisecond, [=, this] { onReplicatedRow(i, row); });
            };
            m_rows.page.owner = m_rows.members[0].row.self;
            m_owners.insert(m_rows.page.owner);
            for (unsigned i = 0; i < m_count; ++i)
                onRegistered(i, m_rows.members[i]);
            for (const auto& entry : plan.faults)
                m_world.at(entry.atMs * millisecond, environment, [this, entry] { inject(entry); });
            if (plan.holderLostAtMs >= 0)
                m_world.at(plan.holderLostAtMs * millisecond, environment, [this] { terminate(0); });
            m_world.at(faultsEndMs * millisecond, environment, [this] { endFaults(); });
        }

        history_result run()
        {
            constexpr moment faultsEnd = faultsEndMs * millisecond;
            while (m_result.violation.empty() && m_world.step()) {
                checkOwners();
                if (m_world.now() > faultsEnd + minSettleTime && isSettled())
                    break;
                if (m_world.now() > faultsEnd + maxSettleTime)
                    violate("not settled");
            }
            m_result.marks = m_rows.marks;
            return m_result;
        }

    private:
        static std::vector<member_row> members(const std::vector<versioned_member>& rows)
        {
            std::vector<member_row> plain;
            for (const auto& entry : rows)
                plain.push_back(entry.row);
            return plain;
        }

        void violate(const std::string& text)
        {
            if (m_result.violation.empty())
                m_result.violation = text + " at " + std::to_string(m_world.now() / millisecond) + " ms";
        }

        // A holder may serve while its lease is valid, even if it has not read yet that its page has another owner.
        void checkOwners()
        {
            const auto& lease = m_processes[0].lease;
            if (lease && lease->self() != m_rows.page.owner && m_owners.contains(lease->self())
                && lease->validUntil() > m_world.clockOf(0))
                violate("two valid owners, " + toString(lease->self()) + " and " + toString(m_rows.page.owner) + ",");
        }

        bool isSettled()
        {
            const auto& holder = m_processes[0];
            const bool isOwnerLost = m_rows.page.owner.id == holder.self.id && m_rows.page.owner != holder.self;
            if (m_plan.holderLostAtMs >= 0)
                return m_rows.page.owner.id != holder.self.id;
            return !isOwnerLost && holder.lease && holder.lease->validUntil() > m_world.clockOf(0);
        }

        void onReplicatedRow(unsigned at, const versioned_member& row)
        {
            auto& process = m_processes[at];
            if (!process.localWitness || process.replicatedRows[indexOf(row.row.self.id)].version >= row.version)
                return;
            process.replicatedRows[indexOf(row.row.self.id)] = row;
            process.localWitness->updateMember(row.row, m_world.clockOf(at));
            feedAll(at, member_updated { row });
        }

        // Processes.

        void terminate(unsigned index)
        {
            auto& node = m_world.node(index);
            ++node.process;
            node.isUp = false;
            node.pausedUntil = 0;
            m_processes[index] = { m_processes[index].self, {}, {}, {}, {} };
            if (index == 0)
                m_change.reset();
        }

        void start(unsigned index)
        {
            if (m_world.node(index).isUp || (index == 0 && m_plan.holderLostAtMs >= 0))
                return;
            m_world.node(index).isUp = true;
            registerProcess(index);
        }

        void registerProcess(unsigned index)
        {
            const auto retry = [=, this] {
                m_world.at(m_world.now() + 100 * millisecond, index, [=, this] { registerProcess(index); });
            };
            const auto id = "r" + std::to_string(index) + "." + std::to_string(m_world.node(index).process);
            m_rows.read(index, index, [=, this](const maybe_row& seen) {
                if (!seen)
                    return retry();
                if (seen->row.operationId == id)
                    return onRegistered(index, *seen);
                auto row = registrationOver(seen->row, seen->row);
                row.state = member_state::active;
                row.operationId = id;
                row.witnesses
                    = index == 0 ? chooseWitnesses(row, members(m_rows.members)) : std::vector<instance_ref>();
                m_rows.commit(index, { id, row, seen->version, {} }, [=, this](const commit_done& done) {
                    if (done.status != commit_status::applied)
                        return retry();
                    onRegistered(index, { done.version, row });
                });
            });
        }

        void onRegistered(unsigned index, const versioned_member& row)
        {
            auto& process = m_processes[index];
            process.self = row.row.self;
            process.replicatedRows = m_rows.members;
            process.localWitness.emplace(process.self, m_plan.settings, m_world.clockOf(index));
            for (const auto& entry : m_rows.members)
                process.localWitness->updateMember(entry.row, m_world.clockOf(index));
            if (index != 0)
                return m_world.at(m_world.now() + m_world.between(0, tickInterval), index, [=, this] { tick(index); });
            m_holderRow = row;
            process.lease.emplace(process.self, row.row.witnesses, m_plan.settings, m_world.clockOf(0));
            poll();
        }

        // A process whose lease has ended permanently exits and is started again.
        void restartIfEnded()
        {
            if (!m_processes[0].lease || !m_processes[0].lease->ended())
                return;
            terminate(0);
            m_world.at(m_world.now() + 50 * millisecond, environment, [this] { start(0); });
        }

        void inject(const fault& entry)
        {
            const auto index = entry.node % m_count;
            auto& node = m_world.node(index);
            const auto until = m_world.now() + entry.lengthMs * millisecond;
            switch (entry.kind) {
            case fault_kind::pause:
                node.pausedUntil = std::max(node.pausedUntil, until);
                break;
            case fault_kind::restart:
                terminate(index);
                m_world.at(until, environment, [=, this] { start(index); });
                break;
            case fault_kind::cut_off:
                node.cutUntil = std::max(node.cutUntil, until);
                break;
            case fault_kind::store_outage:
                m_world.loseStoreUntil(until);
                break;
            case fault_kind::lost_answers:
                m_world.loseAnswersUntil(until);
                break;
            case fault_kind::change_witnesses:
                m_world.at(m_world.now(), 0, [this] { changeArbitrarily(); });
                break;
            case fault_kind::needless_takeover:
                m_world.at(m_world.now(), index, [=, this] {
                    if (index != 0 && m_processes[index].localWitness)
                        startTakeover(index, m_rows.members[0].row.self, false);
                });
                break;
            }
        }

        void endFaults()
        {
            m_world.endFaults();
            for (unsigned i = 0; i < m_count; ++i)
                start(i);
        }

        // Messages.

        void send(unsigned from, const instance_id& to, const message& content)
        {
            const auto target = indexOf(to);
            m_world.send(from, target, 2 * millisecond, [=, this] {
                if (m_processes[target].localWitness)
                    std::visit([&](const auto& value) { receive(target, from, value); }, content);
            });
        }

        void receive(unsigned at, unsigned from, const lease_renewal& renewal)
        {
            auto& process = m_processes[at];
            const auto answer = process.localWitness->answer(renewal, m_world.clockOf(at));
            if (std::holds_alternative<lease_grant>(answer) && m_promised.contains({ process.self, renewal.holder }))
                violate("a grant after a promise");
            std::visit([&](const auto& value) { send(at, idOf(from), value); }, answer);
            feedAll(at, renewal_received {}, renewal.holder);
        }

        void receive(unsigned at, unsigned from, const promise_request& request)
        {
            auto& process = m_processes[at];
            const auto answer = process.localWitness->answer(request, m_world.clockOf(at));
            if (std::holds_alternative<lease_promise>(answer))
                m_promised.insert({ process.self, request.holder });
            std::visit([&](const auto& value) { send(at, idOf(from), value); }, answer);
        }

        void receive(unsigned at, unsigned from, const silence_inquiry& inquiry)
        {
            send(at, idOf(from), m_processes[at].localWitness->answer(inquiry, m_world.clockOf(at)));
        }

        template <typename Answer> void receive(unsigned at, unsigned, const Answer& answer)
        {
            if constexpr (std::is_same_v<Answer, lease_grant> || std::is_same_v<Answer, lease_refusal>) {
                if (m_processes[0].lease)
                    m_processes[0].lease->receive(answer, m_world.clockOf(0));
                restartIfEnded();
            } else {
                feedAll(at, answer, answer.holder);
            }
        }

        // Holder.

        void poll()
        {
            auto& holder = m_processes[0];
            const auto now = m_world.clockOf(0);
            const auto batch = holder.lease->poll(now, 1);
            for (const auto& renewal : batch.renewals)
                send(0, renewal.witness.id, renewal);
            m_world.at(m_world.trueTime(0, batch.nextAt), 0, [this, token = ++m_pollToken] {
                if (token == m_pollToken)
                    poll();
            });
            if (const auto next = holder.lease->proposeWitnesses(m_holderRow.row, members(holder.replicatedRows), now))
                changeWitnesses(*next);
        }

        void changeArbitrarily()
        {
            if (!m_processes[0].lease)
                return;
            std::vector<instance_ref> others;
            for (const auto& row : m_processes[0].replicatedRows)
                others.push_back(row.row.self);
            others.erase(others.begin());
            std::shuffle(others.begin(), others.end(), m_world.random());
            others.resize(static_cast<std::size_t>(m_world.between(0, (m_plan.witnesses - 1) / 2)) * 2 + 1);
            changeWitnesses(others);
        }

        void changeWitnesses(const std::vector<instance_ref>& next)
        {
            if (!m_processes[0].lease->beginWitnessChange(m_holderRow.row, next))
                return;
            const auto id = ++m_counter;
            m_change.emplace(m_holderRow, next, "c" + std::to_string(id), m_plan.settings, id);
            performChange(m_change->start());
            poll();
        }

        void performChange(const std::vector<change_action>& actions)
        {
            const auto feedChange = [this](const change_input& input) {
                performChange(m_change->handle(input, m_world.clockOf(0)));
                if (m_change->result())
                    settleChange(*m_change->result());
            };
            const auto perform = overloaded {
                [&](const read_row&) {
                    m_rows.read(0, 0, [=](const maybe_row& seen) {
                        feedChange(seen ? change_input(row_read { seen->row.self.id, seen }) : read_failed {});
                    });
                },
                [&](const commit_row& write) { m_rows.commit(0, write, feedChange); },
                [&](const start_timer& timer) {
                    m_world.at(m_world.trueTime(0, timer.at), 0, [=] { feedChange(timer_due {}); });
                },
            };
            for (const auto& action : actions)
                std::visit(perform, action);
        }

        void settleChange(const change_result& result)
        {
            auto& lease = *m_processes[0].lease;
            m_holderRow = result.row;
            m_result.changes += result.outcome == change_outcome::applied && lease.isChanging();
            lease.settleWitnessChange(result.outcome);
            if (result.row.row.state == member_state::fenced)
                lease.end(lease_end::fenced);
            restartIfEnded();
        }

        // Takeover.

        void tick(unsigned index)
        {
            auto& process = m_processes[index];
            for (const auto& call : process.localWitness->takeoversDue(m_world.clockOf(index)))
                startOnce(index, call.holder, call.isResumed);
            // In production, the coordinator of the page detects owners that a newer incarnation has superseded.
            const auto& current = process.replicatedRows[0].row.self;
            if (m_rows.page.owner.id == current.id && m_rows.page.owner.number < current.number)
                startOnce(index, m_rows.page.owner, true);
            m_world.at(m_world.now() + tickInterval, index, [=, this] { tick(index); });
        }

        void startOnce(unsigned index, const instance_ref& lost, bool isResumed)
        {
            const auto& running = m_processes[index].takeovers;
            const auto isSame = [&](const auto& entry) { return entry.second.holder() == lost; };
            if (std::none_of(running.begin(), running.end(), isSame))
                startTakeover(index, lost, isResumed);
        }

        void startTakeover(unsigned index, const instance_ref& lost, bool isResumed)
        {
            auto& running = m_processes[index].takeovers;
            const auto id = ++m_counter;
            const takeover_start start { m_processes[index].self, lost, isResumed, "t" + std::to_string(id), id };
            perform(index, id, running.emplace(id, takeover(start, m_plan.settings)).first->second.start());
        }

        void feed(unsigned index, unsigned id, const takeover_input& input)
        {
            const auto found = m_processes[index].takeovers.find(id);
            if (found != m_processes[index].takeovers.end())
                perform(index, id, found->second.handle(input, m_world.clockOf(index)));
        }

        void feedAll(unsigned index, const takeover_input& input, const std::optional<instance_ref>& only = {})
        {
            std::vector<unsigned> ids;
            for (const auto& [id, machine] : m_processes[index].takeovers) {
                if (!only || machine.holder() == *only)
                    ids.push_back(id);
            }
            for (const auto id : ids)
                feed(index, id, input);
        }

        void perform(unsigned index, unsigned id, const std::vector<takeover_action>& actions)
        {
            const auto perform = overloaded {
                [&](const read_row& read) {
                    m_rows.read(index, indexOf(read.id), [=, this](const maybe_row& seen) {
                        feed(index, id, seen ? takeover_input(row_read { read.id, seen }) : read_failed { read.id });
                    });
                },
                [&](const commit_row& write) {
                    m_rows.commit(index, write, [=, this](const commit_done& done) { feed(index, id, done); });
                },
                [&](const promise_request& request) { send(index, request.witness.id, request); },
                [&](const silence_inquiry& inquiry) { send(index, inquiry.witness.id, inquiry); },
                [&](const start_timer& timer) {
                    m_world.at(m_world.trueTime(index, timer.at), index, [=, this] { feed(index, id, timer_due {}); });
                },
                [&](const reassign_pages& request) { reassign(index, id, request.holder); },
                [](const report_blocked&) {},
                [&](const finished& done) {
                    if (done.outcome == takeover_outcome::completed)
                        m_processes[index].localWitness->onTakeoverFinished(done.holder);
                    m_world.at(m_world.now(), index, [=, this] { m_processes[index].takeovers.erase(id); });
                },
            };
            for (const auto& action : actions)
                std::visit(perform, action);
        }

        void reassign(unsigned index, unsigned id, const instance_ref& lost)
        {
            const auto again = [=, this](reply) {
                m_world.at(m_world.now() + 50 * millisecond, index, [=, this] { reassign(index, id, lost); });
            };
            const auto seen = std::make_shared<std::pair<fake_page, versioned_member>>();
            const auto read = [=, this] {
                *seen = { m_rows.page, m_rows.members[m_rows.members[0].row.self.number > lost.number ? 0 : index] };
            };
            m_world.callStore(index, read, [=, this](reply outcome) {
                if (outcome != reply::answered)
                    return again(outcome);
                if (seen->first.owner != lost)
                    return feed(index, id, pages_reassigned {});
                m_world.callStore(
                    index, [=, this] { writePage(seen->first, seen->second); }, again);
            });
        }

        void writePage(const fake_page& seen, const versioned_member& successor)
        {
            const bool isLive = m_processes[0].lease && m_processes[0].self == seen.owner;
            if (!m_rows.writePage(seen, successor))
                return;
            ++m_result.takeovers;
            m_result.lastTakeoverMs = static_cast<int>(m_world.now() / millisecond);
            m_result.liveTakeovers += isLive;
            m_owners.insert(m_rows.page.owner);
        }

        history_plan m_plan;
        unsigned m_count;
        fake_world m_world;
        std::vector<process_state> m_processes;
        fake_rows m_rows;
        std::set<instance_ref> m_owners; ///< All owners that the page has had.
        std::set<std::pair<instance_ref, instance_ref>> m_promised; ///< Witness and holder.
        versioned_member m_holderRow; ///< As last written or read by the holder.
        std::optional<witness_change> m_change;
        unsigned m_pollToken = 0;
        unsigned m_counter = 0;
        history_result m_result;
    };

} // namespace

history_result runHistory(const history_plan& plan, std::uint32_t seed) { return history(plan, seed).run(); }

} // namespace heatherdrift::lease_test
