#pragma once

#include "admission/lru_map.h"
#include "admission/work_kind.h"
#include "configuration/configuration.h"

#include <optional>

namespace heatherdrift {

/// Settings of request_classifier; see docs/admission.md.
struct classifier_settings {
    duration shortLimit = std::chrono::milliseconds(50); ///< Calls of this duration or more are long.
    double longThreshold = 0.1; ///< A short kind becomes long when at least this share of its calls is long,
    double shortThreshold = 0.02; ///< a long kind becomes short below this share of calls above half of shortLimit,
    duration confirmationTime = std::chrono::seconds(1); ///< in both cases only if the share stays there for this time.
    int window = 32; ///< Number of calls over which the share is averaged.
    std::size_t maxKinds = 1024; ///< Maximum number of kinds kept; the least recently observed one is evicted.

    bool operator==(const classifier_settings&) const = default;
};

/// Classifies kinds of work: as configured, until observed durations contradict the configured class for the
/// confirmation time.
class request_classifier {
public:
    explicit request_classifier(const classifier_settings& = {});

    call_length classify(const work_kind&, call_length configured) const;
    /// To be called once per call: when a running call reaches the short limit, or when it ends before that.
    void observe(const work_kind&, call_length configured, duration, time_point now);
    const classifier_settings& settings() const { return m_settings; }

private:
    struct kind_state {
        call_length configured = call_length::short_call;
        call_length current = call_length::short_call;
        double longShare = 0;
        std::optional<time_point> contradictedSince;
    };

    static kind_state initialState(call_length configured);

    classifier_settings m_settings;
    lru_map<work_kind, kind_state> m_kinds;
};

} // namespace heatherdrift
