#include "gate/return_plan.h"

#include "admission/seconds.h"

namespace heatherdrift {

namespace {

    /// A group is held back only while there is other work for about this part of the slots, so that none stays unused.
    constexpr std::size_t longQueueDivisor = 8;

    demand_group groupOf(const return_request& request) { return { request.priority, request.kind, request.zone }; }

} // namespace

return_kind return_plan::recordArrival(const return_request& request, duration work, time_point now)
{
    const auto kind = m_schedule.recognise(request, now);
    recordArrival(request, kind, work, now);
    return kind;
}

void return_plan::recordArrival(const return_request& request, return_kind kind, duration work, time_point now)
{
    if (kind == return_kind::none)
        m_shares.recordDemand(groupOf(request), work, now);
}

bool return_plan::isHeldBack(
    const return_request& request, return_kind kind, const slot_queue& queue, time_point now) const
{
    const auto longQueue = static_cast<std::size_t>(queue.slots()) / longQueueDivisor;
    return kind != return_kind::on_time && queue.waiting() > longQueue && m_shares.isAboveShare(groupOf(request), now);
}

void return_plan::recordStart(const return_request& request, duration work, time_point now)
{
    m_shares.recordStart(groupOf(request), work, now);
}

std::optional<return_time> return_plan::refuse(const return_request& request, return_kind kind, const slot_queue& queue,
    std::optional<double> limitedRate, time_point now)
{
    if (kind != return_kind::none) {
        m_schedule.recordSecondRefusal();
        return std::nullopt;
    }
    const double rate = queue.slots() / std::max(inSeconds(queue.meanServiceTime()), 1e-6);
    return m_schedule.refuse(request,
        { limitedRate.value_or(rate), queue.expectedWait(request.priority), queue.serviceTime(request.kind) }, now);
}

} // namespace heatherdrift
