#pragma once

#include "base/clock.h"
#include "base/verdict.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace heatherdrift {

/// State at the owner's node of a request whose connection to the entry node was lost.
enum class request_state {
    refused, ///< It has not run at this process and will not be accepted later.
    running, ///< Queued, or sent to the backend server.
    answered, ///< The backend server answered it.
    unknown, ///< It may have run, for example if its record was evicted.
};

std::string_view toString(request_state);
/// The state in the answer to an inquiry; `unknown` if it states none.
request_state parseInquiryAnswer(std::string_view body);

struct request_ledger_limits {
    duration recordRetention = std::chrono::seconds(20); ///< How long the final state of a request is kept.
    duration refusalRetention = std::chrono::seconds(
        60); ///< Longer than a lost request can be delayed; time in which the process is paused does not count.
    std::size_t requests = 50000;
    std::size_t refusals = 10000;
};

/// Records recent requests, so that an entry node that lost the connection can ask whether its request ran. Memory is
/// bounded: inquiries about evicted records are answered with `unknown`.
class request_ledger {
public:
    explicit request_ledger(request_ledger_limits limits)
        : m_limits(limits)
    {
    }

    /// Returns false if the request must not run: it was refused before, or its id was already used.
    bool begin(const std::string& requestId, time_point now);
    void finish(const std::string& requestId, request_state, time_point now);

    /// Answers an inquiry. The request was sent no earlier than `sentAt` by this process's clock. If there is no record
    /// of it and none from that time on can have been evicted, the request is refused and will not run later.
    request_state inquire(const std::string& requestId, time_point sentAt, time_point now);

private:
    struct timed_record {
        time_point when;
        std::string requestId;
    };

    void evictExpired(time_point now);
    void advanceActiveTime(time_point now);

    request_ledger_limits m_limits;
    std::unordered_map<std::string, request_state> m_states;
    std::deque<timed_record> m_ended;
    std::deque<timed_record> m_refused; ///< Times are active time.
    time_point m_lastCall;
    time_point m_activeTime; ///< Grows with the clock, except while the process was paused.
    time_point m_evictedUntil; ///< Records of requests that began before this may have been evicted.
};

} // namespace heatherdrift
