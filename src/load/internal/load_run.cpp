#include "load/load_run.h"

#include "base/hash.h"
#include "load/internal/load_call.h"

#include <algorithm>
#include <unordered_set>

namespace heatherdrift {

namespace {

    constexpr duration lateLimit = std::chrono::milliseconds(10);
    /// Between preparing the run and its first request.
    constexpr duration startDelay = std::chrono::milliseconds(50);

    /// Sends the requests of one kind at their times.
    class kind_sender {
    public:
        kind_sender(event_base* base, const request_kind& kind, duration end, std::uint64_t seed, time_point startedAt,
            std::function<void(kind_sender&, duration intended)> onDue)
            : m_kind(kind)
            , m_schedule(kind.arrivals, kind.rate, end, hashBytes(kind.name, seed))
            , m_keys(kind.keys, hashBytes(kind.name + " keys", seed))
            , m_startedAt(startedAt)
            , m_onDue(std::move(onDue))
            , m_timer(base, [this] { sendDue(); })
            , m_next(m_schedule.next())
        {
            wait();
        }

        const request_kind& kind() const { return m_kind; }
        std::string nextKey() { return m_keys.next(); }
        bool isOver() const { return !m_next; }

    private:
        void wait()
        {
            if (m_next)
                m_timer.startAt(m_startedAt + *m_next);
        }

        void sendDue()
        {
            const auto now = boot_clock::now();
            while (m_next && m_startedAt + *m_next <= now) {
                const auto intended = *m_next;
                m_next = m_schedule.next();
                m_onDue(*this, intended);
            }
            wait();
        }

        const request_kind& m_kind;
        arrival_schedule m_schedule;
        key_chooser m_keys;
        time_point m_startedAt;
        std::function<void(kind_sender&, duration)> m_onDue;
        timer m_timer;
        std::optional<duration> m_next;
    };

    class plan_run : public load_run {
    public:
        plan_run(event_base* base, load_plan plan, load_run_settings settings, std::function<void()> onEnd)
            : m_plan(std::move(plan))
            , m_settings(std::move(settings))
            , m_onEnd(std::move(onEnd))
            , m_context { base, m_settings, {}, {}, boot_clock::now() + startDelay }
            , m_end(base, [this] {
                m_isLengthOver = true;
                endIfOver();
            })
        {
            for (const auto& entry : m_settings.entries)
                m_clients.push_back(http_client::create(base, entry, m_settings.connectionsPerEntry));
            for (const auto& kind : m_plan.kinds) {
                m_report[kind.name];
                m_senders.push_back(std::make_unique<kind_sender>(base, kind, m_plan.length, m_settings.seed,
                    m_context.startedAt, [this](kind_sender& sender, duration intended) { send(sender, intended); }));
            }
            m_end.startAt(m_context.startedAt + m_plan.length);
        }

        const load_report& report() const override { return m_report; }
        const generator_counts& counts() const override { return m_context.counts; }
        time_point startedAt() const override { return m_context.startedAt; }

    private:
        void send(kind_sender& sender, duration intended)
        {
            noteLateness(boot_clock::now() - m_context.startedAt - intended);
            auto& client = *m_clients[m_number % m_clients.size()];
            auto call = std::make_shared<load_call>(m_context, sender.kind(), client, m_number, sender.nextKey(),
                intended, [this, name = sender.kind().name](load_call& ended, const request_outcome& how) {
                    m_report[name].add(how);
                    m_calls.erase(ended.shared_from_this());
                    endIfOver();
                });
            ++m_number;
            m_calls.insert(call);
            call->send();
        }

        void noteLateness(duration late)
        {
            auto& counts = m_context.counts;
            counts.mostLate = std::max(counts.mostLate, late);
            counts.lateSends += late > lateLimit;
        }

        void endIfOver()
        {
            const bool isOver = m_isLengthOver && m_calls.empty()
                && std::ranges::all_of(m_senders, [](const auto& sender) { return sender->isOver(); });
            if (isOver && m_onEnd)
                std::exchange(m_onEnd, nullptr)();
        }

        load_plan m_plan;
        load_run_settings m_settings;
        std::function<void()> m_onEnd;
        load_context m_context;
        load_report m_report;
        timer m_end;
        bool m_isLengthOver = false; ///< Set by the timer alone: it may fire a moment before the clock reads its time.
        std::uint64_t m_number = 0;
        std::vector<std::unique_ptr<http_client>> m_clients;
        std::vector<std::unique_ptr<kind_sender>> m_senders;
        std::unordered_set<std::shared_ptr<load_call>> m_calls;
    };

} // namespace

std::unique_ptr<load_run> load_run::start(
    event_base* base, load_plan plan, load_run_settings settings, std::function<void()> onEnd)
{
    return std::make_unique<plan_run>(base, std::move(plan), std::move(settings), std::move(onEnd));
}

} // namespace heatherdrift
