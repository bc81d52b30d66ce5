#include "gate/request_origins.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr double leastRequests = 30; ///< Fewer may come from one service by chance.
    /// Counts are halved at this number, so that a route that gets other users is judged anew after some thousands.
    constexpr double mostRequests = 2000;
    /// Operators try a route from anywhere now and then.
    constexpr double shareOfOneService = 0.97;
    constexpr double shareOfSeveralServices = 0.85;
    constexpr std::size_t mostRoutes = 256; ///< Routes come from the configuration; the bound only limits memory.

} // namespace

double request_origins::origins::largestShare() const
{
    double largest = 0;
    for (const auto& [service, count] : byService)
        largest = std::max(largest, count);
    return largest / total;
}

void request_origins::record(const std::string& route, const std::string& callerService)
{
    if (m_routes.size() > mostRoutes)
        m_routes.clear();
    auto& known = m_routes[route];
    if (known.total >= mostRequests) {
        known.total /= 2;
        for (auto& [service, count] : known.byService)
            count /= 2;
    }
    ++known.total;
    ++known.byService[callerService];
}

bool request_origins::isNested(const std::string& route) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || found->second.total < leastRequests
        || found->second.largestShare() < shareOfOneService)
        return false;
    return std::ranges::any_of(m_routes, [](const auto& entry) {
        return entry.second.total >= leastRequests && entry.second.largestShare() <= shareOfSeveralServices;
    });
}

} // namespace heatherdrift
