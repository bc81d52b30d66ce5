#include "gate/request_origins.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr double minRequests = 30; ///< Fewer may come from one service by chance.
    /// Counts are halved when they reach this number, so that the classification follows a change of callers within a
    /// few thousand requests.
    constexpr double maxRequests = 2000;
    /// Not 1: operators occasionally send test requests from other instances.
    constexpr double minShareOfSingleService = 0.97;
    constexpr double maxShareOfSeveralServices = 0.85;
    constexpr std::size_t maxRoutes = 256; ///< Bounds the memory; routes come from the configuration.

} // namespace

double request_origins::origins::largestShare() const
{
    double largest = 0;
    for (const auto& [service, count] : countByService)
        largest = std::max(largest, count);
    return largest / total;
}

void request_origins::record(const std::string& route, const std::string& callerService)
{
    if (m_routes.size() > maxRoutes)
        m_routes.clear();
    auto& entry = m_routes[route];
    if (entry.total >= maxRequests) {
        entry.total /= 2;
        for (auto& [service, count] : entry.countByService)
            count /= 2;
    }
    ++entry.total;
    ++entry.countByService[callerService];
}

bool request_origins::isNested(const std::string& route) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || found->second.total < minRequests
        || found->second.largestShare() < minShareOfSingleService)
        return false;
    return std::ranges::any_of(m_routes, [](const auto& entry) {
        return entry.second.total >= minRequests && entry.second.largestShare() <= maxShareOfSeveralServices;
    });
}

} // namespace heatherdrift
