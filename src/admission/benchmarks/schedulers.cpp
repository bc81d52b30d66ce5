#include "admission/benchmarks/schedulers.h"

namespace heatherdrift::simulation {

namespace {

    constexpr std::size_t maxWaiting = 4000;

    backend_admission_settings policySettings(int slots)
    {
        backend_admission_settings settings;
        settings.queue.slots = slots;
        return settings;
    }

} // namespace

admission_actions fifo_scheduler::submit(const call& arrived, time_point now)
{
    if (m_waiting.size() >= maxWaiting)
        return { { arrived.id, admission_step::refuse, notRun(error_code::overloaded, "") } };
    m_waiting.push_back(arrived);
    return start(now);
}

admission_actions fifo_scheduler::finish(const call&, call_end, time_point now)
{
    --m_running;
    return start(now);
}

admission_actions fifo_scheduler::start(time_point now)
{
    admission_actions actions;
    while (m_running < m_slots && !m_waiting.empty()) {
        const auto next = m_waiting.front();
        m_waiting.pop_front();
        if (m_dropsExpired && next.deadline < now) {
            actions.push_back({ next.id, admission_step::expire, notRun(error_code::deadline_exceeded, "") });
            continue;
        }
        ++m_running;
        actions.push_back({ next.id, admission_step::run, std::nullopt });
    }
    return actions;
}

policy_scheduler::policy_scheduler(int slots, bool marksAllShort)
    : m_admission(policySettings(slots))
    , m_marksAllShort(marksAllShort)
{
}

admission_actions policy_scheduler::submit(const call& arrived, time_point now)
{
    const bool isShort = arrived.level.length == call_length::short_call;
    return m_admission.submit({ .id = arrived.id,
                                  .kind = { "selector", isShort ? "GET /short" : "GET /long" },
                                  .configured = m_marksAllShort ? call_length::short_call : arrived.level.length,
                                  .priority = arrived.level.priority,
                                  .customer = arrived.workspace,
                                  .deadline = arrived.deadline,
                                  .fingerprint = arrived.id },
        now);
}

admission_actions policy_scheduler::finish(const call& ended, call_end end, time_point now)
{
    return m_admission.finish(
        ended.id, end == call_end::good ? admission_end::answered : admission_end::cancelled, now);
}

const char* nameOf(discipline kind)
{
    switch (kind) {
    case discipline::fifo:
        return "fifo";
    case discipline::fifo_expiry:
        return "fifo+expiry";
    case discipline::policy:
        return "policy";
    case discipline::policy_all_short:
        break;
    }
    return "policy, all marked short";
}

std::unique_ptr<scheduler> makeScheduler(discipline kind, int slots)
{
    if (kind == discipline::fifo || kind == discipline::fifo_expiry)
        return std::make_unique<fifo_scheduler>(slots, kind == discipline::fifo_expiry);
    return std::make_unique<policy_scheduler>(slots, kind == discipline::policy_all_short);
}

} // namespace heatherdrift::simulation
