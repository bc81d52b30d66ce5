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

/// No partition of the holder is served any more: give its partitions to others with epoch + 1, each write conditional
/// on its successor's row being active; answer with pages_reassigned when none is left.
struct reassign_pages {
    instance_ref holder;
};
/// An operator must act. Given once, until there was progress.
struct report_blocked {
    instance_ref holder;
    std::vector<instance_ref> missing; ///< Witnesses that neither answer nor are proven to have terminated.
};
enum class takeover_outcome {
    completed,
    abandoned, ///< Nothing to do, or not for this instance.
    left_to_other, ///< Another instance has begun the same takeover.
};
struct finished {
    instance_ref holder;
    takeover_outcome outcome = takeover_outcome::completed;
};
using takeover_action = std::variant<read_row, commit_row, promise_request, silence_inquiry, start_timer,
    reassign_pages, report_blocked, finished>;

// Inputs, in addition to those of row_actions.h.

/// A row that arrived by replication: the holder's, the own or a witness's.
struct member_seen {
    versioned_member row;
};
/// A renewal of the holder arrived at this node's witness.
struct holder_heard { };
/// An operator states that the holder's process does not run and will not resume.
struct declared_lost { };
struct pages_reassigned { };
using takeover_input = std::variant<row_read, read_failed, commit_done, lease_promise, promise_refusal, silence_report,
    member_seen, timer_due, holder_heard, declared_lost, pages_reassigned>;

enum class takeover_stage {
    reading, ///< The own row and the holder's.
    inquiring, ///< Do other witnesses miss the holder, too?
    marking, ///< Row to fencing.
    collecting, ///< Promises; then the wait for the last grant.
    confirming, ///< Row to fenced.
    reassigning,
    finished,
};

struct takeover_start {
    instance_ref self;
    instance_ref holder;
    bool isResumed = false; ///< As in takeover_call.
    std::string operationPrefix; ///< Unique per object; operation ids are made from it.
    std::uint64_t seed = 0; ///< For the jitter.
};

/// Takeover of one incarnation of an instance, as seen by one other instance. Pure. It may be dropped at any time: all
/// steps are idempotent, and what counts is in the rows. `now` must be read after the input was received.
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
    void on(const member_seen&, time_point now);
    void on(const timer_due&, time_point now);
    void on(const holder_heard&, time_point now);
    void on(const declared_lost&, time_point now);
    void on(const pages_reassigned&, time_point now);

    void onCollectingTimer(time_point now);
    void beginReading();
    void learn(const versioned_member&, time_point now);
    void decide(time_point now);
    void decideOnNewer(time_point now);
    bool isOwnRowUsable() const;
    void beginInquiry(time_point now);
    void checkInquiry(time_point now);
    void beginCollecting(time_point now);
    void requestPromises();
    void countTerminated();
    void checkQuorum(time_point now);
    std::optional<time_point> releaseTime() const;
    void commit(takeover_stage, member_state);
    void onApplied(row_version, time_point now);
    void beginReassigning();
    void finish(takeover_outcome);
    void retryLater(time_point now);
    void noteProgress();
    void noteStuck(const std::vector<instance_ref>& missing, time_point now);
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
    std::set<instance_ref> m_silent; ///< Witnesses that miss the holder.
    std::set<instance_ref> m_answered;
    promise_quorum m_quorum;
    termination_record m_terminations;
    member_row m_written; ///< By the commit whose outcome is awaited.
    unsigned m_operations = 0;
    bool m_isOver = false; ///< The holder's lease is known to have ended for good.
    std::optional<time_point> m_declaredAt;
    time_point m_retryAt {};
    backoff m_backoff;
    std::optional<time_point> m_stuckSince;
    bool m_isBlocked = false;
    std::vector<takeover_action> m_actions;
};

} // namespace heatherdrift
