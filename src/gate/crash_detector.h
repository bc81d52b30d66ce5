#pragma once

#include "admission/request_fingerprint.h"
#include "base/clock.h"

#include <deque>
#include <vector>

namespace heatherdrift {

/// Finds the requests that were at work when a backend server crashed. A crash breaks all connections at once; a lost
/// answer of a backend server that goes on answering is none.
class crash_detector {
public:
    /// The connection was lost before the answer was complete.
    void recordLoss(request_fingerprint, time_point now);
    /// The backend server has answered some request.
    void recordAnswer(time_point now);
    /// The backend server has ended. Returns the requests at work at that time and starts anew.
    std::vector<request_fingerprint> takeAtWork();

private:
    struct lost_request {
        request_fingerprint request = 0;
        time_point at {};
    };

    std::deque<lost_request> m_lost; ///< Oldest first.
};

} // namespace heatherdrift
