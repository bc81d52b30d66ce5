#include "telemetry/internal/event_history.h"

namespace heatherdrift {

event_history::event_history(std::size_t limit)
    : m_limit(limit)
{
}

void event_history::add(log_event event, std::initializer_list<log_field> fields)
{
    recorded_event record { 0, std::chrono::system_clock::now(), event, {} };
    for (const auto& field : fields)
        record.fields.emplace_back(field.name, field.value);
    std::lock_guard lock(m_mutex);
    record.sequence = ++m_last;
    m_events.push_back(std::move(record));
    if (m_events.size() > m_limit)
        m_events.pop_front();
}

recorded_events event_history::after(std::uint64_t sequence) const
{
    std::lock_guard lock(m_mutex);
    recorded_events found;
    found.last = m_last;
    for (const auto& record : m_events) {
        if (record.sequence > sequence)
            found.events.push_back(record);
    }
    return found;
}

} // namespace heatherdrift
