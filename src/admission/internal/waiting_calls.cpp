#include "admission/internal/waiting_calls.h"

#include <numeric>
#include <tuple>

namespace heatherdrift {

namespace {

    constexpr std::size_t orderIndex = 1;
    constexpr std::size_t expiryIndex = 2;

    auto startOf(admission_level level, const std::string& workspace)
    {
        return std::tuple<std::size_t, const std::string&>(level.index(), workspace);
    }

    auto endOf(admission_level level, const std::string& workspace, time_point deadline)
    {
        return std::tuple<std::size_t, const std::string&, time_point>(level.index(), workspace, deadline);
    }

    bool belongsTo(const waiting_call& call, admission_level level, const std::string& workspace)
    {
        return call.request.level == level && call.request.workspace == workspace;
    }

} // namespace

void waiting_calls::insert(waiting_call call)
{
    ++m_counts[call.request.level.index()];
    m_calls.insert(std::move(call));
}

std::optional<waiting_call> waiting_calls::remove(std::uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return std::nullopt;
    std::optional<waiting_call> call = *found;
    --m_counts[call->request.level.index()];
    m_calls.erase(found);
    return call;
}

const waiting_call* waiting_calls::first(admission_level level, const std::string& workspace) const
{
    const auto& calls = m_calls.get<orderIndex>();
    const auto found = calls.lower_bound(startOf(level, workspace));
    return found != calls.end() && belongsTo(*found, level, workspace) ? &*found : nullptr;
}

const waiting_call* waiting_calls::last(admission_level level, const std::string& workspace) const
{
    const auto& calls = m_calls.get<orderIndex>();
    auto found = calls.upper_bound(startOf(level, workspace));
    return found != calls.begin() && belongsTo(*--found, level, workspace) ? &*found : nullptr;
}

const waiting_call* waiting_calls::nextToExpire() const
{
    const auto& calls = m_calls.get<expiryIndex>();
    return calls.empty() ? nullptr : &*calls.begin();
}

std::size_t waiting_calls::countBefore(admission_level level, const std::string& workspace, time_point deadline) const
{
    const auto& calls = m_calls.get<orderIndex>();
    return calls.upper_bound_rank(endOf(level, workspace, deadline))
        - calls.lower_bound_rank(startOf(level, workspace));
}

std::size_t waiting_calls::count(call_length length) const
{
    const auto first = m_counts.begin() + static_cast<std::ptrdiff_t>(admission_level { length, 0 }.index());
    return std::accumulate(first, first + priorityCount, std::size_t { 0 });
}

std::size_t waiting_calls::countAbove(admission_level level) const
{
    std::size_t sum = 0;
    for (int priority = level.priority + 1; priority < priorityCount; ++priority)
        sum += count({ level.length, priority });
    return sum;
}

std::optional<admission_level> waiting_calls::highest(call_length length) const
{
    for (int priority = priorityCount - 1; priority >= 0; --priority) {
        if (count({ length, priority }) > 0)
            return admission_level { length, priority };
    }
    return std::nullopt;
}

std::optional<admission_level> waiting_calls::lowest(call_length length) const
{
    for (int priority = 0; priority < priorityCount; ++priority) {
        if (count({ length, priority }) > 0)
            return admission_level { length, priority };
    }
    return std::nullopt;
}

} // namespace heatherdrift
