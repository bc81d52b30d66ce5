#pragma once

#include "admission/backend_admission.h"
#include "admission/benchmarks/simulation.h"

#include <deque>
#include <memory>

namespace heatherdrift::simulation {

/// Baseline: first in, first out, without classes, priorities or deadlines; only the length is bounded.
class fifo_scheduler : public scheduler {
public:
    fifo_scheduler(int slots, bool dropsExpired)
        : m_slots(slots)
        , m_dropsExpired(dropsExpired)
    {
    }

    admission_actions submit(const call&, time_point now) override;
    admission_actions finish(const call&, call_end, time_point now) override;
    bool sendsDeadlines() const override { return m_dropsExpired; }

private:
    admission_actions start(time_point now);

    int m_slots;
    bool m_dropsExpired;
    int m_running = 0;
    std::deque<call> m_waiting;
};

/// Runs backend_admission, which estimates service times and classes from finished calls.
class policy_scheduler : public scheduler {
public:
    /// `marksAllShort`: the configured class of all calls is short, including long ones.
    explicit policy_scheduler(int slots, bool marksAllShort = false);

    admission_actions submit(const call&, time_point now) override;
    admission_actions finish(const call&, call_end, time_point now) override;
    admission_actions advance(time_point now) override { return m_admission.advance(now); }
    time_point nextEvent(time_point now) const override { return m_admission.nextEvent(now); }

private:
    backend_admission m_admission;
    bool m_marksAllShort;
};

enum class discipline { fifo, fifo_expiry, policy, policy_all_short };

const char* nameOf(discipline);
std::unique_ptr<scheduler> makeScheduler(discipline, int slots);

} // namespace heatherdrift::simulation
