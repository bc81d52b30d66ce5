#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "base/store_types.h"

#include <map>
#include <optional>
#include <vector>

namespace heatherdrift {

/// A node that reported a newer change of a table than this node holds.
struct fetch_source {
    instance_id node;
    std::string zone;
    row_version newestChange = 0;

    bool operator==(const fetch_source&) const = default;
};

/// Selects the node to fetch the changes from: one with the newest change, if possible in the given availability zone,
/// since bytes between zones are charged. random is uniform in [0, 1). Null if there is no source.
const fetch_source* selectSource(const std::vector<fetch_source>&, const std::string& zone, double random);

/// Time until all sources are asked again after each of them has failed this often in a row.
duration fetchRetryDelay(int failures, double random);

/// Large transfers that a node sends at a time.
constexpr std::size_t maxSentTransfers = 2;

/// Limits the transfers that a node sends at a time. Each slows the others down, and a node that has received the whole
/// state sends it to further nodes.
class transfer_slots {
public:
    /// Transfers over this time no longer count, because the other node has given up by then.
    transfer_slots(std::size_t count, duration maxTime);

    /// Number of a transfer that begins now; empty if too many are in progress.
    std::optional<unsigned> begin(time_point now);
    void end(unsigned number);

private:
    std::size_t m_count;
    duration m_maxTime;
    unsigned m_lastNumber = 0;
    std::map<unsigned, time_point> m_startedAt;
};

} // namespace heatherdrift
