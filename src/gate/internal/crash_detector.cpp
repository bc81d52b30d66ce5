#include "gate/crash_detector.h"

namespace heatherdrift {

namespace {

    /// The resets of one crash arrive within this time, also on a node that is short of processor time.
    constexpr auto maxResetSpread = std::chrono::milliseconds(250);
    constexpr std::size_t maxLost = 4096; ///< More than the slots of a backend server.

} // namespace

void crash_detector::recordLoss(request_fingerprint request, time_point now)
{
    m_lost.push_back({ request, now });
    if (m_lost.size() > maxLost)
        m_lost.pop_front();
}

void crash_detector::recordAnswer(time_point now)
{
    // Answers that were sent before a crash may be read after the first resets.
    while (!m_lost.empty() && now - m_lost.front().at > maxResetSpread)
        m_lost.pop_front();
}

std::vector<request_fingerprint> crash_detector::takeAtWork()
{
    std::vector<request_fingerprint> out;
    for (const auto& lost : m_lost) {
        if (m_lost.back().at - lost.at <= maxResetSpread)
            out.push_back(lost.request);
    }
    m_lost.clear();
    return out;
}

} // namespace heatherdrift
