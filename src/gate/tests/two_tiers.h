#pragma once

#include "gate/nested_calls.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace heatherdrift {

/// Events in simulated time.
class event_queue {
public:
    void at(time_point when, std::function<void()> action) { m_events.push({ when, ++m_last, std::move(action) }); }
    void after(duration delay, std::function<void()> action) { at(now + delay, std::move(action)); }
    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.top().when < end) {
            const auto next = m_events.top();
            m_events.pop();
            now = next.when;
            next.action();
        }
        now = end;
    }

    time_point now { std::chrono::hours(1) };

private:
    struct event {
        time_point when;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const event& other) const { return std::tie(other.when, other.number) < std::tie(when, number); }
    };
    std::priority_queue<event> m_events;
    std::uint64_t m_last = 0;
};

/// A request of the simulation and what its execution does.
struct simulated_request {
    queued_request queued;
    std::function<void(std::function<void(bool isGood)> done)> run;
    std::function<void()> onRefused;
    std::function<void(bool isGood)> onEnded {};
};

/// Gate with the real queue beside a simulated backend server, as gate_service connects them.
class simulated_gate {
public:
    simulated_gate(
        event_queue& events, int slots, nested_calls::status_function statuses = nullptr, bool isEnabled = true)
        : calls(isEnabled, std::move(statuses))
        , queue({ slots, std::chrono::milliseconds(50), isEnabled })
        , m_events(events)
    {
        record();
    }

    /// Time until a refused request may be sent again; empty if it runs or waits.
    std::optional<duration> submit(simulated_request request, int depth = 0)
    {
        const auto now = m_events.now;
        const auto decision
            = admitsAll ? call_decision() : calls.admit(request.queued.kind, request.queued.priority, now);
        if (!decision.isAdmitted)
            return decision.retryAfter;
        auto& queued = request.queued;
        queued.id = ++m_lastId;
        queued.callHeight = calls.callHeight(queued.kind, depth);
        const auto result = queue.submit(queued, now);
        if (result == queue_decision::refuse)
            return queue.expectedWait() + queue.meanServiceTime();
        m_depths[queued.id] = { depth, decision.rate };
        const auto id = queued.id;
        m_requests[id] = std::move(request);
        if (result == queue_decision::run)
            start(id);
        return std::nullopt;
    }

    server_status status() const
    {
        server_status out;
        for (std::size_t level = 0; level < urgencyLevels; ++level)
            out.expectedWaits[level] = queue.expectedWait(static_cast<int>(level));
        out.serviceTime = queue.meanServiceTime();
        return out;
    }
    /// The status as it was so long ago.
    reported_status statusBefore(duration age) const
    {
        const auto index = static_cast<std::size_t>(age / statusInterval);
        return { m_history[std::min(index, m_history.size() - 1)], age };
    }

    nested_calls calls;
    slot_queue queue;
    bool admitsAll = false; ///< No execution is refused because of its calls.

private:
    static constexpr auto statusInterval = std::chrono::milliseconds(10);

    void record()
    {
        m_history.push_front(status());
        if (m_history.size() > 110)
            m_history.pop_back();
        for (const auto id : queue.takeUnservable(m_events.now)) {
            m_requests.at(id).onRefused();
            m_requests.erase(id);
        }
        startNext();
        m_events.after(statusInterval, [this] { record(); });
    }

    void startNext()
    {
        while (const auto next = queue.takeNext(m_events.now))
            start(*next);
    }

    void start(request_number id)
    {
        const auto& request = m_requests.at(id);
        const auto [depth, rate] = m_depths.at(id);
        const auto startedAt = m_events.now;
        calls.onStarted(id, { request.queued.kind, request.queued.priority, depth, request.queued.deadline, rate });
        request.run([this, id, startedAt](bool isGood) {
            queue.finish(id, isGood ? std::optional(m_events.now - startedAt) : std::nullopt);
            calls.onEnded(id, true, isGood, m_events.now);
            const auto ended = m_requests.at(id).onEnded;
            m_requests.erase(id);
            if (ended)
                ended(isGood);
            startNext();
        });
    }

    event_queue& m_events;
    std::map<request_number, simulated_request> m_requests;
    std::map<request_number, std::pair<int, double>> m_depths;
    std::deque<server_status> m_history;
    request_number m_lastId = 0;
};

} // namespace heatherdrift
