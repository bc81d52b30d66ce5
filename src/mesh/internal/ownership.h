#pragma once

#include "admission/random_function.h"
#include "base/event_handle.h"
#include "mesh/internal/gate_service.h"
#include "mesh/internal/life_evidence.h"
#include "mesh/internal/owner_candidate.h"
#include "mesh/internal/range_codec.h"
#include "ranges/hold_manager.h"
#include "ranges/range_planner.h"
#include "settings/mesh_settings.h"
#include "store/watched_store.h"

#include <set>

namespace heatherdrift {

/// Response of another owner to a request to confirm a version of the range map.
enum class map_statement {
    current, ///< The store confirmed it within the last few hundred milliseconds.
    promised, ///< The store does not respond; for a limited time this owner takes over no keys of the requester.
    outdated, ///< The other owner has a newer version.
    unknown,
};

/// Request of an owner to confirm its range map.
struct map_question {
    life_name holder;
    row_version version = 0;
    store_era era = 0; ///< Latest era of the store that the holder knows.

    bool operator==(const map_question&) const = default;
};

struct ownership_hooks {
    clock_function now;
    /// Backend servers that can own keys, in the order of their nodes.
    std::function<std::vector<owner_candidate>()> candidates;
    /// Returns the map with keys moved for load balance.
    std::function<range_map(const range_map&, fencing_token, time_point now)> balance;
    /// The granted keys or the range map have changed.
    std::function<void()> onChanged;
    /// Asks all other owners to confirm the map, because the store does not.
    std::function<void()> askOtherOwners;
    /// Asks the owner that checks the map for all others; false if that is this node, or no owner is known.
    std::function<bool()> askConfirmingOwner;
    /// This node has written a new map that changes ranges of the given lives.
    std::function<void(const std::set<life_name>&)> onWritten;
    /// Whether the node beside the backend server of this life responds, so that it can publish releases of keys.
    std::function<bool(const life_name&)> isReachable;
};

/// Manages the keys of the backend server beside this node: which keys it may hold, and this node's changes to the
/// range map of its service in the store. Every change is a compare-and-set; after a conflict it is computed again from
/// the newest map.
///
/// The row of the map is named by the era of the store (KEY@ERA). A write that was prepared in an earlier era can thus
/// only change a row that is no longer in use, even if the version that it expects was given out again.
class ownership {
public:
    ownership(event_base*, const mesh_settings&, watched_store&, row_key mapRow, ownership_hooks);

    /// Called when a row of the table of range maps was read or has changed.
    void onRowChanged(const row_change&);
    /// Called when the whole table was read in this era, so that a row that was not seen does not exist.
    void onTableRead(store_era);
    /// Called when the store came back from an older copy. The map then belongs to an earlier era until the first map
    /// of this era is known; see nextMap().
    void onStoreRestored(store_era era) { noteEra(era); }
    /// Latest known era of the store; negative before the first one is known.
    store_era era() const { return m_era; }
    /// Starts calling advance() periodically.
    void start();
    /// Sends the confirmations and map changes that are due.
    void advance();

    const range_map& map() const { return m_map; }
    row_version version() const { return m_version; }
    /// The map for a node that has the given version of it.
    const std::string& encodedMap(row_version base) { return m_history.encode(base); }
    key_access access(key_number) const;
    /// Applies the held and released keys in a heartbeat of the backend server.
    void handleHeartbeat(const backend_announcement&);
    /// The keys granted to the backend server, in response to its last heartbeat.
    hold_grant grant(time_point receivedAt);
    /// The life of the last heartbeats was an earlier one, which the row of the earlier process shows.
    void discardLife();
    /// From this time on the present life holds no keys unless it is granted them again.
    time_point holdsEnd() const { return m_holdManager.holdEnd(); }
    /// Called when the process of the backend server is certain to have ended.
    void onBackendEnded(const life_name&);
    /// Called when an earlier life of the backend server beside this node has ended. The present one takes over its
    /// keys at once; those on their way to others wait for the end of its holds.
    void onPredecessorEnded(const life_name&, end_evidence);
    /// Called when the backend server of another node is certain to have ended.
    void onOtherBackendEnded(const life_name&);
    /// Called when the node of a backend server that counted as ended has been announced again.
    void onOtherBackendAnnounced(const life_name&);
    /// Assigns the keys of the draining backend server to others.
    void startDrain();
    /// During an evacuation, assigns the keys of the backend server to the candidates, unless it is one itself. Keys
    /// that are not assigned yet at its end stay.
    void setEvacuated(bool);
    /// Sets the life that the backend server had before this process started, until its first heartbeat.
    void setPresumedLife(const life_name&);

    /// Lives of the other owners; an extension of the lease needs the promises of all of them.
    std::vector<life_name> otherOwners() const;
    const life_name& life() const { return m_holdManager.life(); }
    /// Called when another owner confirmed that the present map was current in the store at this time.
    void onConfirmed(time_point at);
    /// Called when all other owners promised not to take over keys; they were asked at this time or later.
    void onPromised(time_point askedAt);
    /// Result for another owner: whether the map of this version is current, and how long ago the newest known version
    /// was confirmed by the store.
    using statement_function = std::function<void(map_statement, std::optional<duration> confirmedAgo)>;
    void handleConfirmation(const map_question&, statement_function);
    void adoptNewer(const range_map& map, row_version version) { adopt(map, version, std::nullopt); }
    /// Whether a grant of keys to the backend server is imminent.
    bool isAwaitingGrant() const;
    /// Whether the store responded to the last check of the range map.
    bool isStoreAvailable() const { return m_storeAnswered; }

private:
    void noteEra(store_era);
    /// Whether the known map is of an earlier era of the store, so that the store may have lost newer ones.
    bool isMapOutdated() const { return m_version > 0 && eraOf(m_version) < m_era; }
    /// Whether keys that no map names may be held although no map is known.
    bool mayHaveLostMaps() const { return m_isRestored || !m_settings.isFirstStart; }
    /// Whether the row of the map has a newer version that could not be decoded.
    bool isMapUnreadable() const { return m_unreadableVersion > m_version; }
    void noteUnreadable(row_version, const failure&);
    std::optional<range_map> replacementOfUnreadable(time_point now);
    row_key currentRow() const;
    std::optional<store_era> eraOfRow(const row_key&) const;
    /// Version that the current row must have for a check or write; 0: it must not exist.
    row_version expectedVersion() const { return isMapOutdated() ? 0 : m_version; }
    fencing_token nextFence() const;
    range_map forHolds(const range_map&) const;
    /// When this node should write a map that does not follow from the one before it, if the reason for it has been
    /// known since then.
    time_point unprecedentedMapDueAt(time_point knownSince) const;
    /// Asks the other owners for newer maps and waits for their answers; false once these are in.
    bool isCollectingMaps(time_point now);
    /// Time at which all backend servers of a system that starts for the first time should be known. An earlier map
    /// leaves those out that are announced later, and balancing has to move keys to them under load.
    time_point firstMapOfSystemDueAt(std::size_t candidates, time_point now);
    std::optional<range_map> firstMapOfEra(time_point now);
    bool isFirstOwner() const;
    void adopt(const range_map&, row_version, std::optional<time_point> readAt);
    void confirmIfDue(time_point now);
    void recordCheck(row_version, time_point at);
    std::optional<range_map> nextMap(time_point now);
    range_map releaseAfterSilence(const range_map&, time_point now) const;
    range_map coordinate(const range_map&, time_point now);
    range_map balance(const range_map&, time_point now);
    void propose();
    /// `base`: version of the map that the write was made for.
    void handleWriteResult(
        const range_map& proposed, store_era, row_version base, time_point sentAt, result<write_outcome>);
    /// Checks at the store whether the map is current. Checks requested meanwhile share the response.
    void checkMap(std::function<void(bool isCurrent)>);
    void handleCheckResult(row_version, time_point sentAt, const result<write_outcome>&);
    /// Time since the store confirmed the present map, if recent enough to be passed on to other owners.
    std::optional<duration> recentlyChecked() const;
    map_statement promise(const map_question&);
    /// Whether a write that an earlier process of this node made of the present map may take effect at this time.
    bool mayEarlierProcessWrite(time_point) const;
    void handleWriteFailure(const failure&, store_era, row_version base);
    void logGrant(const hold_grant&, const std::vector<granted_range>& before, time_point receivedAt) const;
    void logWrite(const range_map& written, row_version) const;
    void logMap(const range_map&, row_version, bool isOwnCall) const;
    /// Adopts the map in the response to a rejected write or check.
    void adoptCurrent(const write_outcome&, time_point sentAt);
    /// Delays the next write after a conflict with another owner's write.
    void backOff();
    bool isGrantImminent(const owned_range&) const;
    bool isCandidate(const life_name&, const std::vector<owner_candidate>&) const;
    /// Whether the keys of the backend server are to be assigned to others.
    bool isMovingOut() const;
    /// Whether keys have no owner, or one that is no candidate.
    static bool hasOrphans(const range_map&, const std::vector<owner_candidate>&);

    static constexpr store_era noEra = -1;

    const mesh_settings& m_settings;
    watched_store& m_store;
    row_key m_row;
    ownership_hooks m_hooks;
    hold_manager m_holdManager;
    range_map m_map;
    range_history m_history;
    row_version m_version = 0;
    bool m_isTableRead = false;
    row_version m_versionAtStart = 0; ///< Of the map when the table was first read.
    store_era m_era = noEra; ///< Latest known era of the store.
    bool m_isRestored = false; ///< The store has come back from a copy since this process started.
    time_point m_eraNotedAt; ///< Start of this process, or the last restore that it has learned of.
    row_version m_unreadableVersion = 0; ///< Newest version of the current row that could not be decoded; 0: none.
    time_point m_unreadableSince {};
    /// Time until which newer maps are collected from the other owners; min(): not asked yet.
    time_point m_collectingUntil = time_point::min();
    time_point m_exclusiveReleaseDueAt = time_point::min();
    std::set<row_key> m_earlierRows; ///< Rows of earlier eras that exist in this one.
    bool m_isDraining = false;
    bool m_isEvacuated = false; ///< The operator has evacuated the zone, for all lives of the backend server.
    std::set<life_name> m_endedLives; ///< Lives that have ended and may still be in the map.
    /// Earlier lives beside this node that nothing but the order of lives shows to have ended, with the end of the
    /// holds that they may have.
    std::map<life_name, time_point> m_holdEndOfEarlier;
    std::map<fencing_token, time_point> m_firstSeenAt; ///< Time at which this process first saw an assignment.
    life_name m_previousLife; ///< Previous life of the backend server beside this node.
    bool m_isWriting = false;
    int m_conflicts = 0; ///< Consecutive write conflicts.
    time_point m_startedAt;
    bool m_storeAnswered = true; ///< Result of the last check of the map.
    row_version m_unresolvedVersion = -1; ///< A write that expects this version may still take effect.
    /// Owners whose keys this node must not take over before this time.
    std::map<life_name, time_point> m_promisedUntil;
    life_name m_presumedLife;
    row_version m_checkedVersion = 0; ///< Version that the store confirmed as current
    time_point m_checkedAt = time_point::min(); ///< and the time of that check.
    std::string_view m_confirmedBy = "nothing"; ///< What confirmed the map last, for the log.
    std::vector<std::function<void(bool isCurrent)>> m_awaitingCheck; ///< Not empty while a check is in progress.
    time_point m_extensionDueAt = time_point::min();
    time_point m_confirmDueAt = time_point::min();
    time_point m_mayWriteAt = time_point::min(); ///< Backoff after a failed or conflicting write.
    std::size_t m_mostCandidates = 0; ///< Until the first map of a new system.
    time_point m_newcomerSeenAt = time_point::min(); ///< Time at which that number was reached.
    time_point m_ownerSince {}; ///< Time since which the map has this node's backend server as an owner.
    time_point m_orphanedSince = time_point::max(); ///< Time since which some keys have had no live owner.
    random_function m_random;
    timer m_tick;
};

} // namespace heatherdrift
