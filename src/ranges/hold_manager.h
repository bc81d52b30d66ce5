#pragma once

#include "base/clock.h"
#include "ranges/range_map.h"

#include <string_view>

namespace heatherdrift {

/// Limits on the holds granted to a backend server. A hold permits it to serve keys for a limited time.
struct hold_terms {
    duration lease {}; ///< Without promises, a hold ends at most this long after the range map was confirmed.
    duration promise {}; ///< Period for which other owners promise not to take over any keys.
    duration maxHoldExtension {}; ///< Longest extension of a hold beyond the lease by promises.
    duration longestHold {}; ///< Longest hold that backend servers accept.
    double clockDrift = 0.02; ///< Maximum share by which a backend server's clock may run slow.

    bool operator==(const hold_terms&) const = default;
};

/// Keys that a backend server reports as held or still in use.
struct held_range {
    key_range keys;
    fencing_token fence = 0;

    bool operator==(const held_range&) const = default;
};

/// Keys released by a backend server.
struct released_range {
    key_range keys;
    std::string handover; ///< Lets the next owner start with the state of this one.

    bool operator==(const released_range&) const = default;
};

/// Report of a backend server on its keys.
struct hold_report {
    life_name life;
    std::vector<held_range> holds;
    std::vector<released_range> released;
    bool isComplete = true; ///< False: it says nothing about keys.

    bool operator==(const hold_report&) const = default;
};

/// Keys granted to a backend server.
struct granted_range {
    key_range keys;
    fencing_token fence = 0;
    std::string handover;

    bool operator==(const granted_range&) const = default;
};

enum class grant_scope {
    owned, ///< All keys that the range map assigns to the incarnation.
    held, ///< Of these, the ones that the incarnation has reported as held.
};

struct hold_grant {
    bool isValid = false; ///< False: no hold is renewed or revoked.
    std::vector<granted_range> ranges;
    duration hold {}; ///< Starts when the backend server sent its report.

    bool operator==(const hold_grant&) const = default;
};

/// Why an earlier owner no longer holds keys.
enum class release_basis {
    none, ///< It may hold them.
    hold_ended, ///< All holds granted to it have expired.
    reported, ///< It has reported their release.
    not_reported, ///< Its last report does not list them, and neither do the last grants.
};

std::string_view toString(release_basis);

/// Grants holds to the local backend server and detects when they have ended. Expiry is based on the boot clock, which
/// continues while the machine is suspended.
class hold_manager {
public:
    /// Holds granted by a previous process may still last for a whole lease or promise after the start.
    hold_manager(const hold_terms&, time_point startedAt);

    /// Sets the range map; it was current in the store at the given time or later.
    void confirm(const range_map&, time_point at);
    /// Extends the holds: all other owners promised at the given time or later not to take over keys of this
    /// incarnation.
    void extend(time_point at);
    /// Sets a newer range map without changing the time of the last confirmation.
    void setMap(const range_map& map);
    /// Called when the store came back from an older copy. While an incarnation holds keys at this time, no other one
    /// does, so it may go on holding them whatever the store has lost.
    void startEra(time_point now);
    /// Switches to a new incarnation of the backend server; the previous one has ended.
    void startLife(const life_name&);
    /// The present incarnation was not the present one: its heartbeat was late. Unlike after startLife(), holds that an
    /// earlier process may have granted do not count as ended.
    void forgetLife();
    const life_name& life() const { return m_life; }
    /// From this time on no incarnation holds keys unless it is granted them again.
    time_point holdEnd() const { return m_holdEnd; }
    time_point confirmedAt() const { return m_confirmedAt; }

    /// Processes a report of the current incarnation; reports must arrive in the order in which they were sent.
    void report(const hold_report&);
    /// Creates the answer to the last report of the backend server.
    hold_grant grant(time_point receivedAt, grant_scope = grant_scope::owned);
    /// Returns the map with the keys released that the current incarnation no longer holds; unchanged if there are
    /// none.
    range_map releaseUnheld(const range_map&, time_point now) const;
    /// Why releaseUnheld() removes the current incarnation from keys of this range.
    release_basis releaseBasis(const owned_range&, time_point now) const;
    /// Returns the map without earlier owners of the keys that only this incarnation can hold since the store came
    /// back.
    range_map releaseExclusivelyHeld(const range_map&) const;
    /// Whether requests for the key may be sent to the backend server.
    bool mayServe(key_number, time_point now) const;
    /// Discards the grants after the backend server rejected a key as not held.
    void invalidateGrants();
    const std::vector<granted_range>& granted() const { return m_granted; }

private:
    /// Keys of a grant that the one before it did not contain.
    struct unconfirmed_grant {
        key_range keys;
        fencing_token fence = 0;
        time_point holdEnd {}; ///< By a slow clock.
    };

    void clearReports();
    time_point latestHoldEnd() const;
    duration holdDuration(time_point receivedAt) const;
    /// Parts of the range that the last report lists as held, in order and without overlaps.
    std::vector<key_range> reportedKeys(key_range) const;
    void recordNewGrants(const hold_grant&, time_point holdEnd);
    bool isUnconfirmed(key_range, time_point now) const;
    bool isHeld(key_range, time_point now) const;
    bool isReleased(key_range, time_point now) const;
    std::vector<key_range> provenKeys(const owned_range&) const;

    hold_terms m_terms;
    time_point m_previousHoldsEnd; ///< Latest end of any hold granted by a previous process.
    life_name m_life;
    range_map m_map;
    time_point m_confirmedAt {}; ///< Epoch of the clock: never confirmed.
    time_point m_promisedUntil = time_point::min();
    /// Latest end of any hold granted to an incarnation, if its clock runs slow.
    time_point m_holdEnd;
    time_point m_serveEnd = time_point::min(); ///< The same if its clock does not.
    std::vector<granted_range> m_granted; ///< Granted by the last answer.
    /// Granted by the answer before the last one; the last report may have been sent before the last answer arrived.
    std::vector<granted_range> m_previouslyGranted;
    /// Reports may have been sent before these grants arrived, until one lists the keys with the new token.
    std::vector<unconfirmed_grant> m_unconfirmed;
    std::vector<key_range> m_heldAtEraStart;
    std::vector<held_range> m_reported;
    std::vector<released_range> m_released;
    int m_reportCount = 0;
};

} // namespace heatherdrift
