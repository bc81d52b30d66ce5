#include "routes/evacuation_list.h"

#include <algorithm>

namespace heatherdrift {

bool evacuation_list::setRow(const std::string& zone, bool exists, time_point matchedAt, time_point now)
{
    if (!isEnabled() || zone.empty())
        return false;
    if (!exists)
        return m_zones.erase(zone) > 0;
    // A repeated row must not extend the time until the zone is closed.
    return m_zones.try_emplace(zone, zone_evacuation { now, closingTime(matchedAt, now) }).second;
}

time_point evacuation_list::closingTime(time_point matchedAt, time_point now) const
{
    if (!m_isRead)
        return now;
    // A node that was frozen or cut off learns of the row late. The row is not older than the last time at which the
    // table was known to match the store without it.
    const auto byPropagation = now + m_terms.limit - m_terms.propagation - m_terms.margin;
    const auto byLastMatch = matchedAt + m_terms.limit - m_terms.margin;
    return std::max(now, std::min(byPropagation, byLastMatch));
}

std::optional<zone_evacuation> evacuation_list::find(const std::string& zone) const
{
    const auto found = m_zones.find(zone);
    return found == m_zones.end() ? std::nullopt : std::optional(found->second);
}

} // namespace heatherdrift
