#pragma once

#include "lease/lease_messages.h"
#include "lease/lease_settings.h"
#include "store/member_row.h"

#include <map>
#include <variant>
#include <vector>

namespace heatherdrift {

using renewal_answer = std::variant<lease_grant, lease_refusal>;
using promise_answer = std::variant<lease_promise, promise_refusal>;

/// An instance whose takeover is due at this witness.
struct due_takeover {
    instance_ref holder;
    /// The row is fencing or fenced already and the takeover must be completed; otherwise the holder is silent.
    bool isResumed = false;

    auto operator<=>(const due_takeover&) const = default;
};

/// Witness's side of all leases, for one incarnation of the witnessing instance. Does no input or output: `now` is the
/// caller's reading of the boot clock, taken after the message was received. Grants and promises are kept in this
/// object, so it must live as long as the process.
class witness {
public:
    witness(instance_ref self, const lease_settings&, time_point now);

    renewal_answer answer(const lease_renewal&, time_point now);
    promise_answer answer(const promise_request&, time_point now);
    silence_report answer(const silence_inquiry&, time_point now);

    /// Applies a row that was read from the store or replicated. Rows older than one passed before must not be passed.
    void updateMember(const member_row&, time_point now);
    /// Sets the configuration version that is in force at this node from `now` on.
    void updateConfigurationVersion(std::int64_t version, time_point now);
    /// Call when all partitions of the holder have other owners.
    void onTakeoverFinished(const instance_ref& holder);

    /// Takeovers that are due; each is returned by every call until it is finished or a renewal of the holder arrives.
    /// Must be called at least once per pauseLimit(): a longer gap counts as a pause of this process, in which it
    /// received nothing, and all silence is measured from the end of the gap.
    std::vector<due_takeover> takeoversDue(time_point now);

    /// Number of instances with a record.
    std::size_t size() const { return m_records.size(); }

private:
    /// State of one instance.
    struct holder_record {
        incarnation newestIncarnation = 0; ///< Highest registered incarnation seen.
        incarnation refusedUpTo = 0; ///< No grants to this incarnation or older ones: promised or fenced.
        time_point grantEnd = time_point::min();
        time_point lastContact = time_point::min(); ///< With the newest incarnation.
        bool isWatched = false; ///< The row names this instance as a witness.
        std::size_t rank = 0;
        member_state state = member_state::left;
        time_point stateSince {};
        incarnation finishedUpTo = 0; ///< Takeovers of this incarnation and older ones are complete.
    };

    struct version_start {
        std::int64_t version = 0;
        time_point since;
    };

    void detectPause(time_point now);
    renewal_answer refuse(const lease_renewal&, refusal_reason) const;
    bool isConfigurationStale(std::int64_t version, time_point now) const;
    bool isDue(const holder_record&, time_point now) const;
    duration silentFor(const holder_record&, time_point now) const;
    void evictIdleRecords(time_point now);

    instance_ref m_self;
    lease_settings m_settings;
    std::map<instance_id, holder_record> m_records;
    std::vector<version_start> m_versions; ///< Ascending; only the latest of those older than the stale limit is kept.
    time_point m_lastCall;
    time_point m_observingSince;
};

} // namespace heatherdrift
