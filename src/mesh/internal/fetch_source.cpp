#include "mesh/internal/fetch_source.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr auto firstRetryDelay = std::chrono::milliseconds(50);
    constexpr int maxDoublings = 4;

} // namespace

const fetch_source* selectSource(const std::vector<fetch_source>& sources, const std::string& zone, double random)
{
    row_version newest = 0;
    for (const auto& source : sources)
        newest = std::max(newest, source.newestChange);
    std::vector<const fetch_source*> near;
    std::vector<const fetch_source*> far;
    for (const auto& source : sources) {
        if (source.newestChange == newest)
            (source.zone == zone ? near : far).push_back(&source);
    }
    const auto& selectable = near.empty() ? far : near;
    if (selectable.empty())
        return nullptr;
    const auto index = static_cast<std::size_t>(random * static_cast<double>(selectable.size()));
    return selectable[std::min(index, selectable.size() - 1)];
}

duration fetchRetryDelay(int failures, double random)
{
    const auto delay = firstRetryDelay * (1 << std::clamp(failures - 1, 0, maxDoublings));
    return std::chrono::duration_cast<duration>(delay * (0.5 + random));
}

transfer_slots::transfer_slots(std::size_t count, duration maxTime)
    : m_count(count)
    , m_maxTime(maxTime)
{
}

std::optional<unsigned> transfer_slots::begin(time_point now)
{
    std::erase_if(m_startedAt, [&](const auto& entry) { return now - entry.second >= m_maxTime; });
    if (m_startedAt.size() >= m_count)
        return std::nullopt;
    m_startedAt[++m_lastNumber] = now;
    return m_lastNumber;
}

void transfer_slots::end(unsigned number) { m_startedAt.erase(number); }

} // namespace heatherdrift
