#include "standin/internal/execution_journal.h"

namespace heatherdrift {

namespace {

    constexpr std::size_t mostExecutions = 200000;

} // namespace

std::uint64_t execution_journal::begin(const backend_request& request, time_point now)
{
    if (m_executions.size() == mostExecutions)
        m_executions.pop_front();
    const epoch number = request.grant ? request.grant->number : 0;
    m_executions.push_back(
        { ++m_lastNumber, request.id, request.key, request.token, number, now, std::nullopt, execution_end::crashed });
    return m_lastNumber;
}

void execution_journal::end(std::uint64_t number, execution_end how, time_point now)
{
    if (m_executions.empty() || number < m_executions.front().number)
        return;
    auto& found = m_executions[number - m_executions.front().number];
    found.end = now;
    found.how = how;
}

json execution_journal::list(std::uint64_t after, const std::optional<std::string>& token) const
{
    auto executions = json::array();
    for (const auto& entry : m_executions) {
        if (entry.number > after && (!token || entry.token == *token))
            executions.push_back(toJson(entry));
    }
    return { { "executions", std::move(executions) } };
}

json execution_journal::toJson(const execution& entry)
{
    json value {
        { "number", entry.number },
        { "id", entry.id },
        { "key", entry.key },
        { "token", entry.token },
        { "epoch", entry.epochNumber },
        { "start_us", entry.start.time_since_epoch().count() },
        { "completed", entry.end && entry.how == execution_end::completed },
        { "cancelled", entry.end && entry.how == execution_end::cancelled },
    };
    if (entry.end)
        value["end_us"] = entry.end->time_since_epoch().count();
    return value;
}

} // namespace heatherdrift
