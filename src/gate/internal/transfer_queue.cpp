#include "gate/transfer_queue.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// Smaller answers delay others by only a few milliseconds even on a slow link.
    constexpr std::size_t minLargeBytes = 24 * 1024;
    /// Share of the bandwidth for large answers; the rest is for small answers, headers and requests to other nodes.
    constexpr double largeAnswerShare = 0.85;
    /// Answers are written this long before the link is free, so that it is not idle between iterations of the event
    /// loop.
    constexpr auto maxWriteAhead = std::chrono::milliseconds(30);
    constexpr double smoothingFactor = 0.05; ///< Weight of the newest size in the moving average of its kind.
    constexpr std::size_t maxKinds = 256; ///< Bounds the memory; kinds come from the configuration.

} // namespace

transfer_queue::transfer_queue(const transfer_settings& settings)
    : m_settings(settings)
{
}

double transfer_queue::meanBytes(const std::string& kind) const
{
    const auto found = m_meanBytes.find(kind);
    return found == m_meanBytes.end() ? 0 : found->second;
}

duration transfer_queue::transferTime(double bytes) const
{
    if (m_settings.bytesPerSecond <= 0)
        return {};
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(bytes / (m_settings.bytesPerSecond * largeAnswerShare)));
}

void transfer_queue::recordResponseSize(const std::string& kind, std::size_t bytes)
{
    if (m_meanBytes.size() > maxKinds)
        m_meanBytes.clear();
    const auto [entry, isNew] = m_meanBytes.try_emplace(kind, static_cast<double>(bytes));
    if (!isNew)
        entry->second += (static_cast<double>(bytes) - entry->second) * smoothingFactor;
}

void transfer_queue::expect(request_number id, const std::string& kind)
{
    if (const double size = meanBytes(kind); size >= minLargeBytes)
        m_expected[id] = size;
}

void transfer_queue::reserveLink(std::size_t bytes, time_point now)
{
    m_busyUntil = std::max(m_busyUntil, now) + transferTime(static_cast<double>(bytes));
}

bool transfer_queue::submit(request_number id, std::size_t bytes, time_point now)
{
    m_expected.erase(id);
    if (bytes < minLargeBytes || m_settings.bytesPerSecond <= 0)
        return true;
    if (m_waiting.empty() && m_busyUntil <= now + maxWriteAhead) {
        reserveLink(bytes, now);
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
    return m_busyUntil - maxWriteAhead;
}

std::optional<request_number> transfer_queue::takeNext(time_point now)
{
    const auto at = nextAt();
    if (!at || *at > now)
        return std::nullopt;
    const auto next = m_waiting.front();
    m_waiting.pop_front();
    reserveLink(next.bytes, now);
    return next.id;
}

duration transfer_queue::deliveryTime(const std::string& kind, time_point now) const
{
    if (meanBytes(kind) < minLargeBytes)
        return {};
    double bytes = 0;
    for (const auto& [id, size] : m_expected)
        bytes += size;
    for (const auto& one : m_waiting)
        bytes += static_cast<double>(one.bytes);
    return std::max(m_busyUntil - now, duration()) + transferTime(bytes);
}

} // namespace heatherdrift
