#pragma once

#include "standin/internal/backend_faults.h"

#include <deque>

namespace heatherdrift {

/// Past reports, for endpoints that lag.
class report_history {
public:
    void record(const backend_report& report, time_point now)
    {
        if (!m_entries.empty() && m_entries.back().report == report)
            return;
        m_entries.push_back({ now, report });
        while (m_entries.size() > 1 && m_entries[1].since <= now - maximumReportLag)
            m_entries.pop_front();
    }

    /// The report in force at the time; the oldest known one if the time is before it.
    backend_report at(time_point when) const
    {
        backend_report found;
        for (const auto& entry : m_entries) {
            if (entry.since > when)
                break;
            found = entry.report;
        }
        return found;
    }

private:
    struct entry {
        time_point since;
        backend_report report;
    };

    std::deque<entry> m_entries;
};

} // namespace heatherdrift
