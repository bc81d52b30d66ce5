#pragma once

#include "lease/backoff.h"
#include "lease/lease_holder.h"
#include "lease/row_actions.h"

#include <variant>

namespace heatherdrift {

using change_action = std::variant<read_row, commit_row, start_timer>;
using change_input = std::variant<row_read, read_failed, commit_done, timer_due>;

struct change_result {
    change_outcome outcome = change_outcome::not_applied;
    versioned_member row; ///< Last written or read. If it is fenced or superseded, the lease has ended.

    bool operator==(const change_result&) const = default;
};

/// State machine that writes a new witness set to the holder's row and determines whether the write took effect. Does
/// no input or output. Used between lease_holder::beginWitnessChange() and settleWitnessChange().
class witness_change {
public:
    /// `current` is the row that was passed to beginWitnessChange().
    witness_change(versioned_member current, std::vector<instance_ref> next, std::string operationId,
        const lease_settings&, std::uint64_t seed);

    std::vector<change_action> start();
    std::vector<change_action> handle(const change_input&, time_point now);
    /// Empty until the outcome is certain; there is no timeout.
    const std::optional<change_result>& result() const { return m_result; }

private:
    std::vector<change_action> on(const row_read&, time_point now);
    std::vector<change_action> on(const read_failed&, time_point now);
    std::vector<change_action> on(const commit_done&, time_point now);
    std::vector<change_action> on(const timer_due&, time_point now);
    std::vector<change_action> readLater(time_point now);

    commit_row m_write;
    backoff m_backoff;
    time_point m_retryAt {};
    std::optional<change_result> m_result;
};

} // namespace heatherdrift
