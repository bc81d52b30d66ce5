#pragma once

#include "base/json_reader.h"

#include <set>
#include <string>
#include <vector>

namespace heatherdrift {

/// Faults of the requests that touch one of some tables.
struct store_fault_rule {
    std::set<std::string> tables; ///< Empty: all.
    duration delay {}; ///< Of each answer.
    duration writeDelay {}; ///< Of each answer to a write, besides delay.
    duration effectDelay {}; ///< Before a write takes effect.
    int loseAnswers = 0; ///< The next writes take effect and their connections are closed without an answer.
    double loseShare = 0; ///< The same for a share of the writes.
    double rejectShare = 0; ///< Requests refused with 503 and verdict not_run.

    bool matches(const std::vector<std::string>& touched) const;
};

enum class store_outage {
    none,
    refuse, ///< The listening socket and all connections are closed.
    hang, ///< Requests are read and run only when the outage ends.
};

struct store_faults {
    store_outage outage = store_outage::none;
    std::vector<store_fault_rule> rules; ///< The first match counts.
};

/// Parses the body of PUT /faults; docs/standin.md describes it. Fails with bad_request.
result<store_faults> parseStoreFaults(std::string_view);

} // namespace heatherdrift
