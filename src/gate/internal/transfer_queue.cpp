#include "gate/transfer_queue.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// A smaller answer delays others by a few milliseconds even on a slow link.
    constexpr std::size_t leastLargeBytes = 24 * 1024;
    /// Of the link's speed; the rest is for small answers, headers and requests to other nodes.
    constexpr double largeShare = 0.85;
    /// What may be written ahead of the link, so that it does not run idle between two turns of the event loop.
    constexpr auto mostAhead = std::chrono::milliseconds(30);
    constexpr double learningRate = 0.05; ///< Weight of the newest size in the average of its kind.
    constexpr std::size_t mostKinds = 256; ///< Kinds come from the configuration; the bound only limits memory.

} // namespace

transfer_queue::transfer_queue(const transfer_settings& settings)
    : m_settings(settings)
{
}

double transfer_queue::sizeOf(const std::string& kind) const
{
    const auto found = m_sizes.find(kind);
    return found == m_sizes.end() ? 0 : found->second;
}

duration transfer_queue::timeOf(double bytes) const
{
    if (m_settings.bytesPerSecond <= 0)
        return {};
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(bytes / (m_settings.bytesPerSecond * largeShare)));
}

void transfer_queue::learn(const std::string& kind, std::size_t bytes)
{
    if (m_sizes.size() > mostKinds)
        m_sizes.clear();
    const auto [entry, isNew] = m_sizes.try_emplace(kind, static_cast<double>(bytes));
    if (!isNew)
        entry->second += (static_cast<double>(bytes) - entry->second) * learningRate;
}

void transfer_queue::expect(request_number id, const std::string& kind)
{
    if (const double size = sizeOf(kind); size >= leastLargeBytes)
        m_expected[id] = size;
}

void transfer_queue::occupy(std::size_t bytes, time_point now)
{
    m_busyUntil = std::max(m_busyUntil, now) + timeOf(static_cast<double>(bytes));
}

bool transfer_queue::submit(request_number id, std::size_t bytes, time_point now)
{
    m_expected.erase(id);
    if (bytes < leastLargeBytes || m_settings.bytesPerSecond <= 0)
        return true;
    if (m_waiting.empty() && m_busyUntil <= now + mostAhead) {
        occupy(bytes, now);
        return true;
    }
    m_waiting.push_back({ id, bytes });
    return false;
}

void transfer_queue::drop(request_number id)
{
    m_expected.erase(id);
    std::erase_if(m_waiting, [&](const transfer& one) { return one.id == id; });
}

std::optional<time_point> transfer_queue::nextAt() const
{
    if (m_waiting.empty())
        return std::nullopt;
    return m_busyUntil - mostAhead;
}

std::optional<request_number> transfer_queue::takeNext(time_point now)
{
    const auto at = nextAt();
    if (!at || *at > now)
        return std::nullopt;
    const auto next = m_waiting.front();
    m_waiting.pop_front();
    occupy(next.bytes, now);
    return next.id;
}

duration transfer_queue::deliveryTime(const std::string& kind, time_point now) const
{
    if (sizeOf(kind) < leastLargeBytes)
        return {};
    double bytes = 0;
    for (const auto& [id, size] : m_expected)
        bytes += size;
    for (const auto& one : m_waiting)
        bytes += static_cast<double>(one.bytes);
    return std::max(m_busyUntil - now, duration()) + timeOf(bytes);
}

} // namespace heatherdrift
