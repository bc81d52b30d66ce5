#pragma once

#include "admission/recent_map.h"
#include "admission/work_kind.h"
#include "configuration/configuration.h"

#include <optional>

namespace heatherdrift {

/// Settings of request_classifier; see docs/admission.md.
struct classifier_settings {
    duration shortLimit = std::chrono::milliseconds(50); ///< Calls that take this long or longer count as long.
    double longFrom = 0.1; ///< A short kind becomes long when this share of its calls is long,
    double shortFrom = 0.02; ///< and a long one becomes short below this share of calls above half the limit,
    duration confirmation = std::chrono::seconds(1); ///< if the share stays there for this time.
    int window = 32; ///< Number of calls over which the share is averaged.
    std::size_t mostKinds = 1024; ///< Kinds remembered; the least recently observed one is forgotten.

    bool operator==(const classifier_settings&) const = default;
};

/// Class of each kind of work: as configured, until observed durations contradict it for long enough.
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
    recent_map<work_kind, kind_state> m_kinds;
};

} // namespace heatherdrift
