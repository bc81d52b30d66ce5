#pragma once

#include "base/event_handle.h"
#include "http/http_client.h"
#include "load/load_plan.h"
#include "load/load_report.h"

#include <functional>
#include <memory>
#include <vector>

namespace heatherdrift {

struct load_run_settings {
    std::vector<endpoint> entries; ///< Used in turn.
    std::uint64_t seed = 1;
    int connectionsPerEntry = 2000;
    /// The servers are backend servers: they take the request id of the caller and answer without a verdict.
    bool isDirect = false;
    int resends = 8; ///< Of a once call with the same token, after an answer that does not say what became of it.
    duration resendDelay = std::chrono::milliseconds(250);
};

/// Counters of the generator itself, which show whether its figures can be trusted.
struct generator_counts {
    duration mostLate {}; ///< Longest time from an intended send time to the sending.
    std::uint64_t lateSends = 0; ///< Sent more than 10 ms late.
    std::uint64_t withoutConnection = 0; ///< Not sent, because all connections to the entry node were in use.
};

/// Sends the requests of a plan on an event loop, whatever becomes of them (open loop).
class load_run {
public:
    virtual ~load_run() = default;

    /// `onEnd` is called when the last request has ended.
    static std::unique_ptr<load_run> start(event_base*, load_plan, load_run_settings, std::function<void()> onEnd);

    virtual const load_report& report() const = 0;
    virtual const generator_counts& counts() const = 0;
    virtual time_point startedAt() const = 0;
};

} // namespace heatherdrift
