#pragma once

#include "base/clock.h"
#include "base/identifiers.h"
#include "routing/task_messages.h"

#include <map>
#include <optional>
#include <string>

namespace heatherdrift {

/// Accumulates the slot time of completed calls by partition and by key.
class load_meter {
public:
    explicit load_meter(time_point now)
        : m_since(now)
    {
    }

    void add(const std::optional<partition_id>&, const std::string& key, duration busy);
    /// Mean busy slots since the previous call of this function, for the busiest partitions and keys.
    load_sample take(time_point now);

private:
    time_point m_since;
    duration m_busy {};
    std::map<partition_index, duration> m_partitions;
    std::map<std::string, duration> m_keys;
};

} // namespace heatherdrift
