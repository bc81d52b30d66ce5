#pragma once

#include "base/clock.h"
#include "base/verdict.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace heatherdrift {

/// What the owner's node knows of a request that an entry node lost sight of.
enum class request_state {
    refused, ///< It has not run here and never will.
    running, ///< It is queued or at the backend server.
    answered, ///< The backend server answered it.
    unknown, ///< It may have run; this process cannot tell.
};

std::string_view toString(request_state);

struct request_ledger_limits {
    duration keep = std::chrono::seconds(20); ///< How long the end of a request is remembered.
    duration keepRefusals = std::chrono::seconds(
        60); ///< Longer than a lost request can arrive late; a pause of the process does not count.
    std::size_t requests = 50000;
    std::size_t refusals = 10000;
};

/// Remembers the requests of the last seconds, so that an entry node that lost the connection can learn whether its
/// request ran. Memory is bounded; what was forgotten is answered with `unknown`, never guessed.
class request_ledger {
public:
    explicit request_ledger(request_ledger_limits limits)
        : m_limits(limits)
    {
    }

    /// False if the request was refused before, or is known already: it must not run.
    bool begin(const std::string& requestId, time_point now);
    void finish(const std::string& requestId, request_state, time_point now);

    /// Answers an inquiry. The request was sent at the earliest at `sentAt` by this process's clock. If nothing is
    /// known of it and nothing can have been forgotten since, it is refused for good.
    request_state inquire(const std::string& requestId, time_point sentAt, time_point now);

private:
    struct ended {
        time_point when;
        std::string requestId;
    };

    void forgetOld(time_point now);
    void advanceActiveTime(time_point now);

    request_ledger_limits m_limits;
    std::unordered_map<std::string, request_state> m_states;
    std::deque<ended> m_ended;
    std::deque<ended> m_refused; ///< By active time.
    time_point m_lastCall;
    time_point m_activeTime; ///< Grows with the clock, except while the process was paused.
    time_point m_forgottenUntil; ///< Requests that began before this may have been forgotten.
};

} // namespace heatherdrift
