#pragma once

#include "base/clock.h"

#include <map>
#include <optional>
#include <string>

namespace heatherdrift {

/// Times within which an evacuation takes effect.
struct evacuation_terms {
    /// No request reaches a backend server of the zone later than this after the operator's change; zero: evacuations
    /// are not followed.
    duration limit {};
    duration propagation = std::chrono::milliseconds(2500); ///< Until a change of the operator is known to all nodes.
    /// Between the decision of a gate to send a request and its arrival at the backend server.
    duration margin = std::chrono::milliseconds(200);

    bool operator==(const evacuation_terms&) const = default;
};

/// What this node knows of the evacuation of one zone.
struct zone_evacuation {
    time_point learnedAt {};
    time_point closesAt {}; ///< Requests for keys that have not moved are sent to the zone until this time.

    bool operator==(const zone_evacuation&) const = default;
};

/// The availability zones that the operator has evacuated, by the rows of the operator's table. Designed for a few
/// zones and for rows that arrive in any number: repeated, after an outage, or anew with the whole table.
class evacuation_list {
public:
    explicit evacuation_list(const evacuation_terms& terms)
        : m_terms(terms)
    {
    }

    /// The row of a zone exists or not. The table is known to have matched the store at `matchedAt`, before this
    /// change was known. Returns whether the evacuation of the zone has begun or ended.
    bool setRow(const std::string& zone, bool exists, time_point matchedAt, time_point now);
    /// The whole table was read. A row that exists at the first time may have been written long before.
    void onTableRead() { m_isRead = true; }

    bool isEnabled() const { return m_terms.limit > duration::zero(); }
    bool isRead() const { return m_isRead; }
    std::optional<zone_evacuation> find(const std::string& zone) const;
    const std::map<std::string, zone_evacuation>& zones() const { return m_zones; }

private:
    time_point closingTime(time_point matchedAt, time_point now) const;

    evacuation_terms m_terms;
    std::map<std::string, zone_evacuation> m_zones;
    bool m_isRead = false;
};

} // namespace heatherdrift
