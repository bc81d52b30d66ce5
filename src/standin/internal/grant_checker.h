#pragma once

#include "standin/internal/backend_request.h"

#include <map>

namespace heatherdrift {

/// Refuses requests whose grant is past its lease end or has an older epoch than one seen before.
class grant_checker {
public:
    /// The reason of a refusal; empty if the grant is good.
    std::optional<std::string> check(const ownership_grant& grant, time_point now)
    {
        auto& highest = m_highest[grant.partition];
        if (grant.number < highest)
            return "older epoch";
        highest = grant.number;
        if (now >= grant.leaseEnd)
            return "lease expired";
        return std::nullopt;
    }

private:
    std::map<partition_id, epoch> m_highest;
};

} // namespace heatherdrift
