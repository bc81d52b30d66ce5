#pragma once

#include "lease/backoff.h"
#include "lease/lease_messages.h"
#include "lease/lease_settings.h"
#include "lease/promise_quorum.h"
#include "lease/row_actions.h"
#include "store/member_row.h"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace heatherdrift {

// Actions, in addition to those of row_actions.h.

/// The holder no longer serves any partition. Assign its partitions to other instances with epoch + 1, each write
/// conditional on the new owner's row being active. The response is pages_reassigned once none is left.
struct reassign_pages {
    instance_ref holder;
};
/// The takeover needs an operator. Emitted once, and again only after progress was made.
struct report_blocked {
    instance_ref holder;
    std::vector<instance_ref> missing; ///< Witnesses that do not answer and are not proven to have terminated.
};
enum class takeover_outcome {
    completed,
    abandoned, ///< No takeover is needed, or this instance may not perform it.
    handled_by_other, ///< Another instance has started the same takeover.
};
struct finished {
    instance_ref holder;
    takeover_outcome outcome = takeover_outcome::completed;
};
using takeover_action = std::variant<read_row, commit_row, promise_request, silence_inquiry, start_timer,
    reassign_pages, report_blocked, finished>;

// Inputs, in addition to those of row_actions.h.

/// A replicated row arrived: of the holder, this instance or a witness.
struct member_updated {
    versioned_member row;
};
/// A renewal of the holder arrived at this node's witness.
struct renewal_received { };
/// An operator confirms that the holder's process is not running and will not resume.
struct declared_lost { };
struct pages_reassigned { };
using takeover_input = std::variant<row_read, read_failed, commit_done, lease_promise, promise_refusal, silence_report,
    member_updated, timer_due, renewal_received, declared_lost, pages_reassigned>;

enum class takeover_stage {
    reading, ///< Reads this instance's row and the holder's.
    inquiring, ///< Asks the other witnesses whether the holder is silent for them, too.
    marking, ///< Sets the holder's row to fencing.
    collecting, ///< Collects promises, then waits until the last grant expires.
    confirming, ///< Sets the holder's row to fenced.
    reassigning,
    finished,
};

struct takeover_start {
    instance_ref self;
    instance_ref holder;
    bool isResumed = false; ///< As in due_takeover.
    std::string operationPrefix; ///< Prefix of the operation ids, unique per object.
    std::uint64_t seed = 0; ///< For the jitter.
};

/// State machine that takes over the partitions of one incarnation of an instance, run by another instance. Does no
/// input or output. It may be destroyed at any time: all steps are idempotent, and the authoritative state is in the
/// rows. `now` must be read after the input was received.
class takeover {
public:
    takeover(takeover_start, const lease_settings&);

    /// Call once, before handle().
    std::vector<takeover_action> start();
    std::vector<takeover_action> handle(const takeover_input&, time_point now);

    takeover_stage stage() const { return m_stage; }
    bool isBlocked() const { return m_isBlocked; }
    const instance_ref& holder() const { return m_start.holder; }

private:
    void on(const row_read&, time_point now);
    void on(const read_failed&, time_point now);
    void on(const commit_done&, time_point now);
    void on(const lease_promise&, time_point now);
    void on(const promise_refusal&, time_point now);
    void on(const silence_report&, time_point now);
    void on(const member_updated&, time_point now);
    void on(const timer_due&, time_point now);
    void on(const renewal_received&, time_point now);
    void on(const declared_lost&, time_point now);
    void on(const pages_reassigned&, time_point now);

    void onCollectingTimer(time_point now);
    void beginReading();
    void updateRow(const versioned_member&, time_point now);
    void decide(time_point now);
    void decideOnNewerIncarnation(time_point now);
    bool isOwnRowUsable() const;
    void beginInquiry(time_point now);
    void checkInquiry(time_point now);
    void beginCollecting(time_point now);
    void requestPromises();
    void countTerminatedWitnesses();
    void checkQuorum(time_point now);
    std::optional<time_point> releaseTime() const;
    void commit(takeover_stage, member_state);
    void onApplied(row_version, time_point now);
    void beginReassigning();
    void finish(takeover_outcome);
    void retryLater(time_point now);
    void clearBlocked();
    void reportIfBlocked(const std::vector<instance_ref>& missing, time_point now);
    void emit(takeover_action);
    std::vector<instance_ref> witnesses() const;

    takeover_start m_start;
    lease_settings m_settings;
    takeover_stage m_stage = takeover_stage::reading;
    std::optional<versioned_member> m_holderRow;
    std::optional<versioned_member> m_ownRow;
    bool m_isHolderRead = false;
    bool m_isOwnRead = false;
    std::vector<instance_ref> m_firstWitnesses; ///< Of the first read; only for lease_mutations::staleWitnessSet.
    std::set<instance_ref> m_silent; ///< Witnesses for which the holder is silent.
    std::set<instance_ref> m_heard; ///< Witnesses that have heard the holder, by a report to the present inquiry.
    std::set<instance_ref> m_answered;
    promise_quorum m_quorum;
    termination_record m_terminations;
    member_row m_written; ///< Row of the commit whose outcome is pending.
    unsigned m_operations = 0;
    bool m_hasLeaseEnded = false; ///< The holder's lease has ended permanently.
    std::optional<time_point> m_declaredLostAt;
    time_point m_retryAt {};
    backoff m_backoff;
    std::optional<time_point> m_noProgressSince;
    bool m_isBlocked = false;
    std::vector<takeover_action> m_actions;
};

} // namespace heatherdrift
