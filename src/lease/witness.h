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
struct takeover_call {
    instance_ref holder;
    /// The row is fencing or fenced already and the takeover has to be completed; otherwise the holder is silent.
    bool isResumed = false;

    auto operator<=>(const takeover_call&) const = default;
};

/// Witness's side of all leases, for one incarnation of the witnessing instance. Pure: `now` is the caller's reading of
/// the boot clock, taken after the message was received. Grants and promises last as long as this object, which must
/// last as long as the process.
class witness {
public:
    witness(instance_ref self, const lease_settings&, time_point now);

    renewal_answer answer(const lease_renewal&, time_point now);
    promise_answer answer(const promise_request&, time_point now);
    silence_report answer(const silence_inquiry&, time_point now);

    /// A row as read from the store or replicated; rows that are older than one seen before must not be passed.
    void learnMember(const member_row&, time_point now);
    /// The configuration version in force at this node from `now` on.
    void learnConfiguration(std::int64_t version, time_point now);
    /// All partitions of the holder have other owners.
    void takeoverFinished(const instance_ref& holder);

    /// Takeovers that are due, again in each call until they are finished or the holder is heard. Must be called at
    /// least once per pauseLimit(): a longer gap counts as a pause of this process, which has then heard nobody, and
    /// all silence is counted anew.
    std::vector<takeover_call> takeoversDue(time_point now);

    /// Instances about which something is kept.
    std::size_t size() const { return m_records.size(); }

private:
    /// What is kept about one instance.
    struct record {
        incarnation newest = 0; ///< Highest incarnation known to have registered.
        incarnation refusedUpTo = 0; ///< Promised never to grant to this incarnation or an older one.
        time_point grantEnd = time_point::min();
        time_point lastContact = time_point::min(); ///< With the newest incarnation.
        bool isWatched = false; ///< The row names this instance as a witness.
        std::size_t rank = 0;
        member_state state = member_state::left;
        time_point stateSince {};
        incarnation finished = 0; ///< Takeover of this incarnation and older ones is complete.
    };

    struct version_start {
        std::int64_t version = 0;
        time_point since;
    };

    void noteCall(time_point now);
    renewal_answer refuse(const lease_renewal&, refusal_reason) const;
    bool isConfigurationStale(std::int64_t version, time_point now) const;
    bool isDue(const record&, time_point now) const;
    duration silentFor(const record&, time_point now) const;
    void forgetIdle(time_point now);

    instance_ref m_self;
    lease_settings m_settings;
    std::map<instance_id, record> m_records;
    std::vector<version_start> m_versions; ///< Rising; only the last of those older than the stale limit is kept.
    time_point m_lastCall;
    time_point m_listeningSince;
};

} // namespace heatherdrift
