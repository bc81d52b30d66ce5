#pragma once

#include "base/clock.h"

namespace heatherdrift {

/// Settings of slow_start; see docs/admission.md.
struct slow_start_settings {
    duration ramp = std::chrono::seconds(30);
    double initialShare = 0.1; ///< Share at the cold start; above 0.

    bool operator==(const slow_start_settings&) const = default;
};

/// Share of its full load that a backend server gets: grows linearly from its cold start to 1.
class slow_start {
public:
    explicit slow_start(time_point startedAt, const slow_start_settings& = {});

    double share(time_point now) const;
    bool isWarm(time_point now) const { return now >= m_warmAt; }

private:
    double m_initialShare;
    time_point m_startedAt;
    time_point m_warmAt;
};

} // namespace heatherdrift
