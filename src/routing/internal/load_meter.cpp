#include "routing/internal/load_meter.h"

#include <algorithm>
#include <vector>

namespace heatherdrift {

namespace {

    /// Maximum entries of one report; less busy entries are only part of the total load.
    constexpr std::size_t maxReportedPartitions = 16;
    constexpr std::size_t maxReportedKeys = 32;
    /// Maximum keys counted between two reports; keys first seen after that many are unlikely to be among the hottest.
    constexpr std::size_t maxCountedKeys = 20000;

    template <typename Key>
    std::map<Key, double> busiest(const std::map<Key, duration>& loads, std::size_t count, double seconds)
    {
        std::vector<std::pair<duration, Key>> order;
        for (const auto& [key, busy] : loads)
            order.emplace_back(busy, key);
        const auto kept = std::min(count, order.size());
        std::partial_sort(
            order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(), std::greater {});
        order.resize(kept);
        std::map<Key, double> means;
        for (const auto& [busy, key] : order)
            means[key] = std::chrono::duration<double>(busy).count() / seconds;
        return means;
    }

} // namespace

void load_meter::add(const std::optional<partition_id>& partition, const std::string& key, duration busy)
{
    m_busy += busy;
    if (!partition)
        return;
    m_partitions[partition->index] += busy;
    const auto found = m_keys.find(key);
    if (found != m_keys.end())
        found->second += busy;
    else if (m_keys.size() < maxCountedKeys)
        m_keys.emplace(key, busy);
}

load_sample load_meter::take(time_point now)
{
    const double seconds = std::max(std::chrono::duration<double>(now - m_since).count(), 0.001);
    load_sample sample;
    sample.busySlots = std::chrono::duration<double>(m_busy).count() / seconds;
    sample.partitions = busiest(m_partitions, maxReportedPartitions, seconds);
    sample.keys = busiest(m_keys, maxReportedKeys, seconds);
    m_since = now;
    m_busy = {};
    m_partitions.clear();
    m_keys.clear();
    return sample;
}

} // namespace heatherdrift
