#pragma once

#include "telemetry/log_event.h"

#include <deque>
#include <mutex>

namespace heatherdrift {

/// The newest events of a process; the oldest is dropped when the limit is reached. Safe to use from every thread.
class event_history {
public:
    explicit event_history(std::size_t limit);

    void add(log_event, std::initializer_list<log_field>);
    recorded_events after(std::uint64_t sequence) const;

private:
    const std::size_t m_limit;
    mutable std::mutex m_mutex;
    std::deque<recorded_event> m_events;
    std::uint64_t m_last = 0;
};

} // namespace heatherdrift
